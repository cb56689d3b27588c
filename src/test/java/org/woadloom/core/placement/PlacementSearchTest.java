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

/** The shortcuts of the search against the plain walk that they stand for. */
class PlacementSearchTest {
    /** One look at all machines for many tasks chooses as a look for each task would. */
    @Test
    void oneSearchForManyTasksChoosesAsOneForEach() {
        int placed = 0;
        for (long seed = 1; seed <= 60; seed++) {
            Random random = new Random(seed);
            SchedulerFixture fixture = new SchedulerFixture(400);
            Reservations reservations = new Reservations(fixture.state);
            PlacementConstraints eligibility = new PlacementConstraints(fixture.state);
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
            Set<String> scarce = random.nextBoolean() ? Set.of("a") : Set.of();
            CandidateMachines once =
                    new CandidateMachines(job, machines, scarce, eligibility, reservations);
            for (int index = job.nextPending(0); index >= 0; index = job.nextPending(index + 1)) {
                Machine plain =
                        new CandidateMachines(job, machines, scarce, eligibility, reservations)
                                .next();
                Machine chosen = once.next();
                assertSame(plain, chosen, "seed " + seed + ", task " + index);
                if (chosen == null) {
                    break;
                }
                TaskAttempt attempt =
                        new TaskAttempt(job, index, chosen, 1, 1, fixture.state.nowMicros());
                reservations.allocateTo(attempt);
                job.addAttempt(attempt);
                once.onPlaced();
                placed++;
            }
        }
        assertTrue(placed > 500, placed + " placed");
    }

    private static List<Machine> machines(
            SchedulerFixture fixture, Reservations reservations, Random random, int count) {
        List<Machine> machines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Machine machine = fixture.machine("host-" + i, random.nextBoolean() ? "a" : "b");
            if (random.nextInt(3) == 0) {
                machine.images.touch("img", 1, 50);
            }
            Job other = fixture.job("j-other" + i, 1 + random.nextInt(5), 1 + random.nextInt(5), 2);
            fixture.place(reservations, other, 0, machine);
            if (random.nextInt(4) == 0) {
                reservations.reserve(
                        other, machine, other.taskResources, random.nextBoolean(), true);
            }
            machines.add(machine);
        }
        return machines;
    }

    /**
     * What is kept by machine agrees with a walk over all reservations, through making, drawing and
     * releasing.
     */
    @Test
    void reservationsByMachineAgreeWithAWalkOverAll() {
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
            Resources plain = machine.capacity().minus(machine.used());
            int total = 0;
            for (Job any : jobs) {
                total += reservations.reservationsOf(any).size();
                for (Reservation reservation : reservations.reservationsOf(any)) {
                    if (reservation.machine == machine && any != job) {
                        plain = plain.minus(reservation.remaining());
                    }
                }
            }
            assertEquals(plain, reservations.unreservedBalance(machine, job));
            assertEquals(total, reservations.count());
        }
    }

    /**
     * A job far too large for one value runs in waves, and its record fits however its tasks end.
     */
    @ParameterizedTest
    @CsvSource({"PLAIN,8192", "COMPACT,2048", "COMPACT,1500"})
    void theRecordOfAHugeJobAlwaysFits(RecordFormat format, int valueBytes) {
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
        int largest = 0;
        int most = 0;
        for (int wave = 0; wave < 400; wave++) {
            placer.place();
            most = Math.max(most, job.attempts().size());
            largest = Math.max(largest, Cbor.maxJsonSize(job.toRecord(1, wave).toMap(format)));
            for (TaskAttempt attempt : new ArrayList<>(job.attempts())) {
                if (random.nextInt(3) == 0) {
                    if (random.nextInt(8) > 0) {
                        job.markCompleted(attempt.taskIndex);
                    }
                    job.removeAttempt(attempt);
                }
            }
            largest = Math.max(largest, Cbor.maxJsonSize(job.toRecord(1, wave).toMap(format)));
        }
        assertTrue(largest <= valueBytes, "a record of " + largest + " bytes");
        assertTrue(most > 150, "only " + most + " at once");
        assertTrue(
                job.completedTasks().cardinality() > 10_000,
                job.completedTasks().cardinality() + " done");
    }
}
