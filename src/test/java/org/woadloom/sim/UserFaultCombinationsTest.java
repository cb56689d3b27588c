package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * User requests that race with changes of their jobs; each test checks that the race occurred, and
 * the invariants are checked after each step.
 */
@ExtendWith(PrintReplayCommand.class)
class UserFaultCombinationsTest {
    private static final int SEEDS = 3;
    private static final long FAULTS_START = 20_000_000;
    private static final long FAULT_MICROS = 120_000_000;

    enum Fault {
        /**
         * A cancellation, queries and a repeated submission race with the end of a job's last task.
         */
        REQUESTS_AS_LAST_TASK_ENDS {
            @Override
            void inject(ClusterSimulation cluster) {
                cluster.cancelAtEnd(50, FAULT_MICROS);
                cluster.pollAfterChanges(FAULT_MICROS);
            }

            @Override
            int occurrences(ClusterSimulation cluster) {
                return Math.min(cluster.jobsCancelledAtEnd, cluster.pollBursts);
            }
        },
        /**
         * Users repeat submissions of known jobs, some with a field missing, and submit jobs that
         * can't run or lack a field.
         */
        REPEATED_AND_INVALID_REQUESTS {
            @Override
            void inject(ClusterSimulation cluster) {
                cluster.sendUnusualRequests(FAULT_MICROS);
            }

            @Override
            int occurrences(ClusterSimulation cluster) {
                return cluster.unusualRequestsSent;
            }
        },
        /**
         * Transactions commit but their answers are lost, and other nodes are asked for what they
         * wrote.
         */
        LOST_ANSWERS {
            @Override
            void inject(ClusterSimulation cluster) {
                cluster.loseAnswers(30, FAULT_MICROS);
                cluster.pollAfterChanges(FAULT_MICROS);
            }

            @Override
            int occurrences(ClusterSimulation cluster) {
                return Math.min(cluster.storeAnswersLost, cluster.pollBursts);
            }
        };

        abstract void inject(ClusterSimulation cluster);

        abstract int occurrences(ClusterSimulation cluster);
    }

    private static ClusterSimulation run(long seed, Scenario scenario, Fault fault) {
        ClusterSimulation cluster = new ClusterSimulation(seed, scenario);
        cluster.users.submitUntil(FAULTS_START + FAULT_MICROS);
        cluster.observed.faultFreeFromMicros = FAULTS_START + FAULT_MICROS + 60_000_000;
        cluster.loop.after(FAULTS_START, () -> fault.inject(cluster));
        // Long, because a team at its limit runs only three tasks of its large jobs at a time.
        cluster.run(FAULTS_START + FAULT_MICROS + 500_000_000);
        return cluster;
    }

    @ParameterizedTest
    @EnumSource
    void invariantsHoldUnderEachFault(Fault fault) {
        for (long seed : Seeds.firstOrConfigured(SEEDS)) {
            ClusterSimulation cluster = run(seed, Scenario.DEFAULT, fault);
            assertTrue(
                    fault.occurrences(cluster) >= 5,
                    fault + " occurred " + fault.occurrences(cluster) + " times, seed " + seed);
            assertEquals(List.of(), cluster.unfinishedJobs(), fault + ", seed " + seed);
        }
    }

    private static String firstViolation(Scenario.Flaw flaw, Fault fault) {
        for (long seed : Seeds.firstOrConfigured(SEEDS)) {
            try {
                run(seed, Scenario.DEFAULT.with(flaw), fault);
            } catch (InvariantViolation e) {
                return e.getMessage();
            }
        }
        return "no invariant was violated";
    }

    @Test
    void checkerDetectsDefaultsForMissingFields() {
        String caught =
                firstViolation(
                        Scenario.Flaw.DEFAULTS_MISSING_FIELDS, Fault.REPEATED_AND_INVALID_REQUESTS);
        assertTrue(caught.startsWith("accepted_unfit"), caught);
    }

    @Test
    void checkerDetectsStaleStatuses() {
        String caught =
                firstViolation(Scenario.Flaw.STALE_WATCH_EVENTS, Fault.REQUESTS_AS_LAST_TASK_ENDS);
        assertTrue(caught.startsWith("went_back"), caught);
    }
}
