package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Direct commands arrive again after they were executed and answered, while tasks fail. */
@ExtendWith(PrintReplayCommand.class)
class CommandCopiesScenariosTest {
    private static final long FAULTS_END = 150_000_000;
    private static final long FAULT_FREE_MICROS = 600_000_000;
    private static final int COPIED_PERCENT = 60;

    static LongStream seeds() {
        return LongStream.of(Seeds.firstOrConfigured(4));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void copiesStartNothingAgainWhileTeamsAreAtTheirLimit(long seed) {
        ClusterSimulation cluster = new ClusterSimulation(seed, Scenario.TEAMS_AT_QUOTA);
        runAndCheck(cluster);
    }

    /** Gangs and jobs that are bound to a zone lose tasks, whose places others take. */
    @ParameterizedTest
    @MethodSource("seeds")
    void copiesStartNothingAgainInTheWrongZoneOrBesideItsGang(long seed) {
        ClusterSimulation cluster = new ClusterSimulation(seed, Scenario.DEFAULT.inThreeZones());
        runAndCheck(cluster);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void copiesStartNothingAgainAfterLeadersEnded(long seed) {
        ClusterSimulation cluster = new ClusterSimulation(seed, Scenario.DEFAULT);
        cluster.loop.after(30_000_000, () -> cluster.restartLeadersRepeatedly(100_000_000));
        runAndCheck(cluster);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void copiesStartNothingAgainOnMachinesThatHung(long seed) {
        ClusterSimulation cluster = new ClusterSimulation(seed, Scenario.DEFAULT);
        for (long atMicros = 30_000_000; atMicros < FAULTS_END; atMicros += 20_000_000) {
            String zone = atMicros % 40_000_000 == 0 ? "a" : "b";
            cluster.loop.after(atMicros, () -> cluster.hangAll(zone, 4_000_000));
        }
        runAndCheck(cluster);
    }

    @Test
    void checkerDetectsCopiesThatAgentsDoNotRefuse() {
        InvariantViolation caught =
                assertThrows(
                        InvariantViolation.class,
                        () -> {
                            for (long seed : Seeds.first(12)) {
                                run(
                                        new ClusterSimulation(
                                                seed,
                                                Scenario.DEFAULT.with(
                                                        Scenario.Flaw
                                                                .COPIES_PASS_WITH_OLD_TOKENS)));
                            }
                        });
        assertTrue(
                caught.getMessage().matches("(?s)(ran_twice|quota|ran_cancelled).*"),
                caught.getMessage());
    }

    private static void runAndCheck(ClusterSimulation cluster) {
        run(cluster);
        CommandCopies copies = cluster.commandCopies;
        assertTrue(copies.executed + copies.refused > 50, "only few copies arrived");
        assertEquals(0, copies.attemptsStartedAgain);
        assertEquals(List.of(), cluster.unfinishedJobs());
    }

    private static void run(ClusterSimulation cluster) {
        cluster.commandCopies.repeat(COPIED_PERCENT, FAULTS_END);
        cluster.users.submitUntil(FAULTS_END);
        failTasksUntilFaultsEnd(cluster);
        cluster.observed.faultFreeFromMicros = FAULTS_END + 60_000_000;
        cluster.run(FAULTS_END + FAULT_FREE_MICROS);
    }

    private static void failTasksUntilFaultsEnd(ClusterSimulation cluster) {
        cluster.loop.after(
                2_000_000,
                () -> {
                    if (cluster.loop.now() < FAULTS_END) {
                        cluster.withRandomAgent(SimulatedAgent::failRunningTask);
                        failTasksUntilFaultsEnd(cluster);
                    }
                });
    }
}
