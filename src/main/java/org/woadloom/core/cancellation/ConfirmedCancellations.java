package org.woadloom.core.cancellation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The cancellations that a node has confirmed to users or is about to, and its promises to leaders:
 * it confirms none that a leader lacks while that leader relies on the promise. It reads no clock
 * and sends nothing; its owner does.
 */
public final class ConfirmedCancellations {
    /** The promise of a node that the store serves: shorter than a user waits for an ack. */
    public static final long PROMISE_MICROS = 3_000_000;

    /**
     * The promise of a node that the store does not serve, which learns of no cancellation until it
     * does again. It bridges the time from the end of a process to the first report of the next, so
     * that a lasting outage of the store is no reason to stop work.
     */
    public static final long STORE_OUTAGE_PROMISE_MICROS = 15_000_000;

    /** A store that has not answered for so long counts as not serving. */
    private static final long STORE_SILENT_MICROS = 1_000_000;

    /**
     * While the leader has not acknowledged for so long what a user waits for, it gets no new
     * promise.
     */
    private static final long OVERDUE_MICROS = 700_000;

    /**
     * Only what the leader has not acknowledged is sent, and it answers within a second: these are
     * more cancellations than the store takes in that time. Beyond the bound the report says from
     * when on it is complete.
     */
    private static final int MAX_ENTRIES = 2_000;

    private static final long NEVER_MICROS = Long.MIN_VALUE / 4;

    /** Before every term, also that of a node that knows of none. */
    private static final long NO_TERM = -1;

    private final long processId;

    /** By job, the earliest first; no two have the same time, nor that of a report. */
    private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();

    private long latestMicros;

    /** Every cancellation that this process confirmed after this moment is among the entries. */
    private long completeSinceMicros;

    private long term;
    private String leader;
    private long echoedLeaderClockMicros = WatermarkReport.NO_LEADER_CLOCK;

    /** The leader of the term has acknowledged all entries up to this moment. */
    private long acknowledgedMicros = NEVER_MICROS;

    /** Until when this term's leader may rely on a promise. */
    private long promisedUntilMicros = NEVER_MICROS;

    /**
     * Promises that earlier leaders may still rely on, by node; those to this node itself are never
     * among them.
     */
    private final Map<String, OutstandingPromise> outstandingPromises = new HashMap<>();

    private static final class Entry {
        final long micros;
        boolean confirmed;

        Entry(long micros) {
            this.micros = micros;
        }
    }

    /**
     * A promise to an earlier leader.
     *
     * @param term the latest term that it may be of, as far as this process knows
     * @param fromPredecessor whether the process before this one may have given one too, in a term
     *     that is not known here
     * @param untilMicros when the promise ends
     */
    private record OutstandingPromise(long term, boolean fromPredecessor, long untilMicros) {
        /** Whether a node that knows of this term no longer relies on the promise. */
        boolean endsAt(long peerTerm, boolean leads) {
            return peerTerm > term && !(fromPredecessor && leads);
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
                                        NO_TERM, true, nowMicros + STORE_OUTAGE_PROMISE_MICROS)));
        latestMicros = nowMicros;
        completeSinceMicros = nowMicros;
    }

    /** Promises are not in use yet, so the process before this one has given none. */
    public void forgetPredecessorPromises() {
        outstandingPromises.values().removeIf(OutstandingPromise::fromPredecessor);
    }

    /** The store holds the job as cancelled, and a user waits to be told so. */
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

    /** Whether a user may be told of an added cancellation now; if so it counts as confirmed. */
    public boolean tryConfirm(String jobId, long nowMicros) {
        Entry entry = entries.get(jobId);
        if (entry == null) {
            return false;
        }
        entry.confirmed |=
                entry.micros <= acknowledgedMicros
                        ? !isPromiseOutstanding(nowMicros, leader)
                        : nowMicros > promisedUntilMicros && !isPromiseOutstanding(nowMicros, null);
        return entry.confirmed;
    }

    /**
     * Whether any earlier leader may rely on a promise, except for the given node, which leads now
     * and has acknowledged the entry in question.
     */
    private boolean isPromiseOutstanding(long nowMicros, String exceptNode) {
        return outstandingPromises.entrySet().stream()
                .anyMatch(
                        entry ->
                                !entry.getKey().equals(exceptNode)
                                        && nowMicros <= entry.getValue().untilMicros);
    }

    /**
     * A peer has reported which term it knows of and whether it leads in that; one that no longer
     * leads relies on no promise.
     */
    public void onPeerTerm(String peer, long peerTerm, boolean leads) {
        outstandingPromises.computeIfPresent(
                peer, (node, promise) -> promise.endsAt(peerTerm, leads) ? null : promise);
        if (peer.equals(leader) && peerTerm > term) {
            promisedUntilMicros = NEVER_MICROS;
        }
    }

    /**
     * This node itself has led and no longer does: it relies on no promise, and no peer would ever
     * report that.
     */
    public void onLeadershipLost(String self) {
        if (self.equals(leader)) {
            promisedUntilMicros = NEVER_MICROS;
        }
    }

    /**
     * The report to send to the leader of a term, or null if that term is over.
     *
     * @param storeSilentMicros for how long the store has not served this node
     */
    public WatermarkReport nextReport(
            String ofLeader, long ofTerm, long storeSilentMicros, long nowMicros) {
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
        long sentMicros = next(nowMicros);
        long promise =
                hasOverdueEntry(nowMicros)
                        ? 0
                        : storeSilentMicros > STORE_SILENT_MICROS
                                ? STORE_OUTAGE_PROMISE_MICROS
                                : PROMISE_MICROS;
        if (promise > 0) {
            promisedUntilMicros = Math.max(promisedUntilMicros, sentMicros + promise);
        }
        return new WatermarkReport(
                term, processId, sentMicros, since, echoedLeaderClockMicros, promise, jobs);
    }

    /**
     * Whether a user has waited too long for the leader. The user may have given up; by the next
     * request the promise has to have ended.
     */
    private boolean hasOverdueEntry(long nowMicros) {
        return entries.values().stream()
                .anyMatch(
                        entry ->
                                !entry.confirmed
                                        && entry.micros > acknowledgedMicros
                                        && nowMicros - entry.micros > OVERDUE_MICROS);
    }

    /**
     * What a new leader has read of the store may be older than any confirmation, so it is sent all
     * entries.
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
        promisedUntilMicros = NEVER_MICROS;
        acknowledgedMicros = NEVER_MICROS;
        echoedLeaderClockMicros = WatermarkReport.NO_LEADER_CLOCK;
    }

    /** Takes in the leader's answer to a report; one to another process is ignored. */
    public void onAck(WatermarkAck ack) {
        if (ack.term() == term && ack.processId() == processId) {
            acknowledgedMicros = Math.max(acknowledgedMicros, ack.reportSentMicros());
            echoedLeaderClockMicros = Math.max(echoedLeaderClockMicros, ack.leaderClockMicros());
        }
    }
}
