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
 * Elects the leader. The leader key depends on a store lease that the leader renews, but that is
 * only for liveness: safety comes from the term, which every leader takes anew, and from the key's
 * revision, on which all its writes are conditional. For that reason a node may take over at any
 * time without asking whether the former leader has really ended.
 *
 * <table>
 * <caption>Roles of a node, and what changes them</caption>
 * <tr><th>from</th><th>to</th><th>when</th></tr>
 * <tr><td>follower</td><td>candidate</td><td>the leader key is vacant, or its holder was seen to
 *     have ended ({@link #takeOverFrom}), and the fence is open</td></tr>
 * <tr><td>candidate</td><td>leader</td><td>the transaction that takes key and term succeeded</td></tr>
 * <tr><td>candidate</td><td>follower</td><td>a step of the campaign failed; the key is read again
 *     after a pause</td></tr>
 * <tr><td>follower, candidate</td><td>leader</td><td>the key shows the term that was requested, so
 *     the transaction succeeded though its answer is late or lost</td></tr>
 * <tr><td>leader</td><td>follower</td><td>the key was deleted or has a later term, a peer knows a
 *     later term, the lease has expired, or {@link #stepDown}</td></tr>
 * </table>
 */
public final class Election {
    private static final Logger LOG = LoggerFactory.getLogger(Election.class);

    /**
     * The lifetime of the leader's store lease: how long a leader that has ended goes unnoticed.
     */
    private static final long LEASE_MICROS = 4_000_000;

    /** Between renewals; three may be lost before the lease expires. */
    private static final long RENEWAL_INTERVAL_MICROS = 1_000_000;

    /** How long one watch of the leader key waits for a change. */
    private static final long WATCH_MICROS = 10_000_000;

    /** The pause before a retry, with up to as much again at random so that nodes don't collide. */
    private static final long RETRY_MICROS = 250_000;

    /** How often a vacant key is tried while the fence is closed. */
    private static final long FENCED_RETRY_MICROS = 20_000;

    /** Up to how long a follower waits, at random, before it takes a key that became vacant. */
    private static final int CAMPAIGN_JITTER_MICROS = 30_000;

    /** How long a process that gives up the former leadership of its node leaves others to lead. */
    private static final long YIELD_MICROS = 250_000;

    private static final String TERM = "term";

    /** The revision that a key has in a condition where it must not exist. */
    private static final long ABSENT = 0;

    private static final long NO_TERM = 0;

    /** Whether this process may lead, by the features that the stored state requires. */
    public interface Eligibility {
        /** True once the required features were read and this process supports them. */
        boolean isEligible();

        /** Holds as long as the required features are those that were read. */
        Condition condition();

        /** The condition has failed: the required features must be read again. */
        void refresh();
    }

    /** Is told when this node gains or loses the leadership. */
    public interface Listener {
        /**
         * This node leads from now on.
         *
         * @param leaderRevision the leader key's revision, on which its writes are conditional
         */
        void onElected(long term, long leaderRevision);

        /** This node leads no more. */
        void onLeadershipLost(String reason);

        /** Another leader than before is known, this node perhaps. */
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

    /** The leader key as far as known, null where it does not exist. */
    private LeaderRecord leaderKey;

    private long leaderRevision;

    /** Counts the scheduled campaigns: only the last one that was scheduled is run. */
    private int campaignNumber;

    /** The term that this process requested and whose outcome is unknown, or {@link #NO_TERM}. */
    private long requestedTerm = NO_TERM;

    /** This process does not campaign before this time. */
    private long campaignNotBeforeMicros = Long.MIN_VALUE / 2;

    /** The highest term known: a peer may still report the leader of an earlier one. */
    private long highestTerm;

    /**
     * @param label the name of this node
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

    /** Reads and watches the leader key from now on, and campaigns where it is vacant. */
    public void start() {
        readLeaderKey();
    }

    /** True while this node leads as far as it knows. */
    public boolean isLeader() {
        return role == Role.LEADER;
    }

    /** The label of the leader as far as known, or null. */
    public String leader() {
        if (isLeader()) {
            return label;
        }
        return leaderKey == null ? null : leaderKey.label();
    }

    /** The term of the leader as far as known, 0 for none. */
    public long leaderTerm() {
        return leaderKey == null ? NO_TERM : leaderKey.term();
    }

    /**
     * A peer knows of a leader in a later term. That may be all this node learns while the store
     * refuses it alone; to lead on would keep agents from the new leader. The known revision of the
     * key stays as it was, so a campaign on it can only fail.
     */
    public void onPeerLeader(String leader, long leaderTerm) {
        if (leaderTerm <= highestTerm || leader.equals(label)) {
            return;
        }
        highestTerm = leaderTerm;
        LOG.info("event=leader_reported_by_peer leader={} term={}", leader, leaderTerm);
        leaderKey = new LeaderRecord(leader, leaderTerm);
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

    private void watch(long since) {
        store.watch(
                StoreKeys.LEADER,
                since,
                WATCH_MICROS,
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
                    watch(Math.max(since, storeRevision));
                });
    }

    private void onLeaderKey(Map<String, Object> value, long revision) {
        if (revision < leaderRevision) {
            return;
        }
        leaderRevision = revision;
        LeaderRecord former = leaderKey;
        leaderKey = parse(value);
        highestTerm = Math.max(highestTerm, leaderTerm());
        if (role != Role.LEADER && isRequestedKey()) {
            // The transaction was executed and its answer is late or lost: others would wait for
            // the lease to expire.
            onElected(requestedTerm, revision);
            return;
        }
        if (leaderKey != null && !leaderKey.equals(former)) {
            LOG.info("event=leader_changed leader={} term={}", leaderKey.label(), leaderKey.term());
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
                && new LeaderRecord(label, requestedTerm).equals(leaderKey);
    }

    private void stepDownIfReplaced() {
        if (leaderKey == null) {
            stepDown("the leader key is gone");
        } else if (leaderKey.term() > term) {
            stepDown(leaderKey.label() + " leads");
        }
    }

    private void campaignIfVacant(LeaderRecord former, long revision) {
        boolean isOwnKey = leaderKey != null && leaderKey.label().equals(label);
        if (isOwnKey && term == NO_TERM) {
            yieldLeadership(revision);
        } else if (isVacant()) {
            // The key names this node from before it stepped down, or does not exist.
            boolean hasNeverExisted = leaderKey == null && former == null;
            scheduleCampaign(hasNeverExisted ? 0 : random.nextInt(CAMPAIGN_JITTER_MICROS));
        }
    }

    /**
     * Deletes the key of this node's former process. A process that keeps ending would take over
     * each time, and read all records, while the others wait for its lease to expire: leading is
     * better left to a node that stays. The others see at once that nobody leads, and this process
     * takes over only if none of them does.
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
                    // An interrupted watch gives the former leader's end and the new leader in one
                    // answer.
                    if (campaignNumber == expected && role == Role.FOLLOWER && isVacant()) {
                        if (eligibility.isEligible()) {
                            startCampaign();
                        } else {
                            scheduleCampaign(FENCED_RETRY_MICROS);
                        }
                    }
                });
    }

    private boolean isVacant() {
        return leaderKey == null || leaderKey.label().equals(label);
    }

    /** Takes over although the leader key exists, as its holder was seen to have ended. */
    public void takeOverFrom(String formerLeader) {
        if (role == Role.FOLLOWER
                && leaderKey != null
                && leaderKey.label().equals(formerLeader)
                && eligibility.isEligible()) {
            LOG.info("event=failover_started former_leader={}", formerLeader);
            startCampaign();
        }
    }

    private void startCampaign() {
        role = Role.CANDIDATE;
        requestedTerm = NO_TERM;
        // The key as it is now: a campaign against one leader must not depose the next.
        long revisionToReplace = leaderKey == null ? ABSENT : leaderRevision;
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
        // Whoever takes a term has read the required features, and none was added since.
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
                // The key that was seen is of this node's former process, and so is the lease that
                // it depends on.
                stepDown("the term was taken by an earlier process");
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
        // Without an answer it may have been executed; otherwise a later campaign takes a higher
        // term.
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
        leaderKey = new LeaderRecord(label, newTerm);
        leaderRevision = revision;
        LOG.info("event=leader_elected term={}", newTerm);
        // The lease may be some seconds old.
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
                                    stepDown("the grant has ended");
                                }
                            });
                    scheduleRenewal(renewedTerm, RENEWAL_INTERVAL_MICROS);
                });
    }

    /** Gives up the leadership, if this node has it, for the reason given to log and listener. */
    public void stepDown(String reason) {
        if (role != Role.LEADER) {
            return;
        }
        LOG.info("event=leadership_lost term={} reason=\"{}\"", term, reason);
        role = Role.FOLLOWER;
        if (leaderKey != null && leaderKey.term() == term) {
            leaderKey = null;
        }
        listener.onLeadershipLost(reason);
        onCampaignFailed();
    }
}
