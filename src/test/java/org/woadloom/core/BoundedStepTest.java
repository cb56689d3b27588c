package org.woadloom.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadloom.store.JobRecord;

/** The work of one step is bounded even if all machines of a large cluster come up at once. */
class BoundedStepTest {
    private static final int MACHINES = 4_000;

    /** A tenth of the 4 s lease on the leader key, so that three late renewals do not lose it. */
    private static final double MAX_STEP_SECONDS = 0.4;

    /** The share of one processor that a node gets. */
    private static final double PROCESSOR_SHARE = 0.4;

    /** The processor time that examining one machine is taken to need. */
    private static final double SECONDS_PER_MACHINE = 0.5e-6;

    private static final long MAX_MACHINES_PER_STEP =
            (long) (MAX_STEP_SECONDS * PROCESSOR_SHARE / SECONDS_PER_MACHINE);

    private static final int STEPS = 200;
    private static final long STEP_INTERVAL_MICROS = 10_000;

    private static String[] hosts() {
        String[] hosts = new String[MACHINES];
        for (int i = 0; i < MACHINES; i++) {
            hosts[i] = String.format("host-%06d", i);
        }
        return hosts;
    }

    private static LeaderFixture afterFullRestart(int jobs) {
        List<JobRecord> records = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            records.add(
                    JobRecord.accepted(LeaderFixture.job(String.format("j-%06d", i), 2), i * 10L));
        }
        LeaderFixture leader = new LeaderFixture(16.0 * MACHINES, records, hosts());
        leader.bringUpAll(hosts());
        for (int i = 0; i < STEPS; i++) {
            leader.nowMicros += STEP_INTERVAL_MICROS;
            leader.step(new SchedulerEvent.Tick());
        }
        return leader;
    }

    /**
     * Guards against leaders that lost their lease one after the other, in steps that took too
     * long, when a cluster of 4,000 machines was restarted as a whole.
     */
    @ParameterizedTest
    @ValueSource(ints = {4_000, 12_000})
    void placementStepStaysWithinMachineBudgetAfterFullRestart(int jobs) {
        LeaderFixture leader = afterFullRestart(jobs);
        assertTrue(
                leader.maxMachinesExaminedInStep() <= MAX_MACHINES_PER_STEP,
                leader.maxMachinesExaminedInStep() + " machines examined in one step");
    }

    @Test
    void searchSpreadOverStepsPlacesAllJobsThatFit() {
        LeaderFixture leader = afterFullRestart(4_000);
        assertEquals(4_000, placedJobs(leader).size());
    }

    @Test
    void searchSpreadOverStepsPlacesOldestJobsFirst() {
        LeaderFixture leader = afterFullRestart(4_000);
        List<String> placed = placedJobs(leader);
        assertEquals(placed.stream().sorted().toList(), placed);
    }

    private static List<String> placedJobs(LeaderFixture leader) {
        return leader.actionsOfType(SchedulerAction.Log.class).stream()
                .filter(log -> log.entry().event() == LogEvent.TASKS_PLACED)
                .map(log -> log.entry().toString().replaceAll(".*job=(\\S+).*", "$1"))
                .distinct()
                .toList();
    }
}
