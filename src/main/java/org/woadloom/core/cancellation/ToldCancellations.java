package org.woadloom.core.cancellation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The cancellations that a node has told of or is about to, and its promises to leaders: it tells of none that the leader
 * lacks while one relies on that. Pure: its owner brings the time and carries the messages.
 */
public final class ToldCancellations {
    /** What a node that the state service serves promises: less than a user waits for an answer. */
    public static final long PROMISE_MICROS = 3_000_000;
    /**
     * What one promises that it does not serve, which can learn of no cancellation before it does again. It bridges the time
     * from a process's end to the first word of the next: an outage that lasts on is then no reason to stop work.
     */
    public static final long SILENT_PROMISE_MICROS = 15_000_000;
    private static final long SILENT_MICROS = 1_000_000;
    /** While the leader has not taken in for so long what somebody waits to be told of, it gets no new promise. */
    private static final long LONG_MICROS = 700_000;
    /**
     * Only what the leader has not taken in yet is sent, and it answers within a second: more cancellations than the state
     * service takes in that time, whatever the fleet. Beyond the bound the vouch says from when on it is complete.
     */
    private static final int MOST_KEPT = 2_000;
    private static final long NEVER = Long.MIN_VALUE / 4;
    /** Before every term, also that of a node that knows of none. */
    private static final long NO_TERM = -1;

    private final long life;
    /** By job, the first first; no two are of the same moment, nor of that of a vouch. */
    private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();
    private long latestMicros;
    /** Everything that this process told after this moment is among the entries. */
    private long completeSinceMicros;
    private long term;
    private String leader;
    private long echoMicros = Vouch.NONE;
    /** All entries up to this moment are taken in by the leader of the term. */
    private long takenMicros = NEVER;
    /** Until when this term's leader may rely on a promise. */
    private long promisedMicros = NEVER;
    /** What nodes may still rely on as leaders of before, by node; this one's own leadership is never among them. */
    private final Map<String, Reliance> relying = new HashMap<>();

    private static final class Entry {
        final long micros;
        boolean told;

        Entry(long micros) {
            this.micros = micros;
        }
    }

    /**
     * A promise to a leader of before.
     *
     * @param term the latest that it may be of, as far as this process knows
     * @param inherited the process before this one may have given one too, in a term that is not known here
     */
    private record Reliance(long term, boolean inherited, long untilMicros) {
        /** A node says which term it knows of: no word of before a promise ends that. */
        boolean endsWith(long itsTerm, boolean leads) {
            return itsTerm > term && !(inherited && leads);
        }
    }

    /** @param peers the other nodes, each of which may have led when the process before this one ended */
    public ToldCancellations(long life, List<String> peers, long nowMicros) {
        this.life = life;
        peers.forEach(peer -> relying.put(peer, new Reliance(NO_TERM, true, nowMicros + SILENT_PROMISE_MICROS)));
        latestMicros = nowMicros;
        completeSinceMicros = nowMicros;
    }

    /** Promises are not in use, so the process before this one has given none. */
    public void nothingInherited() {
        relying.values().removeIf(Reliance::inherited);
    }

    /** The state service says that the job is cancelled, and somebody wants to know. */
    public void enter(String uid, long nowMicros) {
        if (entries.containsKey(uid)) {
            return;
        }
        entries.put(uid, new Entry(next(nowMicros)));
        if (entries.size() > MOST_KEPT) {
            String first = entries.keySet().iterator().next();
            completeSinceMicros = entries.remove(first).micros;
        }
    }

    private long next(long nowMicros) {
        latestMicros = Math.max(latestMicros + 1, nowMicros);
        return latestMicros;
    }

    /** Whether a user may be told of an entered cancellation now; one that may counts as told. */
    public boolean mayTell(String uid, long nowMicros) {
        Entry entry = entries.get(uid);
        if (entry == null) {
            return false;
        }
        entry.told |= entry.micros <= takenMicros ? !reliedOn(nowMicros, leader)
                : nowMicros > promisedMicros && !reliedOn(nowMicros, null);
        return entry.told;
    }

    /**
     * Whether any leader of before may rely on a promise, but for the node that leads now and has taken in what is asked
     * about: whatever it was promised before, it lacks nothing.
     */
    private boolean reliedOn(long nowMicros, String but) {
        return relying.entrySet().stream().anyMatch(entry -> !entry.getKey().equals(but) && nowMicros <= entry.getValue().untilMicros);
    }

    /** A peer has said which term it knows of and whether it leads in that: one that leads no more relies on nothing. */
    public void heard(String peer, long itsTerm, boolean leads) {
        relying.computeIfPresent(peer, (node, promise) -> promise.endsWith(itsTerm, leads) ? null : promise);
        if (peer.equals(leader) && itsTerm > term) {
            promisedMicros = NEVER;
        }
    }

    /** This node itself has led and does so no more: it relies on nothing, and nobody else would ever say so. */
    public void ledUntilNow(String self) {
        if (self.equals(leader)) {
            promisedMicros = NEVER;
        }
    }

    /**
     * What to say to the leader of a term, or null to that of one that is over.
     *
     * @param stateSilentMicros for how long the state service has not served this node
     */
    public Vouch vouch(String ofLeader, long ofTerm, long stateSilentMicros, long nowMicros) {
        if (ofTerm < term) {
            return null;
        }
        if (ofTerm > term) {
            begin(ofLeader, ofTerm, nowMicros);
        }
        long since = Math.max(takenMicros, completeSinceMicros);
        List<String> jobs = new ArrayList<>();
        entries.forEach((uid, entry) -> {
            if (entry.micros > since) {
                jobs.add(uid);
            }
        });
        long said = next(nowMicros);
        long promise = keepsWaiting(nowMicros) ? 0 : stateSilentMicros > SILENT_MICROS ? SILENT_PROMISE_MICROS : PROMISE_MICROS;
        if (promise > 0) {
            promisedMicros = Math.max(promisedMicros, said + promise);
        }
        return new Vouch(term, life, said, since, echoMicros, promise, jobs);
    }

    /** Whoever asked may have gone meanwhile: by the time he asks again the promise has to have run out. */
    private boolean keepsWaiting(long nowMicros) {
        return entries.values().stream().anyMatch(entry -> !entry.told && entry.micros > takenMicros
                && nowMicros - entry.micros > LONG_MICROS);
    }

    /** What a new leader has read of the state service may be older than anything that was told: it gets all there is. */
    private void begin(String newLeader, long newTerm, long nowMicros) {
        if (promisedMicros >= nowMicros) {
            Reliance before = relying.get(leader);
            relying.put(leader, before == null ? new Reliance(term, false, promisedMicros)
                    : new Reliance(term, before.inherited, Math.max(before.untilMicros, promisedMicros)));
        }
        leader = newLeader;
        term = newTerm;
        promisedMicros = NEVER;
        takenMicros = NEVER;
        echoMicros = Vouch.NONE;
    }

    /** The leader has answered. */
    public void taken(VouchTaken answer) {
        if (answer.term() == term && answer.life() == life) {
            takenMicros = Math.max(takenMicros, answer.saidMicros());
            echoMicros = Math.max(echoMicros, answer.leaderMicros());
        }
    }
}
