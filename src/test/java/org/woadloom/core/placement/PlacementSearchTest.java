package org.woadloom.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.reservation.Reservation;
import org.woadloom.core.reservation.Reservations;
import org.woadloom.protocol.Cbor;
import org.woadloom.store.RecordFormat;

/** Checks the optimizations of the placement search against straightforward implementations. */
class PlacementSearchTest {
    /**
     * Scoring all machines once for many tasks selects the same machines as scoring them anew for
     * each task.
     */
    @Test
    void oneSearchForManyTasksSelectsTheSameMachinesAsOneSearchPerTask() {
        int placed = 0;
        for (long seed = 1; seed <= 60; seed++) {
            Random random = new Random(seed);
            SchedulerFixture fixture = new SchedulerFixture(400);
            Reservations reservations = new Reservations(fixture.state);
            PlacementConstraints constraints = new PlacementConstraints(fixture.state);
            List<Machine> machines = machines(fixture, reservations, random, 30);
            Job job =
                    fixture.job(
                            "j-" + seed,
                            1 + random.nextInt(4),
                            1 + random.nextInt(6),
                            20 + random.nextInt(60),
                            random.nextBoolean(),
                            random.nextInt(3) == 0);
            for (int i = 0; i < random.nextInt(4); i++) {
                reservations.reserve(
                        job,
                        machines.get(random.nextInt(30)),
                        job.taskResources,
                        true,
                        random.nextBoolean());
            }
            Set<String> scarceZones = random.nextBoolean() ? Set.of("a") : Set.of();
            CandidateMachines candidates =
                    new CandidateMachines(job, machines, scarceZones, constraints, reservations);
            for (int index = job.nextPending(0); index >= 0; index = job.nextPending(index + 1)) {
                Machine expected =
                        new CandidateMachines(job, machines, scarceZones, constraints, reservations)
                                .next();
                Machine chosen = candidates.next();
                assertSame(expected, chosen, "seed " + seed + ", task " + index);
                if (chosen == null) {
                    break;
                }
                TaskAttempt attempt =
                        new TaskAttempt(job, index, chosen, 1, 1, fixture.state.nowMicros());
                reservations.allocateTo(attempt);
                job.addAttempt(attempt);
                candidates.onPlaced();
                placed++;
            }
        }
        assertTrue(placed > 500, "only " + placed + " tasks placed");
    }

    private static List<Machine> machines(
            SchedulerFixture fixture, Reservations reservations, Random random, int count) {
        List<Machine> machines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Machine machine = fixture.machine("host-" + i, random.nextBoolean() ? "a" : "b");
            if (random.nextInt(3) == 0) {
                machine.images.touch("img", 1, 50);
            }
            Job otherJob =
                    fixture.job("j-other" + i, 1 + random.nextInt(5), 1 + random.nextInt(5), 2);
            fixture.place(reservations, otherJob, 0, machine);
            if (random.nextInt(4) == 0) {
                reservations.reserve(
                        otherJob, machine, otherJob.taskResources, random.nextBoolean(), true);
            }
            machines.add(machine);
        }
        return machines;
    }

    /**
     * The reservations indexed by machine match a scan of all reservations, after each reservation
     * that is made or released.
     */
    @Test
    void reservationsIndexedByMachineMatchAScanOfAllReservations() {
        Random random = new Random(5);
        SchedulerFixture fixture = new SchedulerFixture(4_000);
        Reservations reservations = new Reservations(fixture.state);
        List<Machine> machines = machines(fixture, reservations, random, 12);
        List<Job> jobs = new ArrayList<>(fixture.state.jobs().values());
        for (int step = 0; step < 2_000; step++) {
            Job job = jobs.get(random.nextInt(jobs.size()));
            Machine machine = machines.get(random.nextInt(machines.size()));
            List<Reservation> owned = reservations.reservationsOf(job);
            if (random.nextInt(3) > 0) {
                reservations.reserve(job, machine, job.taskResources, true, random.nextBoolean());
            } else if (!owned.isEmpty()) {
                reservations.release(owned.get(random.nextInt(owned.size())));
            }
            Resources expected = machine.capacity().minus(machine.used());
            int total = 0;
            for (Job any : jobs) {
                total += reservations.reservationsOf(any).size();
                for (Reservation reservation : reservations.reservationsOf(any)) {
                    if (reservation.machine == machine && any != job) {
                        expected = expected.minus(reservation.remaining());
                    }
                }
            }
            assertEquals(expected, reservations.unreservedBalance(machine, job));
            assertEquals(total, reservations.count());
        }
    }

    /**
     * A job whose complete record would exceed the store's value limit runs in waves, and its
     * record fits the limit whichever way its tasks end.
     */
    @ParameterizedTest
    @CsvSource({"PLAIN,8192", "COMPACT,2048", "COMPACT,1500"})
    void recordOfAHugeJobNeverExceedsTheValueLimit(RecordFormat format, int valueBytes) {
        Random random = new Random(8);
        SchedulerFixture fixture = new SchedulerFixture(100_000);
        fixture.setStoreLimits(valueBytes, format);
        Reservations reservations = new Reservations(fixture.state);
        for (int i = 0; i < 200; i++) {
            fixture.machine("host-" + (100_000 + i), i % 2 == 0 ? "a" : "b");
        }
        Job job = fixture.job("j-999999", 1, 1, 100_000);
        TaskPlacer placer =
                new TaskPlacer(
                        fixture.state, new PlacementConstraints(fixture.state), reservations);
        int largestRecordBytes = 0;
        int mostAttempts = 0;
        for (int wave = 0; wave < 400; wave++) {
            placer.place();
            mostAttempts = Math.max(mostAttempts, job.attempts().size());
            largestRecordBytes =
                    Math.max(
                            largestRecordBytes,
                            Cbor.maxJsonSize(job.toRecord(1, wave).toMap(format)));
            for (TaskAttempt attempt : new ArrayList<>(job.attempts())) {
                if (random.nextInt(3) == 0) {
                    if (random.nextInt(8) > 0) {
                        job.markCompleted(attempt.taskIndex);
                    }
                    job.removeAttempt(attempt);
                }
            }
            largestRecordBytes =
                    Math.max(
                            largestRecordBytes,
                            Cbor.maxJsonSize(job.toRecord(1, wave).toMap(format)));
        }
        assertTrue(
                largestRecordBytes <= valueBytes,
                "the largest record has " + largestRecordBytes + " bytes");
        assertTrue(mostAttempts > 150, "at most " + mostAttempts + " attempts at a time");
        assertTrue(
                job.completedTasks().cardinality() > 10_000,
                "only " + job.completedTasks().cardinality() + " tasks completed");
    }
}
