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

/** A large job of a team at its limit of 24 CPUs, behind small ones without end. */
class QuotaRotationTest {
    private final SchedulerFixture fixture = new SchedulerFixture();
    private final Reservations reservations = new Reservations(fixture.state);
    private final QuotaRotation turns = new QuotaRotation(fixture.state, reservations);
    private final Machine[] machines = {
        fixture.machine("host-1", "a"), fixture.machine("host-2", "a")
    };
    private int small;

    /** Small jobs of one CPU take whatever the limit leaves them. */
    private void nibble() {
        while (true) {
            Job job = fixture.job("j-small-" + small, 1, 1, 1);
            if (job.allowedTasks() < 1) {
                fixture.state.removeJob(job);
                return;
            }
            fixture.place(reservations, job, 0, machines[small++ % 2]);
        }
    }

    private Job[] running() {
        return fixture.state.jobs().values().stream()
                .filter(job -> !job.attempts().isEmpty())
                .toArray(Job[]::new);
    }

    /** Without its turn it never has more than one CPU of the eight that its task takes. */
    @Test
    void theLimitIsGatheredForATaskLargerThanThoseThatEnd() {
        nibble();
        Job large = fixture.job("j-large", 8, 1, 2);
        fixture.advance(105_000_000);
        turns.update();
        for (Job job : running()) {
            job.removeAttempt(job.attempt(0));
            fixture.state.removeJob(job);
            nibble();
            turns.update();
            if (large.allowedTasks() > 0) {
                break;
            }
        }
        assertEquals(1, large.allowedTasks());
        fixture.place(reservations, large, 0, machines[0]);
        turns.update();
        assertEquals(0, large.allowedTasks(), "it has begun, and goes by the order again");
        Job next = running()[0];
        next.removeAttempt(next.attempt(0));
        assertEquals(1, fixture.job("j-next", 1, 1, 1).allowedTasks());
    }

    /** Two that wait have their turns one after the other. */
    @Test
    void theOldestGoesFirst() {
        nibble();
        Job older = fixture.job("j-1", 8, 1, 1);
        fixture.advance(5_000_000);
        Job younger = fixture.job("j-2", 6, 1, 1);
        fixture.advance(105_000_000);
        turns.update();
        Job[] running = running();
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

    /** Guards against array jobs that had one task and then none for 350 s behind smaller ones. */
    @Test
    void aStartedJobWhoseNextTaskIsLargerGetsATurnAfterThoseThatHaveNotStarted() {
        Job started = fixture.job("j-started", 8, 1, 3);
        fixture.place(reservations, started, 0, machines[0]);
        nibble();
        Job waiting = fixture.job("j-waiting", 6, 1, 1);
        fixture.advance(105_000_000);
        turns.update();
        free(6);
        assertEquals(1, waiting.allowedTasks());
        assertEquals(0, started.allowedTasks());
        fixture.place(reservations, waiting, 0, machines[0]);
        turns.update();
        free(8);
        assertEquals(1, started.allowedTasks());
        assertEquals(0, fixture.job("j-next", 1, 1, 9).allowedTasks());
        fixture.place(reservations, started, 1, machines[0]);
        turns.update();
        free(2);
        assertEquals(2, fixture.job("j-last", 1, 1, 9).allowedTasks(), "its turn is over");
    }

    /** So many small jobs end. */
    private void free(int count) {
        List<Job> small =
                Arrays.stream(running()).filter(job -> job.taskResources.cpu() < 2_000).toList();
        for (Job job : small.subList(0, count)) {
            job.removeAttempt(job.attempt(0));
            fixture.state.removeJob(job);
        }
    }

    /** Replicas do not end, so the small ones are not kept waiting for what will not come. */
    @Test
    void nobodyWaitsForALimitThatReplicasHold() {
        Job service = fixture.job("j-service", 1, 1, 20, true, false);
        for (int i = 0; i < 20; i++) {
            fixture.place(reservations, service, i, machines[i % 2]);
        }
        fixture.job("j-large", 8, 1, 1);
        fixture.advance(105_000_000);
        turns.update();
        assertEquals(4, fixture.job("j-small", 1, 1, 9).allowedTasks());
        assertTrue(
                fixture.logged(LogEvent.QUOTA_TURN_IMPOSSIBLE, "job=j-large", "replica_cpus=20"));
    }

    /**
     * What is reserved counts against the limit, so a gang that reserves and a turn would each wait
     * for the other.
     */
    @Test
    void thereIsNoTurnWhileAnotherJobOfTheTeamHoldsRoom() {
        Job reserving = fixture.job("j-1", 8, 1, 2);
        reservations.reserve(reserving, machines[0], reserving.taskResources, true, true);
        reservations.reserve(reserving, machines[1], reserving.taskResources, true, true);
        fixture.job("j-2", 12, 1, 1);
        fixture.advance(105_000_000);
        turns.update();
        assertEquals(
                3,
                reserving.allowedTasks(reserving.taskResources.times(2)),
                "what it holds, and what is left");
    }

    /** A job that finds no machine though the limit is left to it gives the others a turn. */
    @Test
    void aTurnEnds() {
        nibble();
        Job large = fixture.job("j-large", 8, 1, 1);
        fixture.advance(105_000_000);
        turns.update();
        Job ended = running()[0];
        ended.removeAttempt(ended.attempt(0));
        fixture.state.removeJob(ended);
        Job small = fixture.job("j-small", 1, 1, 1);
        turns.update();
        assertEquals(0, small.allowedTasks());
        fixture.advance(61_000_000);
        turns.update();
        assertEquals(1, small.allowedTasks());
        assertEquals(0, large.allowedTasks());
    }

    /**
     * With a pause after each turn, most of a hundred jobs at a low limit had not begun after four
     * minutes.
     */
    @Test
    void aTurnThatWasUsedIsFollowedByTheNextAtOnce() {
        nibble();
        Job first = fixture.job("j-1", 8, 1, 1);
        fixture.advance(1_000_000);
        Job second = fixture.job("j-2", 8, 1, 1);
        fixture.advance(105_000_000);
        turns.update();
        Job[] running = running();
        for (int i = 0; i < 8; i++) {
            running[i].removeAttempt(running[i].attempt(0));
            fixture.state.removeJob(running[i]);
        }
        fixture.place(reservations, first, 0, machines[0]);
        turns.update();
        for (int i = 8; i < 16; i++) {
            running[i].removeAttempt(running[i].attempt(0));
            fixture.state.removeJob(running[i]);
        }
        assertEquals(0, fixture.job("j-small", 1, 1, 1).allowedTasks());
        assertEquals(1, second.allowedTasks());
    }

    /**
     * Where large jobs start in turn after turn, what is small has its time as well, once a minute.
     */
    @Test
    void turnsThatAreUsedMakeAPauseOnceAMinute() {
        nibble();
        for (int i = 0; i < 200; i++) {
            fixture.job("j-" + i, 8, 1, 1);
        }
        fixture.advance(105_000_000);
        turns.update();
        Job[] running = running();
        for (int i = 0; i < 9; i++) {
            running[i].removeAttempt(running[i].attempt(0));
            fixture.state.removeJob(running[i]);
        }
        Job small = fixture.job("j-small", 1, 1, 1);
        int begun = 0;
        int free = 0;
        for (int second = 0; second < 66; second++) {
            fixture.advance(1_000_000);
            turns.update();
            free += small.allowedTasks() > 1 ? 1 : 0;
            for (Job job : List.copyOf(fixture.state.jobs().values())) {
                if (job.taskResources.cpu() == 8_000
                        && job.allowedTasks() > 0
                        && small.allowedTasks() < 2) {
                    fixture.place(reservations, job, 0, machines[0]);
                    turns.update();
                    job.removeAttempt(job.attempt(0));
                    fixture.state.removeJob(job);
                    begun++;
                    break;
                }
            }
        }
        assertTrue(
                begun > 55 && free >= 3 && free <= 6,
                begun + " begun, and in " + free + " s the others had what was free");
    }

    /**
     * Two that find no machine would keep a part of the limit from all others by turns, for ever.
     */
    @Test
    void nobodyWaitsForOneTurnAfterTheOther() {
        nibble();
        fixture.job("j-1", 8, 1, 1);
        fixture.job("j-2", 8, 1, 1);
        fixture.advance(105_000_000);
        turns.update();
        Job ended = running()[0];
        ended.removeAttempt(ended.attempt(0));
        fixture.state.removeJob(ended);
        Job small = fixture.job("j-small", 1, 1, 1);
        int waitedS = 0;
        int longestS = 0;
        int turnsS = 0;
        for (int second = 0; second < 400; second++) {
            fixture.advance(1_000_000);
            turns.update();
            waitedS = small.allowedTasks() > 0 ? 0 : waitedS + 1;
            turnsS += small.allowedTasks() > 0 ? 0 : 1;
            longestS = Math.max(longestS, waitedS);
        }
        assertTrue(
                longestS < 70 && turnsS > 200, longestS + " s at a time, " + turnsS + " s in all");
    }

    /** A largest job that keeps being late would make way for whatever can still be in time. */
    @Test
    void withAgeTheLargestGoBeforeTheOthersOfTheirKind() {
        QueueOrder order = new QueueOrder(fixture.state);
        Job large = fixture.jobWithDeadline("j-1", 100, 60);
        fixture.advance(149_000_000);
        Job small = fixture.jobWithDeadline("j-2", 10, 60);
        assertEquals(
                List.of(small, large),
                order.sorted(List.of(large, small)),
                "it is late, and has time yet");
        fixture.advance(2_000_000);
        assertEquals(List.of(large, small), order.sorted(List.of(small, large)));
    }
}
