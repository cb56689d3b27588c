package org.woadloom.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Holds copies of heartbeats until the leader has changed, then delivers them to every node. */
final class DelayedHeartbeats {
    private static final long CHECK_INTERVAL_MICROS = 50_000;

    private record DelayedHeartbeat(byte[] heartbeat, int term) {}

    private final ClusterSimulation cluster;
    private final Random random;
    private final List<DelayedHeartbeat> delayed = new ArrayList<>();
    private int percent;
    private long captureUntilMicros;

    DelayedHeartbeats(ClusterSimulation cluster, Random random) {
        this.cluster = cluster;
        this.random = random;
    }

    void capture(int newPercent, long untilMicros) {
        percent = newPercent;
        captureUntilMicros = untilMicros;
    }

    void onHeartbeatSent(Map<String, Object> heartbeat) {
        if (cluster.loop.now() < captureUntilMicros && random.nextInt(100) < percent) {
            delayed.add(
                    new DelayedHeartbeat(
                            cluster.encodeDuplicate(heartbeat), cluster.leaderChanges()));
            if (delayed.size() == 1) {
                deliverAfterLeaderChange();
            }
        }
    }

    private void deliverAfterLeaderChange() {
        int term = cluster.leaderChanges();
        for (DelayedHeartbeat copy : delayed) {
            for (int node = 0; copy.term < term && node < ClusterSimulation.NODES; node++) {
                int index = node;
                cluster.loop.after(
                        1 + random.nextInt(300_000),
                        () ->
                                cluster.delayedHeartbeatsDelivered +=
                                        cluster.deliverDuplicate(index, copy.heartbeat) ? 1 : 0);
            }
        }
        delayed.removeIf(copy -> copy.term < term);
        if (!delayed.isEmpty()) {
            cluster.loop.after(CHECK_INTERVAL_MICROS, this::deliverAfterLeaderChange);
        }
    }
}
