package org.woadloom.core.cancellation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the cancellations that a node has confirmed to users or is about to confirm, and the
 * node's promises to leaders.
 *
 * <p>A promise lets a leader assume, until it ends, that this node confirms no cancellation that
 * the leader has not acknowledged. A cancellation is confirmed once the current leader has
 * acknowledged it, or once no promise is outstanding. This class reads no clock and does no I/O;
 * the caller does both.
 */
public final class ConfirmedCancellations {
    /**
     * Duration of a promise while the store responds to this node. Shorter than users wait for a
     * confirmation.
     */
    public static final long PROMISE_MICROS = 3_000_000;

    /**
     * Duration of a promise while the store does not respond to this node, which cannot learn of
     * new cancellations then. Long enough to cover the time from the end of a process to the first
     * report of its successor, so that a long store outage does not make the leader stop work.
     */
    public static final long STORE_OUTAGE_PROMISE_MICROS = 15_000_000;

    /** A store that has not responded for this long counts as unavailable. */
    private static final long STORE_UNAVAILABLE_MICROS = 1_000_000;

    /**
     * If the leader leaves a cancellation that a user waits for unacknowledged for this long, it
     * gets no new promise.
     */
    private static final long ACK_OVERDUE_MICROS = 700_000;

    /**
     * Maximum number of tracked cancellations: more than the store accepts within the second in
     * which the leader acknowledges a report. Beyond it, the oldest is dropped and reports are
     * marked as complete only since then.
     */
    private static final int MAX_ENTRIES = 2_000;

    private static final long NEVER_MICROS = Long.MIN_VALUE / 4;

    /** Lower than every term, including 0, which stands for no known term. */
    private static final long NO_TERM = -1;

    private final long processId;

    /**
     * By job id, oldest first. No two entries have the same time, and none has that of a report.
     */
    private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();

    private long latestTimestampMicros;

    /** Every cancellation that this process confirmed after this time is among the entries. */
    private long completeSinceMicros;

    private long term;
    private String leader;
    private long echoedLeaderClockMicros = WatermarkReport.NO_LEADER_CLOCK;

    /** The leader of the current term has acknowledged all entries up to this time. */
    private long acknowledgedMicros = NEVER_MICROS;

    /** End of the latest promise to the leader of the current term. */
    private long promisedUntilMicros = NEVER_MICROS;

    /**
     * Promises on which leaders of earlier terms may still rely, by node. The constructor adds one
     * for each peer, and a new term adds the one made to the leader before it. None is ever to this
     * node itself, because {@link #onLeadershipLost} ends that.
     */
    private final Map<String, OutstandingPromise> outstandingPromises = new HashMap<>();

    private static final class Entry {
        final long addedMicros;
        boolean confirmed;

        Entry(long addedMicros) {
            this.addedMicros = addedMicros;
        }
    }

    /**
     * A promise to the leader of an earlier term.
     *
     * @param term the latest term for which this process may have made it
     * @param fromPredecessor whether the previous process of this node may have made one too, in a
     *     term unknown to this process
     * @param untilMicros when the promise ends
     */
    private record OutstandingPromise(long term, boolean fromPredecessor, long untilMicros) {
        /**
         * True if a node that has reported this term, and whether it leads in it, no longer relies
         * on the promise.
         */
        boolean isReleasedBy(long peerTerm, boolean leads) {
            return peerTerm > term && !(fromPredecessor && leads);
        }
    }

    /**
     * @param peers the other nodes; any of them may hold a promise from this node's previous
     *     process
     */
    public ConfirmedCancellations(long processId, List<String> peers, long nowMicros) {
        this.processId = processId;
        peers.forEach(
                peer ->
                        outstandingPromises.put(
                                peer,
                                new OutstandingPromise(
                                        NO_TERM, true, nowMicros + STORE_OUTAGE_PROMISE_MICROS)));
        latestTimestampMicros = nowMicros;
        completeSinceMicros = nowMicros;
    }

    /**
     * Drops the assumed promises of the previous process. Called while the cluster's feature level
     * rules out that it made any.
     */
    public void forgetPredecessorPromises() {
        outstandingPromises.values().removeIf(OutstandingPromise::fromPredecessor);
    }

    /** Adds a cancellation that is in the store and that a user waits to have confirmed. */
    public void add(String jobId, long nowMicros) {
        if (entries.containsKey(jobId)) {
            return;
        }
        entries.put(jobId, new Entry(nextTimestamp(nowMicros)));
        if (entries.size() > MAX_ENTRIES) {
            String oldestJobId = entries.keySet().iterator().next();
            completeSinceMicros = entries.remove(oldestJobId).addedMicros;
        }
    }

    private long nextTimestamp(long nowMicros) {
        latestTimestampMicros = Math.max(latestTimestampMicros + 1, nowMicros);
        return latestTimestampMicros;
    }

    /**
     * Returns true if an added cancellation may be confirmed to users now, and then counts it as
     * confirmed.
     */
    public boolean tryConfirm(String jobId, long nowMicros) {
        Entry entry = entries.get(jobId);
        if (entry == null) {
            return false;
        }
        entry.confirmed |=
                entry.addedMicros <= acknowledgedMicros
                        ? !isPromiseOutstanding(nowMicros, leader)
                        : nowMicros > promisedUntilMicros && !isPromiseOutstanding(nowMicros, null);
        return entry.confirmed;
    }

    /**
     * True if a leader of an earlier term may still rely on a promise. The given node is left out:
     * it leads now and has acknowledged the cancellation in question.
     */
    private boolean isPromiseOutstanding(long nowMicros, String exceptNode) {
        return outstandingPromises.entrySet().stream()
                .anyMatch(
                        entry ->
                                !entry.getKey().equals(exceptNode)
                                        && nowMicros <= entry.getValue().untilMicros);
    }

    /**
     * Handles a peer's report of its latest term and whether it leads in it. A node that no longer
     * leads relies on no promise.
     */
    public void onPeerTerm(String peer, long peerTerm, boolean leads) {
        outstandingPromises.computeIfPresent(
                peer, (node, promise) -> promise.isReleasedBy(peerTerm, leads) ? null : promise);
        if (peer.equals(leader) && peerTerm > term) {
            promisedUntilMicros = NEVER_MICROS;
        }
    }

    /**
     * Handles the loss of this node's own leadership: it relies on its promise to itself no longer,
     * and no peer reports that.
     */
    public void onLeadershipLost(String self) {
        if (self.equals(leader)) {
            promisedUntilMicros = NEVER_MICROS;
        }
    }

    /**
     * Returns the report to send to the leader of a term, or null if that term is over.
     *
     * @param storeSilentMicros how long the store has not responded to this node
     */
    public WatermarkReport nextReport(
            String leaderNode, long leaderTerm, long storeSilentMicros, long nowMicros) {
        if (leaderTerm < term) {
            return null;
        }
        if (leaderTerm > term) {
            startTerm(leaderNode, leaderTerm, nowMicros);
        }
        long sinceMicros = Math.max(acknowledgedMicros, completeSinceMicros);
        List<String> jobs = new ArrayList<>();
        entries.forEach(
                (jobId, entry) -> {
                    if (entry.addedMicros > sinceMicros) {
                        jobs.add(jobId);
                    }
                });
        long sentMicros = nextTimestamp(nowMicros);
        long promiseMicros =
                hasOverdueEntry(nowMicros)
                        ? 0
                        : storeSilentMicros > STORE_UNAVAILABLE_MICROS
                                ? STORE_OUTAGE_PROMISE_MICROS
                                : PROMISE_MICROS;
        if (promiseMicros > 0) {
            promisedUntilMicros = Math.max(promisedUntilMicros, sentMicros + promiseMicros);
        }
        return new WatermarkReport(
                term,
                processId,
                sentMicros,
                sinceMicros,
                echoedLeaderClockMicros,
                promiseMicros,
                jobs);
    }

    /**
     * True if a user has waited too long for the leader's acknowledgement. The user may have given
     * up; the promise must have ended by the time of the retry.
     */
    private boolean hasOverdueEntry(long nowMicros) {
        return entries.values().stream()
                .anyMatch(
                        entry ->
                                !entry.confirmed
                                        && entry.addedMicros > acknowledgedMicros
                                        && nowMicros - entry.addedMicros > ACK_OVERDUE_MICROS);
    }

    /**
     * Starts a new term. The new leader may have read the store before a cancellation was stored,
     * so all entries are sent to it.
     */
    private void startTerm(String newLeader, long newTerm, long nowMicros) {
        if (promisedUntilMicros >= nowMicros) {
            OutstandingPromise existing = outstandingPromises.get(leader);
            outstandingPromises.put(
                    leader,
                    existing == null
                            ? new OutstandingPromise(term, false, promisedUntilMicros)
                            : new OutstandingPromise(
                                    term,
                                    existing.fromPredecessor,
                                    Math.max(existing.untilMicros, promisedUntilMicros)));
        }
        leader = newLeader;
        term = newTerm;
        promisedUntilMicros = NEVER_MICROS;
        acknowledgedMicros = NEVER_MICROS;
        echoedLeaderClockMicros = WatermarkReport.NO_LEADER_CLOCK;
    }

    /**
     * Handles the leader's acknowledgement of a report; one meant for another process or term is
     * ignored.
     */
    public void onAck(WatermarkAck ack) {
        if (ack.term() == term && ack.processId() == processId) {
            acknowledgedMicros = Math.max(acknowledgedMicros, ack.reportSentMicros());
            echoedLeaderClockMicros = Math.max(echoedLeaderClockMicros, ack.leaderClockMicros());
        }
    }
}
