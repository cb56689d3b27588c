package org.woadloom.leader;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.net.Loop;
import org.woadloom.state.Keys;
import org.woadloom.state.StateClient;
import org.woadloom.state.StateClient.Change;
import org.woadloom.state.StateClient.Condition;
import org.woadloom.state.StateClient.Result;
import org.woadloom.state.StateClient.Urgency;
import org.woadloom.wire.Fields;
import org.woadloom.wire.WireException;

/**
 * Who leads. The leader key hangs on a grant that the leader renews, but that is only for liveness: safety comes from
 * the term, which every leader takes anew, and from the key's stamp, on which all its writes are conditional. For that
 * reason a node may take over at any time without asking whether the old leader is really gone.
 */
public final class Election {
    private static final Logger LOG = LoggerFactory.getLogger(Election.class);
    private static final long GRANT_MICROS = 4_000_000;
    private static final long RENEW_MICROS = 1_000_000;
    private static final long WATCH_MICROS = 10_000_000;
    private static final long RETRY_MICROS = 250_000;
    private static final long FENCED_MICROS = 20_000;
    /** How long a process that found its node's former leadership leaves the others to take over. */
    private static final long YIELD_MICROS = 250_000;

    /** Whether this process may lead at all, by what the stored state requires of it. */
    public interface Fence {
        /** True once what is required was read and is known here. */
        boolean open();

        /** Holds as long as nothing else is required than what was read. */
        Condition condition();

        /** The condition has failed: what is required must be read again. */
        void changed();
    }

    /** What the node does when leadership comes and goes. */
    public interface Listener {
        void elected(long term, long leaderStamp);

        void deposed(String reason);

        /** Another leader than before is known, this node perhaps. */
        void leaderSeen();
    }

    private enum Role { FOLLOWER, CANDIDATE, LEADER }

    private final Loop loop;
    private final StateClient state;
    private final String label;
    private final Random random;
    private final Fence fence;
    private final Listener listener;
    private Role role = Role.FOLLOWER;
    private long term;
    private long grant;
    private LeaderKey current;
    private long currentStamp;
    private int campaign;
    /** The term that this process has asked for, whose outcome it does not know yet; 0 for none. */
    private long sought;
    /** This process does not campaign before. */
    private long notBeforeMicros = Long.MIN_VALUE / 2;
    /** The highest term ever heard of: a peer may still speak of a leader that is gone. */
    private long highestTerm;

    public Election(Loop loop, StateClient state, String label, Random random, Fence fence,
            Listener listener) {
        this.loop = loop;
        this.state = state;
        this.label = label;
        this.random = random;
        this.fence = fence;
        this.listener = listener;
    }

    public void start() {
        look();
    }

    public boolean leads() {
        return role == Role.LEADER;
    }

    /** The label of the leader as far as known, or null. */
    public String leader() {
        return leads() ? label : current == null ? null : current.label();
    }

    /** The term of the leader as far as known, 0 for none. */
    public long knownTerm() {
        return current == null ? 0 : current.term();
    }

    /**
     * A peer knows of a leader in a later term. That may be all this node learns while the state service refuses it alone;
     * to lead on would keep workers from the new leader. The stamp stays as it was, so a campaign on it can only fail.
     */
    public void heardOf(String leader, long ofTerm) {
        if (ofTerm <= highestTerm || leader.equals(label)) {
            return;
        }
        highestTerm = ofTerm;
        LOG.info("event=leader_reported_by_peer leader={} term={}", leader, ofTerm);
        current = new LeaderKey(leader, ofTerm);
        stepDown(leader + " leads in term " + ofTerm);
        loop.execute(listener::leaderSeen);
    }

    private void look() {
        state.get(Urgency.CONTROL, Keys.LEADER, (result, entry, generation) -> {
            if (result == Result.OK) {
                seen(entry.value(), entry.stamp());
                watch(entry.stamp());
            } else if (result == Result.NOT_FOUND) {
                seen(null, generation);
                watch(generation);
            } else {
                loop.schedule(RETRY_MICROS + random.nextInt((int) RETRY_MICROS), this::look);
            }
        });
    }

    private void watch(long since) {
        state.follow(Keys.LEADER, since, WATCH_MICROS, (result, events, generation) -> {
            if (result != Result.OK) {
                loop.schedule(RETRY_MICROS, this::look);
                return;
            }
            for (StateClient.Event event : events) {
                if (event.path().equals(Keys.LEADER)) {
                    seen(event.value(), event.stamp());
                }
            }
            watch(Math.max(since, generation));
        });
    }

    private void seen(Map<String, Object> value, long stamp) {
        if (stamp < currentStamp) {
            return;
        }
        currentStamp = stamp;
        LeaderKey before = current;
        try {
            current = value == null ? null : LeaderKey.parse(value);
        } catch (WireException e) {
            current = null;
        }
        highestTerm = Math.max(highestTerm, knownTerm());
        if (role != Role.LEADER && sought == highestTerm && new LeaderKey(label, sought).equals(current)) {
            // What was asked for was carried out, and its answer is late or lost: others would wait for the grant's end.
            won(sought, stamp);
            return;
        }
        if (current != null && !current.equals(before)) {
            LOG.info("event=leader_changed leader={} term={}", current.label(), current.term());
            loop.execute(listener::leaderSeen);
        }
        if (role == Role.LEADER && (current == null || current.term() != term)) {
            if (current == null || current.term() > term) {
                stepDown(current == null ? "the leader key is gone" : current.label() + " leads");
            }
        }
        if (role == Role.FOLLOWER && current != null && current.label().equals(label) && term == 0) {
            leaveToOthers(stamp);
        } else if (role == Role.FOLLOWER && vacant()) {
            // The key names this node from before it stepped down, or nobody.
            campaignSoon(current == null && before == null ? 0 : random.nextInt(30_000));
        }
    }

    /**
     * The process before this one led. One that keeps ending would take over again and again, and read all records each
     * time, while the others wait for its grant to end: leading is better left to a node that stays. The others see at
     * once that nobody leads, and this process takes over only if none of them does.
     */
    private void leaveToOthers(long stamp) {
        state.txn(Urgency.CONTROL, List.of(new Condition(Keys.LEADER, stamp)), List.of(Change.drop(Keys.LEADER)),
                (result, generation, conflicts) -> {
                    notBeforeMicros = loop.nowMicros() + YIELD_MICROS;
                    if (result == Result.OK) {
                        seen(null, generation);
                    } else if (role == Role.FOLLOWER) {
                        failed();
                    }
                });
    }

    private void campaignSoon(long delayMicros) {
        int expected = ++campaign;
        loop.schedule(Math.max(Math.max(1, delayMicros), notBeforeMicros - loop.nowMicros()), () -> {
            // A watch that was cut off tells of the old leader's end and of the new leader in one answer.
            if (campaign == expected && role == Role.FOLLOWER && vacant()) {
                if (fence.open()) {
                    campaign();
                } else {
                    campaignSoon(FENCED_MICROS);
                }
            }
        });
    }

    private boolean vacant() {
        return current == null || current.label().equals(label);
    }

    /** Takes over although the leader key stands: its holder was seen to be gone. */
    public void takeOverFrom(String gone) {
        if (role == Role.FOLLOWER && current != null && current.label().equals(gone) && fence.open()) {
            LOG.info("event=failover_started former_leader={}", gone);
            campaign();
        }
    }

    private void campaign() {
        role = Role.CANDIDATE;
        sought = 0;
        // The key as it is now: whoever takes it meanwhile is not to be deposed by a campaign against another.
        long leaderStamp = current == null ? 0 : currentStamp;
        state.grant(GRANT_MICROS, (result, granted) -> {
            if (result != Result.OK) {
                failed();
                return;
            }
            grant = granted;
            state.get(Urgency.CONTROL, Keys.TERM, (read, entry, generation) -> {
                try {
                    if (read == Result.OK) {
                        take(leaderStamp, new Fields(entry.value()).integer("term") + 1, entry.stamp());
                    } else if (read == Result.NOT_FOUND) {
                        take(leaderStamp, 1, 0);
                    } else {
                        failed();
                    }
                } catch (WireException e) {
                    LOG.error("event=record_unreadable key={} error=\"{}\"", Keys.TERM, e.getMessage());
                    failed();
                }
            });
        });
    }

    private void take(long leaderStamp, long newTerm, long termStamp) {
        sought = newTerm;
        Map<String, Object> termValue = new LinkedHashMap<>();
        termValue.put("term", newTerm);
        // Whoever takes a term has read what the stored state requires, and nothing was added to it since.
        state.txn(Urgency.CONTROL, List.of(new Condition(Keys.LEADER, leaderStamp),
                new Condition(Keys.TERM, termStamp), fence.condition()),
                List.of(new Change(Keys.LEADER, new LeaderKey(label, newTerm).toMap(), grant),
                        Change.put(Keys.TERM, termValue)), (result, generation, conflicts) -> {
                    if (sought != newTerm) {
                        if (result == Result.CONFLICT && role == Role.LEADER && term == newTerm) {
                            // The key that was seen is of this node's process before, and so is the grant that it hangs on.
                            stepDown("the term was taken by an earlier process");
                        }
                    } else if (result == Result.OK) {
                        won(newTerm, generation);
                    } else {
                        if (conflicts.contains(fence.condition().path())) {
                            fence.changed();
                        }
                        // Without an answer it may have been carried out; otherwise a later campaign takes a higher term.
                        sought = result == Result.UNKNOWN ? newTerm : 0;
                        failed();
                    }
                });
    }

    private void failed() {
        role = Role.FOLLOWER;
        long pause = RETRY_MICROS + random.nextInt((int) RETRY_MICROS);
        loop.schedule(pause, () -> state.get(Urgency.CONTROL, Keys.LEADER, (result, entry, generation) -> {
            if (result == Result.OK) {
                seen(entry.value(), entry.stamp());
            } else if (result == Result.NOT_FOUND) {
                seen(null, generation);
            } else if (role == Role.FOLLOWER) {
                failed();
            }
        }));
    }

    private void won(long newTerm, long stamp) {
        role = Role.LEADER;
        sought = 0;
        term = newTerm;
        highestTerm = Math.max(highestTerm, newTerm);
        current = new LeaderKey(label, newTerm);
        currentStamp = stamp;
        LOG.info("event=leader_elected term={}", newTerm);
        // The grant may be some seconds old.
        renewLater(newTerm, 1);
        listener.elected(newTerm, stamp);
        loop.execute(listener::leaderSeen);
    }

    private void renewLater(long ofTerm, long delayMicros) {
        loop.schedule(delayMicros, () -> {
            if (role != Role.LEADER || term != ofTerm) {
                return;
            }
            state.renew(grant, (result, id) -> {
                if (result == Result.NOT_FOUND && role == Role.LEADER && term == ofTerm) {
                    stepDown("the grant has ended");
                }
            });
            renewLater(ofTerm, RENEW_MICROS);
        });
    }

    /** Leads no more, for a reason that the node has seen elsewhere. */
    public void stepDown(String reason) {
        if (role != Role.LEADER) {
            return;
        }
        LOG.info("event=leadership_lost term={} reason=\"{}\"", term, reason);
        role = Role.FOLLOWER;
        if (current != null && current.term() == term) {
            current = null;
        }
        listener.deposed(reason);
        failed();
    }
}
