package org.woadloom.sim;

import java.util.Random;

/** Faults of requests to the store: lost answers to transactions, and delays. */
final class StoreFaults {
    /** How long nodes wait for an answer. */
    private static final long STORE_TIMEOUT_MICROS = 2_000_000;

    private final ClusterSimulation cluster;
    private final Random random;
    private int lossPercent;
    private long loseUntil;
    private long maxDelayMicros;
    private long slowUntil;
    private int lastLossNode = -1;
    private long lastLossMicros;

    StoreFaults(ClusterSimulation cluster, Random random) {
        this.cluster = cluster;
        this.random = random;
    }

    interface Request {
        void made(SimulatedStore.Answer respond);
    }

    void loseAnswers(int percent, long until) {
        lossPercent = percent;
        loseUntil = until;
    }

    void addDelay(long extra, long until) {
        maxDelayMicros = extra;
        slowUntil = until;
    }

    /**
     * Passes a request on to the store. It may be delayed, and its answer may be delayed or lost.
     */
    void forward(int node, String path, SimulatedStore.Answer reply, Request request) {
        long now = cluster.loop.now();
        boolean reads = path.startsWith("/keys/job/") || path.startsWith("/follow?prefix=job/");
        if (reads
                && lastLossNode >= 0
                && node != lastLossNode
                && now - lastLossMicros < STORE_TIMEOUT_MICROS) {
            cluster.lostAnswersFollowedByPeerRead++;
            lastLossNode = -1;
        }
        boolean lost = path.equals("/txn") && now < loseUntil && random.nextInt(100) < lossPercent;
        SimulatedStore.Answer answer =
                !lost
                        ? reply
                        : (status, body) -> {
                            if (status == 200) {
                                cluster.storeAnswersLost++;
                                lastLossNode = node;
                                lastLossMicros = cluster.loop.now();
                            } else {
                                reply.answer(status, body);
                            }
                        };
        if (now >= slowUntil) {
            request.made(answer);
            return;
        }
        long extra = random.nextLong(maxDelayMicros + 1);
        long there = random.nextLong(extra + 1);
        cluster.loop.after(
                there,
                () ->
                        request.made(
                                (status, body) ->
                                        cluster.loop.after(
                                                extra - there, () -> answer.answer(status, body))));
    }
}
