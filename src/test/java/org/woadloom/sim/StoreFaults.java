package org.woadloom.sim;

import java.util.Random;

/** What befalls requests to the state service: answers that get lost, and slowness. */
final class StoreFaults {
    /** For so long nodes wait for an answer. */
    private static final long PATIENCE_MICROS = 2_000_000;

    private final ClusterSimulation cluster;
    private final Random random;
    private int lostOfHundred;
    private long loseUntil;
    private long extraMicros;
    private long slowUntil;
    private int lostBy = -1;
    private long lostAt;

    StoreFaults(ClusterSimulation cluster, Random random) {
        this.cluster = cluster;
        this.random = random;
    }

    interface Request {
        void made(SimulatedStore.Answer respond);
    }

    void loseAnswers(int ofHundred, long until) {
        lostOfHundred = ofHundred;
        loseUntil = until;
    }

    void slow(long extra, long until) {
        extraMicros = extra;
        slowUntil = until;
    }

    /** A request that has come there, perhaps later, and whose answer may be lost, or late. */
    void meet(int node, String path, SimulatedStore.Answer reply, Request request) {
        long now = cluster.loop.now();
        boolean reads = path.startsWith("/keys/job/") || path.startsWith("/follow?prefix=job/");
        if (reads && lostBy >= 0 && node != lostBy && now - lostAt < PATIENCE_MICROS) {
            cluster.lostAnswersReadElsewhere++;
            lostBy = -1;
        }
        boolean lost =
                path.equals("/txn") && now < loseUntil && random.nextInt(100) < lostOfHundred;
        SimulatedStore.Answer answer =
                !lost
                        ? reply
                        : (status, body) -> {
                            if (status == 200) {
                                cluster.lostAnswersMade++;
                                lostBy = node;
                                lostAt = cluster.loop.now();
                            } else {
                                reply.answer(status, body);
                            }
                        };
        if (now >= slowUntil) {
            request.made(answer);
            return;
        }
        long extra = random.nextLong(extraMicros + 1);
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
