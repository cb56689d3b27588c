package org.woadloom.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Copies of reports that are kept until another leader has begun, and then come to every node. */
final class DelayedHeartbeats {
    private static final long LOOK_MICROS = 50_000;

    private record Kept(byte[] report, int term) {}

    private final ClusterSimulation cluster;
    private final Random random;
    private final List<Kept> kept = new ArrayList<>();
    private int ofHundred;
    private long until;

    DelayedHeartbeats(ClusterSimulation cluster, Random random) {
        this.cluster = cluster;
        this.random = random;
    }

    void keep(int share, long untilMicros) {
        ofHundred = share;
        until = untilMicros;
    }

    void sent(Map<String, Object> report) {
        if (cluster.loop.now() < until && random.nextInt(100) < ofHundred) {
            kept.add(new Kept(cluster.copyOf(report), cluster.leaderChanges()));
            if (kept.size() == 1) {
                look();
            }
        }
    }

    private void look() {
        int term = cluster.leaderChanges();
        for (Kept copy : kept) {
            for (int node = 0; copy.term < term && node < ClusterSimulation.NODES; node++) {
                int index = node;
                cluster.loop.after(
                        1 + random.nextInt(300_000),
                        () ->
                                cluster.keptCopies +=
                                        cluster.arrivesAgain(index, copy.report) ? 1 : 0);
            }
        }
        kept.removeIf(copy -> copy.term < term);
        if (!kept.isEmpty()) {
            cluster.loop.after(LOOK_MICROS, this::look);
        }
    }
}
