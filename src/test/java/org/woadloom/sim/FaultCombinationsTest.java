package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.woadloom.invariant.Invariants;
import org.woadloom.protocol.Priority;
import org.woadloom.store.StoreKeys;

/**
 * Injects each fault that operators have seen break an invariant, alone and in pairs, three times
 * per run, and checks that it took effect. The invariants are checked after each step.
 */
@ExtendWith(PrintReplayCommand.class)
class FaultCombinationsTest {
    private static final long FIRST_FAULT = 40_000_000;
    private static final long FAULT_INTERVAL = 45_000_000;
    private static final int FAULT_REPEATS = 3;

    /** {@code -Dseeds=30} overrides this number. */
    private static final long SEEDS = 3;

    private static final long FAULTS_END = FIRST_FAULT + FAULT_REPEATS * FAULT_INTERVAL;

    enum Fault {
        /**
         * Duplicates of reports arrive 0.5 s to 60 s late, also from sessions and attempts that are
         * over.
         */
        DELAYED_DUPLICATE_REPORTS {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                cluster.duplicateHeartbeatPercent = 40;
                cluster.loop.after(12_000_000, () -> cluster.hangAll("a", 14_000_000));
                return () -> cluster.duplicateHeartbeatsDelivered;
            }
        },
        /** The leader ends while some tasks of a job are done and others are not. */
        LEADER_ENDS_WITH_PARTLY_DONE_JOBS {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                int partly = cluster.observed.partlyDoneJobs();
                cluster.restartLeader(300_000);
                cluster.loop.after(9_000_000, () -> cluster.restart(0));
                return () -> partly;
            }
        },
        /**
         * Transactions without an answer are committed after newer ones; some still take effect,
         * others fail their conditions.
         */
        LATE_WRITES {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                cluster.delayWrites(30, 25_000_000);
                return () -> Math.min(cluster.lateWriteOutcomes[0], cluster.lateWriteOutcomes[1]);
            }
        },
        /** All nodes end, one restarts at once, and leadership changes repeatedly. */
        REPEATED_LEADER_CHANGES {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                long before = cluster.term();
                for (int node = 0; node < ClusterSimulation.NODES; node++) {
                    cluster.restartAfter(node, node == 0 ? 50_000 : 1_500_000L * node);
                }
                for (long later = 6_000_000; later < 16_000_000; later += 2_500_000) {
                    cluster.loop.after(
                            later,
                            () -> cluster.restartLeader(50_000 + cluster.random.nextInt(400_000)));
                }
                cluster.loop.after(
                        6_000_000,
                        () -> cluster.restartDuringElections(cluster.loop.now() + 10_000_000));
                return () -> (int) (cluster.term() - before) - 2;
            }
        },
        /**
         * The store rejects the leader alone, users cancel jobs, and then the store is down for all
         * nodes.
         */
        STORE_REJECTS_LEADER_THEN_FAILS {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                int before = cluster.observed.cancelledWhileRunning;
                cluster.refuseLeaderThenStoreOutage(2_500_000, 35_000_000);
                return () -> cluster.observed.cancelledWhileRunning - before;
            }
        },
        /**
         * Commands and their answers are delayed while machines hang, and are executed when the
         * machines resume.
         */
        DELAYED_COMMANDS {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                cluster.hangAll("b", 6_000_000);
                cluster.loop.after(8_000_000, () -> cluster.hangAll("a", 3_000_000));
                cluster.loop.after(
                        1_000_000,
                        () ->
                                cluster.observed.runningJobs().stream()
                                        .limit(2)
                                        .forEach(cluster.users::cancel));
                return () -> cluster.delayedCommandsExecuted;
            }
        },
        /**
         * Direct commands arrive again after they were executed and answered, while tasks fail and
         * the leader ends and is back within a second.
         */
        COPIED_COMMANDS {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                cluster.commandCopies.repeat(60, 25_000_000);
                for (long later = 1_000_000; later < 25_000_000; later += 2_000_000) {
                    cluster.loop.after(
                            later, () -> cluster.withRandomAgent(SimulatedAgent::failRunningTask));
                }
                cluster.loop.after(8_000_000, () -> cluster.restartLeader(300_000));
                return () ->
                        Math.min(cluster.commandCopies.executed, cluster.commandCopies.refused);
            }
        },
        /**
         * The leader ends while machines hang or receive nothing, so that the new leader can't
         * reach them.
         */
        LEADER_ENDS_WITH_UNREACHABLE_MACHINES {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                cluster.blockInbound("a", 2, 28_000_000);
                cluster.hangAll("b", 9_000_000);
                int outOfTouch = cluster.observed.runningTasksInZone("b");
                cluster.loop.after(1_000_000, () -> cluster.restartLeader(2_000_000));
                return () -> outOfTouch;
            }
        },
        /**
         * The leader loses the store and the other nodes but not its agents, and users cancel jobs
         * at another node.
         */
        ISOLATED_LEADER {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                int before = cluster.observed.cancelledWhileRunning;
                cluster.isolateNode(cluster.leader(), 35_000_000);
                cluster.loop.after(
                        7_000_000,
                        () ->
                                cluster.observed.runningJobs().stream()
                                        .limit(4)
                                        .forEach(cluster.users::cancel));
                return () -> cluster.observed.cancelledWhileRunning - before;
            }
        },
        /**
         * Users query all nodes right after each answer, some cancel, leaders end, and the store
         * rejects one node.
         */
        READS_AT_ALL_NODES {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                cluster.pollAfterChanges(30_000_000);
                cluster.loop.after(8_000_000, () -> cluster.restartLeader(200_000));
                cluster.loop.after(
                        14_000_000,
                        () ->
                                cluster.refuseNodeAtStore(
                                        cluster.random.nextInt(ClusterSimulation.NODES),
                                        6_000_000));
                cluster.loop.after(16_000_000, () -> cluster.cancelRunningJobs(4, 0));
                cluster.loop.after(22_000_000, () -> cluster.restartLeader(2_000_000));
                return increaseUntilNextFault(cluster, () -> cluster.pollBursts);
            }
        },
        /**
         * Transactions commit but their answers are lost, while other nodes read what they wrote.
         */
        LOST_ANSWERS {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                cluster.loseAnswers(30, 25_000_000);
                cluster.loop.after(10_000_000, () -> cluster.cancelRunningJobs(3, 0));
                return increaseUntilNextFault(cluster, () -> cluster.lostAnswersFollowedByPeerRead);
            }
        },
        /**
         * Users submit four one-task jobs per second, two minutes in total, and cancel a quarter of
         * them.
         */
        FOUR_JOBS_PER_SECOND {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                cluster.oneTaskJobs(4, 40_000_000, 25);
                return increaseUntilNextFault(cluster, () -> cluster.oneTaskJobsCancelled);
            }
        },
        /** The leader changes ten times in two minutes. */
        TEN_LEADER_CHANGES {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                cluster.restartLeadersRepeatedly(40_000_000);
                IntSupplier changes = increaseUntilNextFault(cluster, cluster::leaderChanges);
                return () -> changes.getAsInt() - 3;
            }
        },
        /** The same while the store has repeated outages, during which leaders end too. */
        TEN_LEADER_CHANGES_WITH_OUTAGES {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                cluster.restartLeadersRepeatedly(40_000_000);
                cluster.loop.after(5_000_000, () -> cluster.storeOutage(8_000_000));
                cluster.loop.after(14_000_000, () -> cluster.storeOutage(3_000_000));
                IntSupplier changes = increaseUntilNextFault(cluster, cluster::leaderChanges);
                IntSupplier ends =
                        increaseUntilNextFault(cluster, () -> cluster.leadersEndedInOutages);
                return () -> ends.getAsInt() > 0 ? changes.getAsInt() - 3 : -10;
            }
        },
        /** All controllers are down for longer than a lease. */
        ALL_CONTROLLERS_DOWN {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                for (int node = 0; node < ClusterSimulation.NODES; node++) {
                    cluster.restartAfter(
                            node,
                            Scenario.SHORT_TIMES.leaseMicros()
                                    + 2_000_000
                                    + cluster.random.nextInt(6_000_000));
                }
                return increaseUntilNextFault(cluster, () -> cluster.observed.killedByLease);
            }
        },
        /** The store is slow while users cancel jobs and query all nodes. */
        SLOW_STORE {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                cluster.slowStore(1_500_000, 30_000_000);
                cluster.pollAfterChanges(30_000_000);
                for (long later = 3_000_000; later < 30_000_000; later += 9_000_000) {
                    cluster.loop.after(later, () -> cluster.cancelRunningJobs(3, 0));
                }
                return increaseUntilNextFault(
                        cluster, () -> cluster.observed.cancelledWhileRunning);
            }
        },
        /**
         * Urgent and normal jobs wait for machines that are not available, and all links are slow.
         */
        SCARCE_MACHINES_AND_SLOW_LINKS {
            @Override
            IntSupplier inject(ClusterSimulation cluster) {
                cluster.slowLinks(400_000, 35_000_000);
                cluster.reduceCapacity(2, 35_000_000);
                cluster.oneTaskJobs(2, 30_000_000, 10);
                int[] waiting = {0};
                cluster.loop.after(
                        25_000_000,
                        () ->
                                waiting[0] =
                                        Math.min(
                                                cluster.observed.waitingJobsAtOrAbove(
                                                        Priority.HIGH),
                                                cluster.observed.waitingJobsBelow(Priority.HIGH)));
                return () -> waiting[0];
            }
        };

        /**
         * Injects the fault; the result, read at the end of the run, tells how often it took
         * effect.
         */
        abstract IntSupplier inject(ClusterSimulation cluster);

        /** The increase of a counter from now until shortly before the next fault. */
        private static IntSupplier increaseUntilNextFault(
                ClusterSimulation cluster, IntSupplier count) {
            int before = count.getAsInt();
            int[] increase = {0};
            cluster.loop.after(
                    FAULT_INTERVAL - 4_000_000, () -> increase[0] = count.getAsInt() - before);
            return () -> increase[0];
        }
    }

    private static void runAndAssertOccurred(long seed, Set<Fault> faults) {
        runAndAssertOccurred(seed, Scenario.DEFAULT, faults);
    }

    private static void runAndAssertOccurred(long seed, Scenario scenario, Set<Fault> faults) {
        run(seed, scenario, faults)
                .forEach(
                        (fault, count) ->
                                assertTrue(count > 0, fault + " did not occur, seed " + seed));
    }

    /** Runs a whole simulation and returns how often each fault took effect. */
    private static Map<Fault, Integer> run(long seed, Scenario scenario, Set<Fault> faults) {
        ClusterSimulation cluster = new ClusterSimulation(seed, scenario);
        cluster.users.submitUntil(FAULTS_END);
        cluster.observed.faultFreeFromMicros = FAULTS_END + 60_000_000;
        cluster.flawActiveFromMicros = FIRST_FAULT;
        Map<Fault, List<IntSupplier>> injected = new EnumMap<>(Fault.class);
        faults.forEach(fault -> injected.put(fault, new ArrayList<>()));
        for (int i = 0; i < FAULT_REPEATS; i++) {
            faults.forEach(
                    fault ->
                            cluster.loop.after(
                                    FIRST_FAULT + cluster.random.nextInt(4_000_000),
                                    () -> {
                                        if (cluster.stored("leader") != null) {
                                            injected.get(fault).add(fault.inject(cluster));
                                        }
                                    }));
            cluster.run(cluster.loop.now() + FAULT_INTERVAL);
        }
        cluster.run(FAULTS_END + 400_000_000);
        Map<Fault, Integer> occurred = new EnumMap<>(Fault.class);
        injected.forEach(
                (fault, effects) ->
                        occurred.put(
                                fault, effects.stream().mapToInt(IntSupplier::getAsInt).sum()));
        assertEquals(List.of(), cluster.unfinishedJobs(), "seed " + seed);
        return occurred;
    }

    @ParameterizedTest
    @EnumSource
    void invariantsHoldUnderEachFault(Fault fault) {
        for (long seed : Seeds.firstOrConfigured(SEEDS)) {
            runAndAssertOccurred(seed, Set.of(fault));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "LATE_WRITES, REPEATED_LEADER_CHANGES",
        "LATE_WRITES, ISOLATED_LEADER",
        "DELAYED_DUPLICATE_REPORTS, LEADER_ENDS_WITH_UNREACHABLE_MACHINES",
        "STORE_REJECTS_LEADER_THEN_FAILS, DELAYED_COMMANDS",
        "LEADER_ENDS_WITH_PARTLY_DONE_JOBS, LATE_WRITES",
        "READS_AT_ALL_NODES, LOST_ANSWERS",
        "READS_AT_ALL_NODES, REPEATED_LEADER_CHANGES",
        "FOUR_JOBS_PER_SECOND, LATE_WRITES",
        "COPIED_COMMANDS, LEADER_ENDS_WITH_UNREACHABLE_MACHINES",
        "COPIED_COMMANDS, TEN_LEADER_CHANGES",
        "COPIED_COMMANDS, DELAYED_DUPLICATE_REPORTS"
    })
    void invariantsHoldUnderTwoFaultsAtOnce(Fault one, Fault other) {
        for (long seed : Seeds.firstOrConfigured(SEEDS)) {
            runAndAssertOccurred(seed, Set.of(one, other));
        }
    }

    /**
     * The checker must report the invariant that a flaw violates under this fault. How often the
     * fault took effect is not checked: a store that ignores conditions never rejects a late write,
     * and the violation itself proves that the fault occurred.
     */
    @ParameterizedTest
    @CsvSource({
        "STALE_WATCH_EVENTS, READS_AT_ALL_NODES, went_back",
        "MISSES_JOB_RECORDS, READS_AT_ALL_NODES, forgotten",
        "UNCONDITIONAL_WRITES, LATE_WRITES, ''",
        "UNCONDITIONAL_WRITES, TEN_LEADER_CHANGES, ''"
    })
    void checkerDetectsInjectedFlaw(Scenario.Flaw flaw, Fault fault, String violatedRule) {
        // Assertions inside the service must not throw first: the flaw has to be detected from
        // outside.
        System.clearProperty(Invariants.THROW_PROPERTY);
        InvariantViolation caught =
                assertThrows(
                        InvariantViolation.class,
                        () -> {
                            for (long seed : Seeds.first(6)) {
                                run(seed, Scenario.DEFAULT.with(flaw), Set.of(fault));
                            }
                        });
        assertTrue(caught.getMessage().startsWith(violatedRule), caught.getMessage());
    }

    @AfterEach
    void throwOnViolatedInvariants() {
        System.setProperty(Invariants.THROW_PROPERTY, "true");
    }

    /**
     * A node used to rewrite its announcement unconditionally after a write without an answer.
     * Committed after a newer write, it tied the key to a lease that nobody renewed; the node then
     * counted as not announced, which blocks every rollout while it runs.
     */
    @Test
    void delayedAnnouncementWriteDoesNotReplaceNewerOne() {
        int late = 0;
        for (long seed : Seeds.first(12)) {
            ClusterSimulation cluster = new ClusterSimulation(seed, Scenario.DEFAULT);
            cluster.delayWrites(45, 25_000_000);
            cluster.run(90_000_000);
            late += cluster.lateWriteOutcomes[0] + cluster.lateWriteOutcomes[1];
            for (int node = 0; node < ClusterSimulation.NODES; node++) {
                assertNotNull(
                        cluster.stored(
                                StoreKeys.ROLLOUT_NODE_PREFIX + ClusterSimulation.label(node)),
                        "no announcement of node " + node + ", seed " + seed);
            }
        }
        assertTrue(late > 60, "only " + late + " late writes");
    }
}
