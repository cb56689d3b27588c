package org.woadloom.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.placement.QueueOrder;
import org.woadloom.core.reservation.Reservations;

/** A large job of a team at its limit of 24 CPUs, behind an endless supply of small jobs. */
class QuotaRotationTest {
    private final SchedulerFixture fixture = new SchedulerFixture();
    private final Reservations reservations = new Reservations(fixture.state);
    private final QuotaRotation rotation = new QuotaRotation(fixture.state, reservations);
    private final Machine[] machines = {
        fixture.machine("host-1", "a"), fixture.machine("host-2", "a")
    };
    private int smallJobCount;

    /** Places jobs of one CPU until the limit allows no more of them. */
    private void fillLimitWithSmallJobs() {
        while (true) {
            Job job = fixture.job("j-small-" + smallJobCount, 1, 1, 1);
            if (job.allowedTasks() < 1) {
                fixture.state.removeJob(job);
                return;
            }
            fixture.place(reservations, job, 0, machines[smallJobCount++ % 2]);
        }
    }

    private Job[] runningJobs() {
        return fixture.state.jobs().values().stream()
                .filter(job -> !job.attempts().isEmpty())
                .toArray(Job[]::new);
    }

    /** Without a turn no more than one of the 8 CPUs that the task needs would ever be free. */
    @Test
    void freedQuotaAccumulatesForLargeTaskDuringItsTurn() {
        fillLimitWithSmallJobs();
        Job large = fixture.job("j-large", 8, 1, 2);
        fixture.advance(105_000_000);
        rotation.update();
        for (Job job : runningJobs()) {
            job.removeAttempt(job.attempt(0));
            fixture.state.removeJob(job);
            fillLimitWithSmallJobs();
            rotation.update();
            if (large.allowedTasks() > 0) {
                break;
            }
        }
        assertEquals(1, large.allowedTasks());
        fixture.place(reservations, large, 0, machines[0]);
        rotation.update();
        assertEquals(0, large.allowedTasks(), "the job has started, so its turn is over");
        Job next = runningJobs()[0];
        next.removeAttempt(next.attempt(0));
        assertEquals(1, fixture.job("j-next", 1, 1, 1).allowedTasks());
    }

    @Test
    void longestWaitingJobGetsTheFirstTurn() {
        fillLimitWithSmallJobs();
        Job older = fixture.job("j-1", 8, 1, 1);
        fixture.advance(5_000_000);
        Job younger = fixture.job("j-2", 6, 1, 1);
        fixture.advance(105_000_000);
        rotation.update();
        Job[] running = runningJobs();
        for (int i = 0; i < 8; i++) {
            assertEquals(0, older.allowedTasks());
            assertEquals(0, younger.allowedTasks());
            running[i].removeAttempt(running[i].attempt(0));
        }
        assertEquals(1, older.allowedTasks());
        assertEquals(0, younger.allowedTasks());
        assertTrue(
                fixture.logged(
                        LogEvent.QUOTA_TURN_STARTED, "job=j-1", "waited_s=110", "needed_tasks=1"));
    }

    /**
     * Guards against array jobs that got one task placed and then none for 350 s, while smaller
     * jobs were served.
     */
    @Test
    void startedJobGetsTurnForNextTaskAfterJobsThatHaveNotStarted() {
        Job started = fixture.job("j-started", 8, 1, 3);
        fixture.place(reservations, started, 0, machines[0]);
        fillLimitWithSmallJobs();
        Job waiting = fixture.job("j-waiting", 6, 1, 1);
        fixture.advance(105_000_000);
        rotation.update();
        finishSmallJobs(6);
        assertEquals(1, waiting.allowedTasks());
        assertEquals(0, started.allowedTasks());
        fixture.place(reservations, waiting, 0, machines[0]);
        rotation.update();
        finishSmallJobs(8);
        assertEquals(1, started.allowedTasks());
        assertEquals(0, fixture.job("j-next", 1, 1, 9).allowedTasks());
        fixture.place(reservations, started, 1, machines[0]);
        rotation.update();
        finishSmallJobs(2);
        assertEquals(2, fixture.job("j-last", 1, 1, 9).allowedTasks(), "its turn is over");
    }

    /** Ends this many running jobs of one CPU. */
    private void finishSmallJobs(int count) {
        List<Job> small =
                Arrays.stream(runningJobs())
                        .filter(job -> job.taskResources.cpu() < 2_000)
                        .toList();
        for (Job job : small.subList(0, count)) {
            job.removeAttempt(job.attempt(0));
            fixture.state.removeJob(job);
        }
    }

    /** Service replicas do not end, so keeping quota for the job would block others in vain. */
    @Test
    void noTurnStartsIfServiceReplicasUseTheQuotaThatJobNeeds() {
        Job service = fixture.job("j-service", 1, 1, 20, true, false);
        for (int i = 0; i < 20; i++) {
            fixture.place(reservations, service, i, machines[i % 2]);
        }
        fixture.job("j-large", 8, 1, 1);
        fixture.advance(105_000_000);
        rotation.update();
        assertEquals(4, fixture.job("j-small", 1, 1, 9).allowedTasks());
        assertTrue(
                fixture.logged(LogEvent.QUOTA_TURN_IMPOSSIBLE, "job=j-large", "replica_cpus=20"));
    }

    /**
     * Reserved resources count against the limit, so a job with reservations and a job with a turn
     * would each hold quota that the other needs.
     */
    @Test
    void noTurnStartsWhileOtherJobOfTeamHoldsReservations() {
        Job reserving = fixture.job("j-1", 8, 1, 2);
        reservations.reserve(reserving, machines[0], reserving.taskResources, true, true);
        reservations.reserve(reserving, machines[1], reserving.taskResources, true, true);
        fixture.job("j-2", 12, 1, 1);
        fixture.advance(105_000_000);
        rotation.update();
        assertEquals(
                3,
                reserving.allowedTasks(reserving.taskResources.times(2)),
                "the two tasks with reservations, and one in the remaining 8 CPUs");
    }

    /** A job for which there is no machine must not keep quota from the others for long. */
    @Test
    void unusedTurnExpires() {
        fillLimitWithSmallJobs();
        Job large = fixture.job("j-large", 8, 1, 1);
        fixture.advance(105_000_000);
        rotation.update();
        Job ended = runningJobs()[0];
        ended.removeAttempt(ended.attempt(0));
        fixture.state.removeJob(ended);
        Job small = fixture.job("j-small", 1, 1, 1);
        rotation.update();
        assertEquals(0, small.allowedTasks());
        fixture.advance(61_000_000);
        rotation.update();
        assertEquals(1, small.allowedTasks());
        assertEquals(0, large.allowedTasks());
    }

    /**
     * Guards against a pause after every turn: with it, most of a hundred jobs of a team with a low
     * limit had not started after 4 minutes.
     */
    @Test
    void nextJobGetsItsTurnAsSoonAsAJobHasStartedInItsTurn() {
        fillLimitWithSmallJobs();
        Job first = fixture.job("j-1", 8, 1, 1);
        fixture.advance(1_000_000);
        Job second = fixture.job("j-2", 8, 1, 1);
        fixture.advance(105_000_000);
        rotation.update();
        Job[] running = runningJobs();
        for (int i = 0; i < 8; i++) {
            running[i].removeAttempt(running[i].attempt(0));
            fixture.state.removeJob(running[i]);
        }
        fixture.place(reservations, first, 0, machines[0]);
        rotation.update();
        for (int i = 8; i < 16; i++) {
            running[i].removeAttempt(running[i].attempt(0));
            fixture.state.removeJob(running[i]);
        }
        assertEquals(0, fixture.job("j-small", 1, 1, 1).allowedTasks());
        assertEquals(1, second.allowedTasks());
    }

    /** While large jobs start in turn after turn, small jobs get freed quota once a minute. */
    @Test
    void turnsPauseOnceAMinuteWhileAJobStartsInEveryTurn() {
        fillLimitWithSmallJobs();
        for (int i = 0; i < 200; i++) {
            fixture.job("j-" + i, 8, 1, 1);
        }
        fixture.advance(105_000_000);
        rotation.update();
        Job[] running = runningJobs();
        for (int i = 0; i < 9; i++) {
            running[i].removeAttempt(running[i].attempt(0));
            fixture.state.removeJob(running[i]);
        }
        Job small = fixture.job("j-small", 1, 1, 1);
        int startedJobs = 0;
        int secondsWithFreeQuota = 0;
        for (int second = 0; second < 66; second++) {
            fixture.advance(1_000_000);
            rotation.update();
            secondsWithFreeQuota += small.allowedTasks() > 1 ? 1 : 0;
            for (Job job : List.copyOf(fixture.state.jobs().values())) {
                if (job.taskResources.cpu() == 8_000
                        && job.allowedTasks() > 0
                        && small.allowedTasks() < 2) {
                    fixture.place(reservations, job, 0, machines[0]);
                    rotation.update();
                    job.removeAttempt(job.attempt(0));
                    fixture.state.removeJob(job);
                    startedJobs++;
                    break;
                }
            }
        }
        assertTrue(
                startedJobs > 55 && secondsWithFreeQuota >= 3 && secondsWithFreeQuota <= 6,
                startedJobs
                        + " large jobs started, and small jobs had free quota for "
                        + secondsWithFreeQuota
                        + " s");
    }

    /**
     * Guards against two jobs without a suitable machine that, in alternating turns, keep quota
     * from all other jobs indefinitely.
     */
    @Test
    void consecutiveUnusedTurnsDoNotStarveOtherJobs() {
        fillLimitWithSmallJobs();
        fixture.job("j-1", 8, 1, 1);
        fixture.job("j-2", 8, 1, 1);
        fixture.advance(105_000_000);
        rotation.update();
        Job ended = runningJobs()[0];
        ended.removeAttempt(ended.attempt(0));
        fixture.state.removeJob(ended);
        Job small = fixture.job("j-small", 1, 1, 1);
        int currentWaitS = 0;
        int longestWaitS = 0;
        int totalWaitS = 0;
        for (int second = 0; second < 400; second++) {
            fixture.advance(1_000_000);
            rotation.update();
            currentWaitS = small.allowedTasks() > 0 ? 0 : currentWaitS + 1;
            totalWaitS += small.allowedTasks() > 0 ? 0 : 1;
            longestWaitS = Math.max(longestWaitS, currentWaitS);
        }
        assertTrue(
                longestWaitS < 70 && totalWaitS > 200,
                "longest wait " + longestWaitS + " s, total wait " + totalWaitS + " s");
    }

    /**
     * Guards against a large job that is late and is passed by every job that can still meet its
     * deadline.
     */
    @Test
    void lateLargeJobGoesFirstOnceItsStartIsOverdue() {
        QueueOrder order = new QueueOrder(fixture.state);
        Job large = fixture.jobWithDeadline("j-1", 100, 60);
        fixture.advance(149_000_000);
        Job small = fixture.jobWithDeadline("j-2", 10, 60);
        assertEquals(
                List.of(small, large),
                order.sorted(List.of(large, small)),
                "the large job is late, but its start is not overdue");
        fixture.advance(2_000_000);
        assertEquals(List.of(large, small), order.sorted(List.of(small, large)));
    }
}
