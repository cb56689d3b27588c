package org.woadloom.sim;

import java.util.List;
import java.util.Random;

/**
 * Injects random faults into a simulated cluster at random times. A seed only reproduces a run if
 * the order of the random draws stays the same.
 */
final class RandomFaults {
    private final ClusterSimulation cluster;
    private final Random random;

    RandomFaults(ClusterSimulation cluster, Random random) {
        this.cluster = cluster;
        this.random = random;
    }

    /** Injects a random fault every 2 to 11 s until the given time. */
    void startUntil(long until) {
        cluster.duplicateHeartbeatPercent = Math.max(cluster.duplicateHeartbeatPercent, 3);
        cluster.commandCopies.basePercent = 3;
        cluster.observed.faultFreeFromMicros = until + 60_000_000;
        cluster.loop.after(
                2_000_000 + random.nextInt(9_000_000),
                () -> {
                    if (cluster.loop.now() < until) {
                        injectFault();
                        startUntil(until);
                    }
                });
    }

    private void injectFault() {
        switch (random.nextInt(37)) {
            case 25 -> cluster.pollAfterChanges(5_000_000 + random.nextInt(25_000_000));
            case 26 -> cluster.sendUnusualRequests(5_000_000 + random.nextInt(25_000_000));
            case 27 -> cluster.loseAnswers(5 + random.nextInt(40), random.nextInt(40_000_000));
            case 28 -> {
                cluster.delayHeartbeatsUntilNextLeader(
                        5 + random.nextInt(30), 1_000_000 + random.nextInt(20_000_000));
                cluster.loop.after(
                        random.nextInt(25_000_000),
                        () -> cluster.restartLeader(50_000 + random.nextInt(3_000_000)));
            }
            case 29 ->
                    cluster.cancelRunningJobs(
                            1 + random.nextInt(8),
                            random.nextBoolean() ? 0 : random.nextInt(25_000_000));
            case 30 -> cluster.cancelAtEnd(20 + random.nextInt(60), random.nextInt(40_000_000));
            case 31 ->
                    cluster.blockOutbound(
                            cluster.zoneOf(random.nextInt(ClusterSimulation.NODES)),
                            1 + random.nextInt(3),
                            random.nextInt(40_000_000));
            case 32 -> cluster.bootMachinesFast(random.nextInt(40_000_000));
            case 33 -> cluster.slowStore(random.nextInt(1_500_000), random.nextInt(30_000_000));
            case 34 -> cluster.oneTaskJobs(1 + random.nextInt(4), random.nextInt(20_000_000), 25);
            case 35 -> {
                int away = 1 + random.nextInt(15);
                for (int node = 0; node < ClusterSimulation.NODES; node++) {
                    cluster.restartAfter(node, away * 1_000_000L + random.nextInt(1_000_000));
                }
            }
            case 36 -> cluster.commandCopies.repeat(50, random.nextInt(40_000_000));
            case 24 -> cluster.delayWrites(5 + random.nextInt(40), random.nextInt(40_000_000));
            case 22, 23 ->
                    cluster.refuseLeaderThenStoreOutage(
                            1_000_000 + random.nextInt(4_000_000),
                            10_000_000 + random.nextInt(60_000_000));
            case 16, 17 ->
                    cluster.withRandomAgent(
                            agent ->
                                    agent.inboundBlockedUntilMicros =
                                            cluster.loop.now() + random.nextInt(40_000_000));
            case 18 ->
                    cluster.blockInbound(
                            cluster.zoneOf(random.nextInt(ClusterSimulation.NODES)),
                            1 + random.nextInt(3),
                            random.nextInt(25_000_000));
            case 19 ->
                    cluster.withRandomAgent(
                            agent ->
                                    agent.outboundBlockedUntilMicros =
                                            cluster.loop.now() + random.nextInt(40_000_000));
            case 20 ->
                    cluster.isolateNode(
                            random.nextInt(ClusterSimulation.NODES),
                            5_000_000 + random.nextInt(40_000_000));
            case 21 -> {
                cluster.duplicateHeartbeatPercent = 30;
                cluster.loop.after(
                        random.nextInt(60_000_000), () -> cluster.duplicateHeartbeatPercent = 3);
            }
            case 0, 1 -> cluster.restart(random.nextInt(ClusterSimulation.NODES));
            case 2 -> {
                for (int node = 0; node < ClusterSimulation.NODES; node++) {
                    cluster.restart(node);
                }
            }
            case 3 -> {
                cluster.storeOutage(2_000_000 + random.nextInt(18_000_000));
            }
            case 4 -> {
                cluster.cloudOutage(random.nextInt(20_000_000));
            }
            case 5, 6 ->
                    cluster.withRandomAgent(
                            agent ->
                                    agent.hungUntilMicros =
                                            cluster.loop.now() + random.nextInt(25_000_000));
            case 7 -> cluster.withRandomAgent(SimulatedAgent::fail);
            case 9 -> {
                cluster.refusePeers(5_000_000 + random.nextInt(20_000_000));
            }
            case 10 ->
                    cluster.refuseNodeAtStore(
                            random.nextInt(ClusterSimulation.NODES),
                            5_000_000 + random.nextInt(25_000_000));
            case 11 -> {
                cluster.cutFromAgents(
                        random.nextInt(ClusterSimulation.NODES),
                        5_000_000 + random.nextInt(25_000_000));
            }
            case 15 ->
                    cluster.restartRepeatedly(
                            random.nextInt(ClusterSimulation.NODES),
                            100_000 + random.nextInt(1_500_000),
                            cluster.loop.now() + random.nextInt(30_000_000));
            case 13, 14 ->
                    cluster.isolateZone(
                            cluster.zoneOf(random.nextInt(ClusterSimulation.NODES)),
                            5_000_000 + random.nextInt(40_000_000));
            case 8 -> {
                List<String> zones = cluster.scenario.zoneNames();
                cluster.partition(
                        zones.get(0),
                        zones.get(1 + random.nextInt(zones.size() - 1)),
                        5_000_000 + random.nextInt(25_000_000));
            }
            default -> {
                cluster.networkFaultPerMille = 60;
                cluster.loop.after(
                        random.nextInt(15_000_000), () -> cluster.networkFaultPerMille = 4);
            }
        }
        cluster.users.pollUnknownJob();
    }

    /** Lets machines hang or fail, or restarts a node, every 1 to 6 s until the given time. */
    void startMachineFaultsUntil(long until) {
        cluster.loop.after(
                1_000_000 + random.nextInt(5_000_000),
                () -> {
                    if (cluster.loop.now() < until) {
                        switch (random.nextInt(6)) {
                            case 0 -> cluster.restart(random.nextInt(ClusterSimulation.NODES));
                            case 1, 2 -> cluster.withRandomAgent(SimulatedAgent::fail);
                            default ->
                                    cluster.withRandomAgent(
                                            agent ->
                                                    agent.hungUntilMicros =
                                                            cluster.loop.now()
                                                                    + random.nextInt(25_000_000));
                        }
                        startMachineFaultsUntil(until);
                    }
                });
    }

    /**
     * Replaces a random node by version 3 or the current version every 5 to 20 s until the given
     * time, then all nodes by the current version.
     */
    void changeVersionsUntil(long until) {
        cluster.loop.after(
                5_000_000 + random.nextInt(15_000_000),
                () -> {
                    if (cluster.loop.now() < until) {
                        cluster.replace(
                                random.nextInt(ClusterSimulation.NODES),
                                random.nextBoolean() ? Version.VERSION_3 : Version.CURRENT,
                                500_000 + random.nextInt(4_000_000));
                        changeVersionsUntil(until);
                    } else {
                        for (int i = 0; i < ClusterSimulation.NODES; i++) {
                            cluster.replace(i, Version.CURRENT, (1 + 5L * i) * 1_000_000);
                        }
                    }
                });
    }
}
