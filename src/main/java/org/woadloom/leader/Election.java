package org.woadloom.leader;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * Elects the leader. The leader key is attached to a store lease that the leader renews, which only
 * ensures liveness. Safety comes from the term, which is new for every leader, and from the key's
 * revision, on which all of a leader's writes are conditional. A node may therefore take over at
 * any time without checking whether the former leader has really stopped.
 *
 * <table>
 * <caption>Roles of a node, and what changes them</caption>
 * <tr><th>from</th><th>to</th><th>when</th></tr>
 * <tr><td>follower</td><td>candidate</td><td>the leader key is vacant, or its holder has most
 *     likely stopped ({@link #takeOverFrom}), and this process is eligible</td></tr>
 * <tr><td>candidate</td><td>leader</td><td>the transaction that takes key and term succeeded</td></tr>
 * <tr><td>candidate</td><td>follower</td><td>a step of the campaign failed; the key is read again
 *     after a pause</td></tr>
 * <tr><td>follower, candidate</td><td>leader</td><td>the key has the requested term, so the
 *     transaction succeeded although its answer is late or lost</td></tr>
 * <tr><td>leader</td><td>follower</td><td>the key was deleted or has a later term, a peer knows
 *     of a later term, the lease has expired, or {@link #stepDown} was called</td></tr>
 * </table>
 */
public final class Election {
    private static final Logger LOG = LoggerFactory.getLogger(Election.class);

    /**
     * The lifetime of the leader's store lease: how long it may take until a leader that has
     * stopped is detected.
     */
    private static final long LEASE_MICROS = 4_000_000;

    /** Three renewals may be lost before the lease expires. */
    private static final long RENEWAL_INTERVAL_MICROS = 1_000_000;

    /** The timeout of one watch request for the leader key. */
    private static final long WATCH_TIMEOUT_MICROS = 10_000_000;

    /**
     * The minimum pause before a retry; up to the same time is added at random, so that nodes don't
     * collide.
     */
    private static final long RETRY_MICROS = 250_000;

    /**
     * The pause between checks whether this process has become eligible while the key is vacant.
     */
    private static final long INELIGIBLE_RETRY_MICROS = 20_000;

    /** The maximum random delay before a follower campaigns for a key that has become vacant. */
    private static final int CAMPAIGN_JITTER_MICROS = 30_000;

    /**
     * How long a process that gave up its predecessor's leadership lets other nodes campaign first.
     */
    private static final long YIELD_MICROS = 250_000;

    private static final String TERM = "term";

    /** The revision in a condition that the key must not exist. */
    private static final long ABSENT = 0;

    private static final long NO_TERM = 0;

    /** Whether this process may lead, depending on the features that the stored state requires. */
    public interface Eligibility {
        /** True once the required features have been read and this process supports them. */
        boolean isEligible();

        /**
         * A condition that holds as long as the required features have not changed since they were
         * read.
         */
        Condition condition();

        /** Reads the required features again, for instance after the condition has failed. */
        void refresh();
    }

    /** Receives changes of the leadership. */
    public interface Listener {
        /**
         * This node has become the leader.
         *
         * @param leaderRevision the leader key's revision, on which the leader's writes are
         *     conditional
         */
        void onElected(long term, long leaderRevision);

        /** This node is no longer the leader. */
        void onLeadershipLost(String reason);

        /** A different leader, possibly this node, has become known. */
        void onLeaderChanged();
    }

    private enum Role {
        FOLLOWER,
        CANDIDATE,
        LEADER
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final String label;
    private final Random random;
    private final Eligibility eligibility;
    private final Listener listener;
    private Role role = Role.FOLLOWER;
    private long term;
    private long storeLease;

    /** The last known value of the leader key, or null if the key does not exist. */
    private LeaderRecord leaderRecord;

    private long leaderRevision;

    /** Counts the scheduled campaigns; only the one scheduled last is run. */
    private int campaignNumber;

    /** The term that this process requested and whose outcome is unknown, or {@link #NO_TERM}. */
    private long requestedTerm = NO_TERM;

    /** This process does not campaign before this time. */
    private long campaignNotBeforeMicros = Long.MIN_VALUE / 2;

    /** The highest known term. A peer may still report the leader of an earlier one. */
    private long highestTerm;

    /**
     * @param label the label of this node
     */
    public Election(
            EventLoop loop,
            StoreClient store,
            String label,
            Random random,
            Eligibility eligibility,
            Listener listener) {
        this.loop = loop;
        this.store = store;
        this.label = label;
        this.random = random;
        this.eligibility = eligibility;
        this.listener = listener;
    }

    /** Starts to watch the leader key, and to campaign whenever it is vacant. */
    public void start() {
        readLeaderKey();
    }

    /** True while, as far as this node knows, it is the leader. */
    public boolean isLeader() {
        return role == Role.LEADER;
    }

    /** The label of the last known leader, or null if there is none. */
    public String leader() {
        if (isLeader()) {
            return label;
        }
        return leaderRecord == null ? null : leaderRecord.label();
    }

    /** The term of the last known leader, or 0 if there is none. */
    public long leaderTerm() {
        return leaderRecord == null ? NO_TERM : leaderRecord.term();
    }

    /**
     * Called when a peer reports which leader the peer knows. If the store is unreachable only for
     * this node, such a report may be the only way to learn of a later term. This node then steps
     * down: if it continued to lead, it would keep agents from the new leader. The last known
     * revision of the leader's key in the store is not changed, so a campaign based on that
     * revision can only fail.
     */
    public void onPeerLeader(String leader, long leaderTerm) {
        if (leaderTerm <= highestTerm || leader.equals(label)) {
            return;
        }
        highestTerm = leaderTerm;
        LOG.info("event=leader_reported_by_peer leader={} term={}", leader, leaderTerm);
        leaderRecord = new LeaderRecord(leader, leaderTerm);
        stepDown(leader + " leads in term " + leaderTerm);
        loop.execute(listener::onLeaderChanged);
    }

    private void readLeaderKey() {
        store.get(
                RequestPriority.CONTROL,
                StoreKeys.LEADER,
                (result, entry, storeRevision) -> {
                    if (result == Result.OK) {
                        onLeaderKey(entry.value(), entry.revision());
                        watch(entry.revision());
                    } else if (result == Result.NOT_FOUND) {
                        onLeaderKey(null, storeRevision);
                        watch(storeRevision);
                    } else {
                        loop.schedule(retryPauseMicros(), this::readLeaderKey);
                    }
                });
    }

    private void watch(long sinceRevision) {
        store.watch(
                StoreKeys.LEADER,
                sinceRevision,
                WATCH_TIMEOUT_MICROS,
                (result, events, storeRevision) -> {
                    if (result != Result.OK) {
                        loop.schedule(RETRY_MICROS, this::readLeaderKey);
                        return;
                    }
                    for (StoreClient.Event event : events) {
                        if (event.key().equals(StoreKeys.LEADER)) {
                            onLeaderKey(event.value(), event.revision());
                        }
                    }
                    watch(Math.max(sinceRevision, storeRevision));
                });
    }

    private void onLeaderKey(Map<String, Object> value, long revision) {
        if (revision < leaderRevision) {
            return;
        }
        leaderRevision = revision;
        LeaderRecord former = leaderRecord;
        leaderRecord = parse(value);
        highestTerm = Math.max(highestTerm, leaderTerm());
        if (role != Role.LEADER && isRequestedKey()) {
            // The transaction was executed, but its answer is late or lost. If this node did not
            // lead now, the others would wait for the lease to expire.
            onElected(requestedTerm, revision);
            return;
        }
        if (leaderRecord != null && !leaderRecord.equals(former)) {
            LOG.info(
                    "event=leader_changed leader={} term={}",
                    leaderRecord.label(),
                    leaderRecord.term());
            loop.execute(listener::onLeaderChanged);
        }
        if (role == Role.LEADER) {
            stepDownIfReplaced();
        }
        if (role == Role.FOLLOWER) {
            campaignIfVacant(former, revision);
        }
    }

    private static LeaderRecord parse(Map<String, Object> value) {
        try {
            return value == null ? null : LeaderRecord.parse(value);
        } catch (MalformedMessageException e) {
            return null;
        }
    }

    private boolean isRequestedKey() {
        return requestedTerm == highestTerm
                && new LeaderRecord(label, requestedTerm).equals(leaderRecord);
    }

    private void stepDownIfReplaced() {
        if (leaderRecord == null) {
            stepDown("the leader key was deleted");
        } else if (leaderRecord.term() > term) {
            stepDown(leaderRecord.label() + " leads in term " + leaderRecord.term());
        }
    }

    private void campaignIfVacant(LeaderRecord former, long revision) {
        boolean isOwnKey = leaderRecord != null && leaderRecord.label().equals(label);
        if (isOwnKey && term == NO_TERM) {
            yieldLeadership(revision);
        } else if (isVacant()) {
            // The key does not exist, or still names this node, which has stepped down.
            boolean hasNeverExisted = leaderRecord == null && former == null;
            scheduleCampaign(hasNeverExisted ? 0 : random.nextInt(CAMPAIGN_JITTER_MICROS));
        }
    }

    /**
     * Deletes the key of this node's previous process. If this node kept restarting, it would take
     * over each time and read all records, while the others would wait for its lease to expire, so
     * a node that keeps running should lead. The deletion shows the others at once that there is no
     * leader, and this process campaigns only if none of them does.
     */
    private void yieldLeadership(long revision) {
        store.txn(
                RequestPriority.CONTROL,
                List.of(new Condition(StoreKeys.LEADER, revision)),
                List.of(Change.delete(StoreKeys.LEADER)),
                (result, storeRevision, conflicts) -> {
                    campaignNotBeforeMicros = loop.nowMicros() + YIELD_MICROS;
                    if (result == Result.OK) {
                        onLeaderKey(null, storeRevision);
                    } else if (role == Role.FOLLOWER) {
                        onCampaignFailed();
                    }
                });
    }

    private void scheduleCampaign(long delayMicros) {
        int expected = ++campaignNumber;
        loop.schedule(
                Math.max(Math.max(1, delayMicros), campaignNotBeforeMicros - loop.nowMicros()),
                () -> {
                    // After an interruption, the watch may report in one answer that the former
                    // leader's key was deleted and that a new leader's key was created. A campaign
                    // scheduled for the deletion must then not start.
                    if (campaignNumber == expected && role == Role.FOLLOWER && isVacant()) {
                        if (eligibility.isEligible()) {
                            startCampaign();
                        } else {
                            scheduleCampaign(INELIGIBLE_RETRY_MICROS);
                        }
                    }
                });
    }

    private boolean isVacant() {
        return leaderRecord == null || leaderRecord.label().equals(label);
    }

    /** Takes over although the leader key exists, because its holder has most likely stopped. */
    public void takeOverFrom(String formerLeader) {
        if (role == Role.FOLLOWER
                && leaderRecord != null
                && leaderRecord.label().equals(formerLeader)
                && eligibility.isEligible()) {
            LOG.info("event=failover_started former_leader={}", formerLeader);
            startCampaign();
        }
    }

    private void startCampaign() {
        role = Role.CANDIDATE;
        requestedTerm = NO_TERM;
        // Fixed at the start, so that a campaign to replace one leader can't replace its successor.
        long revisionToReplace = leaderRecord == null ? ABSENT : leaderRevision;
        store.grantLease(
                LEASE_MICROS,
                (result, lease) -> {
                    if (result != Result.OK) {
                        onCampaignFailed();
                        return;
                    }
                    storeLease = lease;
                    readTerm(revisionToReplace);
                });
    }

    private void readTerm(long revisionToReplace) {
        store.get(
                RequestPriority.CONTROL,
                StoreKeys.TERM,
                (result, entry, storeRevision) -> {
                    if (result == Result.NOT_FOUND) {
                        takeTerm(revisionToReplace, 1, ABSENT);
                    } else if (result == Result.OK) {
                        onTerm(revisionToReplace, entry);
                    } else {
                        onCampaignFailed();
                    }
                });
    }

    private void onTerm(long revisionToReplace, StoreClient.Entry entry) {
        long lastTerm;
        try {
            lastTerm = new Fields(entry.value()).integer(TERM);
        } catch (MalformedMessageException e) {
            LOG.error(
                    "event=record_unreadable key={} error=\"{}\"", StoreKeys.TERM, e.getMessage());
            onCampaignFailed();
            return;
        }
        takeTerm(revisionToReplace, lastTerm + 1, entry.revision());
    }

    private void takeTerm(long revisionToReplace, long newTerm, long termRevision) {
        requestedTerm = newTerm;
        Map<String, Object> termValue = new LinkedHashMap<>();
        termValue.put(TERM, newTerm);
        // Ensures that a leader has read the required features and that none was added since.
        List<Condition> conditions =
                List.of(
                        new Condition(StoreKeys.LEADER, revisionToReplace),
                        new Condition(StoreKeys.TERM, termRevision),
                        eligibility.condition());
        Map<String, Object> keyValue = new LeaderRecord(label, newTerm).toMap();
        List<Change> changes =
                List.of(
                        new Change(StoreKeys.LEADER, keyValue, storeLease),
                        Change.put(StoreKeys.TERM, termValue));
        store.txn(
                RequestPriority.CONTROL,
                conditions,
                changes,
                (result, storeRevision, conflicts) ->
                        onTermAnswer(newTerm, result, storeRevision, conflicts));
    }

    private void onTermAnswer(
            long newTerm, Result result, long storeRevision, List<String> conflicts) {
        if (requestedTerm != newTerm) {
            if (result == Result.CONFLICT && role == Role.LEADER && term == newTerm) {
                // The key that made this node lead was written by its previous process and is
                // attached to that process's store lease.
                stepDown("the term was taken by the previous process of this node");
            }
            return;
        }
        if (result == Result.OK) {
            onElected(newTerm, storeRevision);
            return;
        }
        if (conflicts.contains(eligibility.condition().key())) {
            eligibility.refresh();
        }
        // A transaction without an answer may have been executed. Otherwise a later campaign
        // requests a higher term.
        requestedTerm = result == Result.UNKNOWN ? newTerm : NO_TERM;
        onCampaignFailed();
    }

    private void onCampaignFailed() {
        role = Role.FOLLOWER;
        loop.schedule(retryPauseMicros(), this::readKeyAfterCampaign);
    }

    private void readKeyAfterCampaign() {
        store.get(
                RequestPriority.CONTROL,
                StoreKeys.LEADER,
                (result, entry, storeRevision) -> {
                    if (result == Result.OK) {
                        onLeaderKey(entry.value(), entry.revision());
                    } else if (result == Result.NOT_FOUND) {
                        onLeaderKey(null, storeRevision);
                    } else if (role == Role.FOLLOWER) {
                        onCampaignFailed();
                    }
                });
    }

    private long retryPauseMicros() {
        return RETRY_MICROS + random.nextInt((int) RETRY_MICROS);
    }

    private void onElected(long newTerm, long revision) {
        role = Role.LEADER;
        requestedTerm = NO_TERM;
        term = newTerm;
        highestTerm = Math.max(highestTerm, newTerm);
        leaderRecord = new LeaderRecord(label, newTerm);
        leaderRevision = revision;
        LOG.info("event=leader_elected term={}", newTerm);
        // Renewed at once, as the lease may be some seconds old.
        scheduleRenewal(newTerm, 1);
        listener.onElected(newTerm, revision);
        loop.execute(listener::onLeaderChanged);
    }

    private void scheduleRenewal(long renewedTerm, long delayMicros) {
        loop.schedule(
                delayMicros,
                () -> {
                    if (role != Role.LEADER || term != renewedTerm) {
                        return;
                    }
                    store.renewLease(
                            storeLease,
                            (result, lease) -> {
                                if (result == Result.NOT_FOUND
                                        && role == Role.LEADER
                                        && term == renewedTerm) {
                                    stepDown("the store lease of the leader key has expired");
                                }
                            });
                    scheduleRenewal(renewedTerm, RENEWAL_INTERVAL_MICROS);
                });
    }

    /**
     * Gives up the leadership if this node has it. The reason is logged and passed to the listener.
     */
    public void stepDown(String reason) {
        if (role != Role.LEADER) {
            return;
        }
        LOG.info("event=leadership_lost term={} reason=\"{}\"", term, reason);
        role = Role.FOLLOWER;
        if (leaderRecord != null && leaderRecord.term() == term) {
            leaderRecord = null;
        }
        listener.onLeadershipLost(reason);
        onCampaignFailed();
    }
}
