package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * What users ask meets what just happened to their jobs; that it did is counted, and the rules are
 * checked after each step.
 */
class UserFaultCombinationsTest {
    private static final int SEEDS = Integer.getInteger("seeds", 3);
    private static final long AT = 20_000_000;
    private static final long FOR = 120_000_000;

    enum Meeting {
        /**
         * A cancellation, questions and a repeated submission meet the end of a job's last task.
         */
        END_OF_THE_LAST_TASK {
            @Override
            void begin(ClusterSimulation world) {
                world.cancelAtEnd(50, FOR);
                world.lookClosely(FOR);
            }

            @Override
            int came(ClusterSimulation world) {
                return Math.min(world.cancelledAtEnd, world.closeLooks);
            }
        },
        /**
         * Submissions of known jobs come again, also with a field missing, and jobs that can't run
         * or lack a field.
         */
        ODD_REQUESTS {
            @Override
            void begin(ClusterSimulation world) {
                world.oddRequests(FOR);
            }

            @Override
            int came(ClusterSimulation world) {
                return world.oddRequestsMade;
            }
        },
        /**
         * Transactions are carried out, their answers are lost, and other nodes are asked for what
         * they wrote.
         */
        LOST_ANSWERS {
            @Override
            void begin(ClusterSimulation world) {
                world.loseAnswers(30, FOR);
                world.lookClosely(FOR);
            }

            @Override
            int came(ClusterSimulation world) {
                return Math.min(world.lostAnswersMade, world.closeLooks);
            }
        };

        abstract void begin(ClusterSimulation world);

        abstract int came(ClusterSimulation world);
    }

    private static ClusterSimulation day(long seed, Scenario day, Meeting meeting) {
        ClusterSimulation world = new ClusterSimulation(seed, day);
        world.users(AT + FOR);
        world.truth.calmFrom = AT + FOR + 60_000_000;
        world.loop.after(AT, () -> meeting.begin(world));
        // A team at its limit has work left for minutes: three tasks of its large jobs at a time.
        world.run(AT + FOR + 500_000_000);
        return world;
    }

    @ParameterizedTest
    @EnumSource
    void rulesHoldInEachMeeting(Meeting meeting) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            ClusterSimulation world = day(seed, Scenario.PLAIN, meeting);
            assertTrue(
                    meeting.came(world) >= 5,
                    meeting + " occurred " + meeting.came(world) + " times, seed " + seed);
            assertEquals(List.of(), world.unfinished(), meeting + ", seed " + seed);
        }
    }

    private static String broken(Scenario.Flaw flaw, Meeting meeting) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            try {
                day(seed, Scenario.PLAIN.with(flaw), meeting);
            } catch (InvariantViolation e) {
                return e.getMessage();
            }
        }
        return "no rule was broken";
    }

    @Test
    void nodesThatFillInWhatIsMissingAreCaught() {
        String caught = broken(Scenario.Flaw.FILLS_IN_WHAT_IS_MISSING, Meeting.ODD_REQUESTS);
        assertTrue(caught.startsWith("accepted_unfit"), caught);
    }

    @Test
    void nodesThatTellWhatIsOverAreCaught() {
        String caught = broken(Scenario.Flaw.OLD_CHANGES, Meeting.END_OF_THE_LAST_TASK);
        assertTrue(caught.startsWith("went_back"), caught);
    }
}
