package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * What users ask meets what just happened to their jobs; that it did is counted, and the rules are
 * checked after each step.
 */
@ExtendWith(PrintReplayCommand.class)
class UserFaultCombinationsTest {
    private static final int SEEDS = 3;
    private static final long AT = 20_000_000;
    private static final long FOR = 120_000_000;

    enum Meeting {
        /**
         * A cancellation, questions and a repeated submission meet the end of a job's last task.
         */
        END_OF_THE_LAST_TASK {
            @Override
            void begin(ClusterSimulation cluster) {
                cluster.cancelAtEnd(50, FOR);
                cluster.lookClosely(FOR);
            }

            @Override
            int came(ClusterSimulation cluster) {
                return Math.min(cluster.cancelledAtEnd, cluster.closeLooks);
            }
        },
        /**
         * Submissions of known jobs come again, also with a field missing, and jobs that can't run
         * or lack a field.
         */
        ODD_REQUESTS {
            @Override
            void begin(ClusterSimulation cluster) {
                cluster.oddRequests(FOR);
            }

            @Override
            int came(ClusterSimulation cluster) {
                return cluster.oddRequestsMade;
            }
        },
        /**
         * Transactions are carried out, their answers are lost, and other nodes are asked for what
         * they wrote.
         */
        LOST_ANSWERS {
            @Override
            void begin(ClusterSimulation cluster) {
                cluster.loseAnswers(30, FOR);
                cluster.lookClosely(FOR);
            }

            @Override
            int came(ClusterSimulation cluster) {
                return Math.min(cluster.lostAnswersMade, cluster.closeLooks);
            }
        };

        abstract void begin(ClusterSimulation cluster);

        abstract int came(ClusterSimulation cluster);
    }

    private static ClusterSimulation day(long seed, Scenario day, Meeting meeting) {
        ClusterSimulation cluster = new ClusterSimulation(seed, day);
        cluster.users.submitUntil(AT + FOR);
        cluster.observed.faultFreeFromMicros = AT + FOR + 60_000_000;
        cluster.loop.after(AT, () -> meeting.begin(cluster));
        // A team at its limit has work left for minutes: three tasks of its large jobs at a time.
        cluster.run(AT + FOR + 500_000_000);
        return cluster;
    }

    @ParameterizedTest
    @EnumSource
    void invariantsHoldUnderEachFault(Meeting meeting) {
        for (long seed : Seeds.usually(SEEDS)) {
            ClusterSimulation cluster = day(seed, Scenario.PLAIN, meeting);
            assertTrue(
                    meeting.came(cluster) >= 5,
                    meeting + " occurred " + meeting.came(cluster) + " times, seed " + seed);
            assertEquals(List.of(), cluster.unfinishedJobs(), meeting + ", seed " + seed);
        }
    }

    private static String broken(Scenario.Flaw flaw, Meeting meeting) {
        for (long seed : Seeds.usually(SEEDS)) {
            try {
                day(seed, Scenario.PLAIN.with(flaw), meeting);
            } catch (InvariantViolation e) {
                return e.getMessage();
            }
        }
        return "no rule was broken";
    }

    @Test
    void checkerDetectsDefaultsForMissingFields() {
        String caught = broken(Scenario.Flaw.FILLS_IN_WHAT_IS_MISSING, Meeting.ODD_REQUESTS);
        assertTrue(caught.startsWith("accepted_unfit"), caught);
    }

    @Test
    void checkerDetectsStaleStatuses() {
        String caught = broken(Scenario.Flaw.OLD_CHANGES, Meeting.END_OF_THE_LAST_TASK);
        assertTrue(caught.startsWith("went_back"), caught);
    }
}
