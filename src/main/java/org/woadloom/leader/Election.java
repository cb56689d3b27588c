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
 * Who leads. The leader key hangs on a grant that the leader renews, but that is only for liveness:
 * safety comes from the term, which every leader takes anew, and from the key's stamp, on which all
 * its writes are conditional. For that reason a node may take over at any time without asking
 * whether the old leader is really gone.
 */
public final class Election {
    private static final Logger LOG = LoggerFactory.getLogger(Election.class);
    private static final long GRANT_MICROS = 4_000_000;
    private static final long RENEW_MICROS = 1_000_000;
    private static final long WATCH_MICROS = 10_000_000;
    private static final long RETRY_MICROS = 250_000;
    private static final long FENCED_MICROS = 20_000;

    /**
     * How long a process that found its node's former leadership leaves the others to take over.
     */
    private static final long YIELD_MICROS = 250_000;

    /** Whether this process may lead at all, by what the stored state requires of it. */
    public interface Fence {
        /** True once what is required was read and is known here. */
        boolean isOpen();

        /** Holds as long as nothing else is required than what was read. */
        Condition condition();

        /** The condition has failed: what is required must be read again. */
        void onConflict();
    }

    /** What the node does when leadership comes and goes. */
    public interface Listener {
        void onElected(long term, long leaderRevision);

        void onDeposed(String reason);

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
    private final Fence fence;
    private final Listener listener;
    private Role role = Role.FOLLOWER;
    private long term;
    private long storeLease;
    private LeaderKey leaderKey;
    private long leaderRevision;
    private int startCampaign;

    /** The term that this process has asked for, whose outcome it does not know yet; 0 for none. */
    private long requestedTerm;

    /** This process does not campaign before. */
    private long campaignNotBeforeMicros = Long.MIN_VALUE / 2;

    /** The highest term ever heard of: a peer may still speak of a leader that is gone. */
    private long highestTerm;

    public Election(
            EventLoop loop,
            StoreClient store,
            String label,
            Random random,
            Fence fence,
            Listener listener) {
        this.loop = loop;
        this.store = store;
        this.label = label;
        this.random = random;
        this.fence = fence;
        this.listener = listener;
    }

    public void start() {
        readLeaderKey();
    }

    public boolean isLeader() {
        return role == Role.LEADER;
    }

    /** The label of the leader as far as known, or null. */
    public String leader() {
        return isLeader() ? label : leaderKey == null ? null : leaderKey.label();
    }

    /** The term of the leader as far as known, 0 for none. */
    public long knownTerm() {
        return leaderKey == null ? 0 : leaderKey.term();
    }

    /**
     * A peer knows of a leader in a later term. That may be all this node learns while the state
     * service refuses it alone; to lead on would keep workers from the new leader. The stamp stays
     * as it was, so a campaign on it can only fail.
     */
    public void onPeerLeader(String leader, long ofTerm) {
        if (ofTerm <= highestTerm || leader.equals(label)) {
            return;
        }
        highestTerm = ofTerm;
        LOG.info("event=leader_reported_by_peer leader={} term={}", leader, ofTerm);
        leaderKey = new LeaderKey(leader, ofTerm);
        stepDown(leader + " leads in term " + ofTerm);
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
                        loop.schedule(
                                RETRY_MICROS + random.nextInt((int) RETRY_MICROS),
                                this::readLeaderKey);
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
                        if (event.path().equals(StoreKeys.LEADER)) {
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
        LeaderKey before = leaderKey;
        try {
            leaderKey = value == null ? null : LeaderKey.parse(value);
        } catch (MalformedMessageException e) {
            leaderKey = null;
        }
        highestTerm = Math.max(highestTerm, knownTerm());
        if (role != Role.LEADER
                && requestedTerm == highestTerm
                && new LeaderKey(label, requestedTerm).equals(leaderKey)) {
            // What was asked for was carried out, and its answer is late or lost: others would wait
            // for the grant's end.
            onElected(requestedTerm, revision);
            return;
        }
        if (leaderKey != null && !leaderKey.equals(before)) {
            LOG.info("event=leader_changed leader={} term={}", leaderKey.label(), leaderKey.term());
            loop.execute(listener::onLeaderChanged);
        }
        if (role == Role.LEADER && (leaderKey == null || leaderKey.term() != term)) {
            if (leaderKey == null || leaderKey.term() > term) {
                stepDown(
                        leaderKey == null
                                ? "the leader key is gone"
                                : leaderKey.label() + " leads");
            }
        }
        if (role == Role.FOLLOWER
                && leaderKey != null
                && leaderKey.label().equals(label)
                && term == 0) {
            yieldLeadership(revision);
        } else if (role == Role.FOLLOWER && isVacant()) {
            // The key names this node from before it stepped down, or nobody.
            scheduleCampaign(leaderKey == null && before == null ? 0 : random.nextInt(30_000));
        }
    }

    /**
     * The process before this one led. One that keeps ending would take over again and again, and
     * read all records each time, while the others wait for its grant to end: leading is better
     * left to a node that stays. The others see at once that nobody leads, and this process takes
     * over only if none of them does.
     */
    private void yieldLeadership(long revision) {
        store.txn(
                RequestPriority.CONTROL,
                List.of(new Condition(StoreKeys.LEADER, revision)),
                List.of(Change.drop(StoreKeys.LEADER)),
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
        int expected = ++startCampaign;
        loop.schedule(
                Math.max(Math.max(1, delayMicros), campaignNotBeforeMicros - loop.nowMicros()),
                () -> {
                    // A watch that was cut off tells of the old leader's end and of the new leader
                    // in one answer.
                    if (startCampaign == expected && role == Role.FOLLOWER && isVacant()) {
                        if (fence.isOpen()) {
                            startCampaign();
                        } else {
                            scheduleCampaign(FENCED_MICROS);
                        }
                    }
                });
    }

    private boolean isVacant() {
        return leaderKey == null || leaderKey.label().equals(label);
    }

    /** Takes over although the leader key stands: its holder was seen to be gone. */
    public void takeOverFrom(String gone) {
        if (role == Role.FOLLOWER
                && leaderKey != null
                && leaderKey.label().equals(gone)
                && fence.isOpen()) {
            LOG.info("event=failover_started former_leader={}", gone);
            startCampaign();
        }
    }

    private void startCampaign() {
        role = Role.CANDIDATE;
        requestedTerm = 0;
        // The key as it is now: whoever takes it meanwhile is not to be deposed by a campaign
        // against another.
        long leaderRevision = leaderKey == null ? 0 : this.leaderRevision;
        store.storeLease(
                GRANT_MICROS,
                (result, granted) -> {
                    if (result != Result.OK) {
                        onCampaignFailed();
                        return;
                    }
                    storeLease = granted;
                    store.get(
                            RequestPriority.CONTROL,
                            StoreKeys.TERM,
                            (read, entry, storeRevision) -> {
                                try {
                                    if (read == Result.OK) {
                                        takeTerm(
                                                leaderRevision,
                                                new Fields(entry.value()).integer("term") + 1,
                                                entry.revision());
                                    } else if (read == Result.NOT_FOUND) {
                                        takeTerm(leaderRevision, 1, 0);
                                    } else {
                                        onCampaignFailed();
                                    }
                                } catch (MalformedMessageException e) {
                                    LOG.error(
                                            "event=record_unreadable key={} error=\"{}\"",
                                            StoreKeys.TERM,
                                            e.getMessage());
                                    onCampaignFailed();
                                }
                            });
                });
    }

    private void takeTerm(long leaderRevision, long newTerm, long termRevision) {
        requestedTerm = newTerm;
        Map<String, Object> termValue = new LinkedHashMap<>();
        termValue.put("term", newTerm);
        // Whoever takes a term has read what the stored state requires, and nothing was added to it
        // since.
        store.txn(
                RequestPriority.CONTROL,
                List.of(
                        new Condition(StoreKeys.LEADER, leaderRevision),
                        new Condition(StoreKeys.TERM, termRevision),
                        fence.condition()),
                List.of(
                        new Change(
                                StoreKeys.LEADER,
                                new LeaderKey(label, newTerm).toMap(),
                                storeLease),
                        Change.put(StoreKeys.TERM, termValue)),
                (result, storeRevision, conflicts) -> {
                    if (requestedTerm != newTerm) {
                        if (result == Result.CONFLICT && role == Role.LEADER && term == newTerm) {
                            // The key that was seen is of this node's process before, and so is the
                            // grant that it hangs on.
                            stepDown("the term was taken by an earlier process");
                        }
                    } else if (result == Result.OK) {
                        onElected(newTerm, storeRevision);
                    } else {
                        if (conflicts.contains(fence.condition().path())) {
                            fence.onConflict();
                        }
                        // Without an answer it may have been carried out; otherwise a later
                        // campaign takes a higher term.
                        requestedTerm = result == Result.UNKNOWN ? newTerm : 0;
                        onCampaignFailed();
                    }
                });
    }

    private void onCampaignFailed() {
        role = Role.FOLLOWER;
        long pause = RETRY_MICROS + random.nextInt((int) RETRY_MICROS);
        loop.schedule(
                pause,
                () ->
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
                                }));
    }

    private void onElected(long newTerm, long revision) {
        role = Role.LEADER;
        requestedTerm = 0;
        term = newTerm;
        highestTerm = Math.max(highestTerm, newTerm);
        leaderKey = new LeaderKey(label, newTerm);
        leaderRevision = revision;
        LOG.info("event=leader_elected term={}", newTerm);
        // The grant may be some seconds old.
        scheduleRenewal(newTerm, 1);
        listener.onElected(newTerm, revision);
        loop.execute(listener::onLeaderChanged);
    }

    private void scheduleRenewal(long ofTerm, long delayMicros) {
        loop.schedule(
                delayMicros,
                () -> {
                    if (role != Role.LEADER || term != ofTerm) {
                        return;
                    }
                    store.renewLease(
                            storeLease,
                            (result, id) -> {
                                if (result == Result.NOT_FOUND
                                        && role == Role.LEADER
                                        && term == ofTerm) {
                                    stepDown("the grant has ended");
                                }
                            });
                    scheduleRenewal(ofTerm, RENEW_MICROS);
                });
    }

    /** Leads no more, for a reason that the node has seen elsewhere. */
    public void stepDown(String reason) {
        if (role != Role.LEADER) {
            return;
        }
        LOG.info("event=leadership_lost term={} reason=\"{}\"", term, reason);
        role = Role.FOLLOWER;
        if (leaderKey != null && leaderKey.term() == term) {
            leaderKey = null;
        }
        listener.onDeposed(reason);
        onCampaignFailed();
    }
}
