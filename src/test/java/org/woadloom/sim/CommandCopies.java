package org.woadloom.sim;

import java.util.Map;
import java.util.Random;

/**
 * Delivers direct commands again that agents executed and answered before, also after their sender
 * has ended.
 */
final class CommandCopies {
    private static final int MIN_DELAY_MICROS = 300_000;

    /** Well over the lease of {@link Scenario#SHORT_TIMES}. */
    private static final int DELAY_SPREAD_MICROS = 25_000_000;

    /** Copies that are delivered in a group arrive at a multiple of this. */
    private static final long GROUP_INTERVAL_MICROS = 5_000_000;

    private final ClusterSimulation cluster;
    private final Random random;

    /** Percentage of the executed commands that arrive again at any time. */
    int basePercent;

    private int burstPercent;
    private long burstEndMicros;

    /** Copies that were executed again. */
    int executed;

    /** Copies that were refused because of their token or incarnation. */
    int refused;

    /** Attempts that an agent started, forgot, and started again in the same incarnation. */
    int attemptsStartedAgain;

    CommandCopies(ClusterSimulation cluster, Random random) {
        this.cluster = cluster;
        this.random = random;
    }

    /** Repeats this percentage of commands for a while. */
    void repeat(int ofHundred, long forMicros) {
        burstPercent = ofHundred;
        burstEndMicros = Math.max(burstEndMicros, cluster.loop.now() + forMicros);
    }

    /** The agent has executed the command, and its answer is on the way. */
    void onExecuted(SimulatedAgent agent, Map<String, Object> command) {
        int percent = cluster.loop.now() < burstEndMicros ? burstPercent : basePercent;
        if (percent == 0 || random.nextInt(100) >= percent) {
            return;
        }
        boolean inGroup = random.nextBoolean();
        long delayMicros = MIN_DELAY_MICROS + random.nextInt(DELAY_SPREAD_MICROS);
        long dueMicros = cluster.loop.now() + delayMicros;
        long groupMicros = (dueMicros / GROUP_INTERVAL_MICROS + 1) * GROUP_INTERVAL_MICROS;
        cluster.loop.at(inGroup ? groupMicros : dueMicros, () -> deliver(agent, command));
    }

    private void deliver(SimulatedAgent agent, Map<String, Object> command) {
        if (agent.failed) {
            return;
        }
        long reachableMicros = Math.max(agent.hungUntilMicros, agent.inboundBlockedUntilMicros);
        if (reachableMicros > cluster.loop.now()) {
            cluster.loop.at(reachableMicros, () -> deliver(agent, command));
            return;
        }
        Object[] answer = agent.handleDirectCommand(command, SimulatedAgent.Delivery.COPY);
        boolean wasExecuted = (Integer) answer[0] == 200;
        executed += wasExecuted ? 1 : 0;
        refused += wasExecuted ? 0 : 1;
    }
}
