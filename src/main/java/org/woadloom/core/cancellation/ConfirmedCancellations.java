package org.woadloom.core.cancellation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The cancellations that a node has told of or is about to, and its promises to leaders: it tells
 * of none that the leader lacks while one relies on that. Pure: its owner brings the time and
 * carries the messages.
 */
public final class ConfirmedCancellations {
    /** What a node that the state service serves promises: less than a user waits for an answer. */
    public static final long PROMISE_MICROS = 3_000_000;

    /**
     * What one promises that it does not serve, which can learn of no cancellation before it does
     * again. It bridges the time from a process's end to the first word of the next: an outage that
     * lasts on is then no reason to stop work.
     */
    public static final long SILENT_PROMISE_MICROS = 15_000_000;

    private static final long SILENT_MICROS = 1_000_000;

    /**
     * While the leader has not taken in for so long what somebody waits to be told of, it gets no
     * new promise.
     */
    private static final long OVERDUE_MICROS = 700_000;

    /**
     * Only what the leader has not taken in yet is sent, and it answers within a second: more
     * cancellations than the state service takes in that time, whatever the fleet. Beyond the bound
     * the vouch says from when on it is complete.
     */
    private static final int MAX_ENTRIES = 2_000;

    private static final long NEVER = Long.MIN_VALUE / 4;

    /** Before every term, also that of a node that knows of none. */
    private static final long NO_TERM = -1;

    private final long processId;

    /** By job, the first first; no two are of the same moment, nor of that of a vouch. */
    private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();

    private long latestMicros;

    /** Everything that this process told after this moment is among the entries. */
    private long completeSinceMicros;

    private long term;
    private String leader;
    private long echoedLeaderClockMicros = WatermarkReport.NONE;

    /** All entries up to this moment are taken in by the leader of the term. */
    private long acknowledgedMicros = NEVER;

    /** Until when this term's leader may rely on a promise. */
    private long promisedUntilMicros = NEVER;

    /**
     * What nodes may still rely on as leaders of before, by node; this one's own leadership is
     * never among them.
     */
    private final Map<String, OutstandingPromise> outstandingPromises = new HashMap<>();

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
     * @param inherited the process before this one may have given one too, in a term that is not
     *     known here
     */
    private record OutstandingPromise(long term, boolean fromPredecessor, long untilMicros) {
        /** A node says which term it knows of: no word of before a promise ends that. */
        boolean endsAt(long itsTerm, boolean leads) {
            return itsTerm > term && !(fromPredecessor && leads);
        }
    }

    /**
     * @param peers the other nodes, each of which may have led when the process before this one
     *     ended
     */
    public ConfirmedCancellations(long processId, List<String> peers, long nowMicros) {
        this.processId = processId;
        peers.forEach(
                peer ->
                        outstandingPromises.put(
                                peer,
                                new OutstandingPromise(
                                        NO_TERM, true, nowMicros + SILENT_PROMISE_MICROS)));
        latestMicros = nowMicros;
        completeSinceMicros = nowMicros;
    }

    /** Promises are not in use, so the process before this one has given none. */
    public void forgetPredecessorPromises() {
        outstandingPromises.values().removeIf(OutstandingPromise::fromPredecessor);
    }

    /** The state service says that the job is cancelled, and somebody wants to know. */
    public void add(String jobId, long nowMicros) {
        if (entries.containsKey(jobId)) {
            return;
        }
        entries.put(jobId, new Entry(next(nowMicros)));
        if (entries.size() > MAX_ENTRIES) {
            String first = entries.keySet().iterator().next();
            completeSinceMicros = entries.remove(first).micros;
        }
    }

    private long next(long nowMicros) {
        latestMicros = Math.max(latestMicros + 1, nowMicros);
        return latestMicros;
    }

    /** Whether a user may be told of an entered cancellation now; one that may counts as told. */
    public boolean tryConfirm(String jobId, long nowMicros) {
        Entry entry = entries.get(jobId);
        if (entry == null) {
            return false;
        }
        entry.told |=
                entry.micros <= acknowledgedMicros
                        ? !isPromiseOutstanding(nowMicros, leader)
                        : nowMicros > promisedUntilMicros && !isPromiseOutstanding(nowMicros, null);
        return entry.told;
    }

    /**
     * Whether any leader of before may rely on a promise, but for the node that leads now and has
     * taken in what is asked about: whatever it was promised before, it lacks nothing.
     */
    private boolean isPromiseOutstanding(long nowMicros, String but) {
        return outstandingPromises.entrySet().stream()
                .anyMatch(
                        entry ->
                                !entry.getKey().equals(but)
                                        && nowMicros <= entry.getValue().untilMicros);
    }

    /**
     * A peer has said which term it knows of and whether it leads in that: one that leads no more
     * relies on nothing.
     */
    public void onPeerTerm(String peer, long itsTerm, boolean leads) {
        outstandingPromises.computeIfPresent(
                peer, (node, promise) -> promise.endsAt(itsTerm, leads) ? null : promise);
        if (peer.equals(leader) && itsTerm > term) {
            promisedUntilMicros = NEVER;
        }
    }

    /**
     * This node itself has led and does so no more: it relies on nothing, and nobody else would
     * ever say so.
     */
    public void onLeadershipLost(String self) {
        if (self.equals(leader)) {
            promisedUntilMicros = NEVER;
        }
    }

    /**
     * What to say to the leader of a term, or null to that of one that is over.
     *
     * @param stateSilentMicros for how long the state service has not served this node
     */
    public WatermarkReport nextReport(
            String ofLeader, long ofTerm, long stateSilentMicros, long nowMicros) {
        if (ofTerm < term) {
            return null;
        }
        if (ofTerm > term) {
            startTerm(ofLeader, ofTerm, nowMicros);
        }
        long since = Math.max(acknowledgedMicros, completeSinceMicros);
        List<String> jobs = new ArrayList<>();
        entries.forEach(
                (jobId, entry) -> {
                    if (entry.micros > since) {
                        jobs.add(jobId);
                    }
                });
        long said = next(nowMicros);
        long promise =
                hasOverdueEntry(nowMicros)
                        ? 0
                        : stateSilentMicros > SILENT_MICROS
                                ? SILENT_PROMISE_MICROS
                                : PROMISE_MICROS;
        if (promise > 0) {
            promisedUntilMicros = Math.max(promisedUntilMicros, said + promise);
        }
        return new WatermarkReport(
                term, processId, said, since, echoedLeaderClockMicros, promise, jobs);
    }

    /**
     * Whoever asked may have gone meanwhile: by the time he asks again the promise has to have run
     * out.
     */
    private boolean hasOverdueEntry(long nowMicros) {
        return entries.values().stream()
                .anyMatch(
                        entry ->
                                !entry.told
                                        && entry.micros > acknowledgedMicros
                                        && nowMicros - entry.micros > OVERDUE_MICROS);
    }

    /**
     * What a new leader has read of the state service may be older than anything that was told: it
     * gets all there is.
     */
    private void startTerm(String newLeader, long newTerm, long nowMicros) {
        if (promisedUntilMicros >= nowMicros) {
            OutstandingPromise before = outstandingPromises.get(leader);
            outstandingPromises.put(
                    leader,
                    before == null
                            ? new OutstandingPromise(term, false, promisedUntilMicros)
                            : new OutstandingPromise(
                                    term,
                                    before.fromPredecessor,
                                    Math.max(before.untilMicros, promisedUntilMicros)));
        }
        leader = newLeader;
        term = newTerm;
        promisedUntilMicros = NEVER;
        acknowledgedMicros = NEVER;
        echoedLeaderClockMicros = WatermarkReport.NONE;
    }

    /** The leader has answered. */
    public void onAck(WatermarkAck answer) {
        if (answer.term() == term && answer.processId() == processId) {
            acknowledgedMicros = Math.max(acknowledgedMicros, answer.reportSentMicros());
            echoedLeaderClockMicros = Math.max(echoedLeaderClockMicros, answer.leaderClockMicros());
        }
    }
}
