package org.woadloom.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.reservation.Reservations;

/** One team, limited to 24 CPUs, on machines of 16. */
class ClassFairShareTest {
    private final SchedulerFixture fixture = new SchedulerFixture();
    private final ClassFairShare shares = new ClassFairShare(fixture.state);
    private final Reservations reservations = new Reservations(fixture.state);
    private Machine[] machines;

    @BeforeEach
    void machines() {
        machines =
                new Machine[] {
                    fixture.machine("host-1", "a"),
                    fixture.machine("host-2", "a"),
                    fixture.machine("host-3", "b")
                };
    }

    private void place(Job job, int from, int to) {
        for (int i = from; i < to; i++) {
            fixture.place(reservations, job, i, machines[i % machines.length]);
        }
    }

    /**
     * Two thirds of the team's limit of 24 CPUs are divided evenly, 8 CPUs for each of the two
     * classes. The remaining 8 CPUs are assigned in queue order.
     */
    @Test
    void shareIsKeptForWaitingClassOfTeamAtItsLimit() {
        Job service = fixture.jobOfClass("j-1", "web", 40, true);
        Job array = fixture.jobOfClass("j-2", "work", 40, false);
        shares.update();
        assertEquals(16, service.allowedTasks());
        assertEquals(16, array.allowedTasks());
        place(service, 0, 16);
        shares.update();
        assertEquals(0, service.allowedTasks(), "the rest is kept for the other class");
        assertEquals(8, array.allowedTasks());
        place(array, 0, 8);
        shares.update();
        assertEquals(0, array.allowedTasks());
    }

    @Test
    void keptShareIsAtMostThePendingDemand() {
        Job service = fixture.jobOfClass("j-1", "web", 40, true);
        fixture.jobOfClass("j-2", "work", 3, false);
        shares.update();
        assertEquals(21, service.allowedTasks());
    }

    @Test
    void keptShareIsAtLeastOneTask() {
        Job service = fixture.jobOfClass("j-1", "web", 40, true);
        Job array = fixture.job("j-2", 12, 1, 3);
        shares.update();
        assertEquals(12, service.allowedTasks());
        assertEquals(1, array.allowedTasks());
    }

    @Test
    void nothingIsKeptIfTeamDemandFitsItsLimit() {
        Job service = fixture.jobOfClass("j-1", "web", 4, true);
        Job array = fixture.jobOfClass("j-2", "work", 20, false);
        shares.update();
        assertEquals(24, service.allowedTasks());
        assertEquals(24, array.allowedTasks());
        assertTrue(fixture.actions().isEmpty());
    }

    /** No task is preempted for a share: a class gets it as tasks of the other class end. */
    @Test
    void freedQuotaGoesToClassBelowItsShare() {
        Job service = fixture.jobOfClass("j-1", "web", 30, true);
        place(service, 0, 24);
        Job array = fixture.jobOfClass("j-2", "work", 40, false);
        shares.update();
        assertEquals(0, array.allowedTasks());
        service.removeAttempt(service.attempt(0));
        service.removeAttempt(service.attempt(1));
        shares.update();
        assertEquals(0, service.allowedTasks());
        assertEquals(2, array.allowedTasks());
    }

    /**
     * Guards against a job class that keeps quota from the team's other classes although its own
     * jobs can't use the quota: the limit allows them to start, but there is no machine for them.
     */
    @Test
    void shareUnusedForTooLongGoesToOtherClasses() {
        Job service = fixture.jobOfClass("j-1", "web", 40, true);
        Job array = fixture.job("j-2", 8, 1, 3);
        place(service, 0, 16);
        shares.update();
        assertEquals(0, service.allowedTasks());
        fixture.advance(76_000_000);
        shares.update();
        assertEquals(8, service.allowedTasks());
        place(service, 16, 24);
        shares.update();
        service.removeAttempt(service.attempt(0));
        shares.update();
        assertEquals(
                0,
                service.allowedTasks(),
                "freed quota is kept again until it suffices for a task of the other class");
        assertEquals(0, array.allowedTasks());
    }

    @Test
    void demandAboveLimitIsLoggedOnceAMinute() {
        fixture.jobOfClass("j-1", "web", 40, true);
        fixture.jobOfClass("j-2", "work", 40, false);
        shares.update();
        shares.update();
        var actions = fixture.actions();
        assertEquals(
                List.of(
                        "event=quota_exceeded team=team asked_cpus=80 asked_gpus=0 class=web"
                                + " used_cpus=0 waiting_cpus=40",
                        "event=quota_exceeded team=team asked_cpus=80 asked_gpus=0 class=work"
                                + " used_cpus=0 waiting_cpus=40"),
                actions.stream()
                        .map(action -> ((SchedulerAction.Log) action).entry().toString())
                        .toList());
        fixture.advance(61_000_000);
        shares.update();
        assertEquals(2, fixture.actions().size());
    }
}
