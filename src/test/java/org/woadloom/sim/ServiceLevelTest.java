package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.reservation.Reservations;

/**
 * Sixteen teams, one of which floods the service with jobs, while machines and controllers fail: no
 * team and no job class starves.
 */
@ExtendWith(PrintReplayCommand.class)
class ServiceLevelTest {
    private static final long FAULTS_END = 180_000_000;
    private static final double MIN_SERVED_SHARE = 0.5;

    @ParameterizedTest
    @MethodSource("org.woadloom.sim.Seeds#firstFour")
    void everyTeamAndClassGetsHalfOfItsJobsStartedDuringFlood(long seed) {
        ClusterSimulation cluster = new ClusterSimulation(seed, Scenario.MANY_TEAMS);
        cluster.users.submitUntil(FAULTS_END, 4);
        cluster.randomFaults.startMachineFaultsUntil(FAULTS_END);
        // The flooding team asks for more than there is, so that some of its own jobs still wait at
        // the end.
        cluster.run(FAULTS_END + 120_000_000);
        Map<String, int[]> served = new TreeMap<>();
        for (String jobId : cluster.observed.acceptedJobs()) {
            var job = cluster.observed.job(jobId);
            boolean isServed =
                    cluster.observed.wasStarted(jobId) || cluster.observed.hasFinalStatus(jobId);
            for (String group : new String[] {"team " + job.team(), "class " + job.jobClass()}) {
                int[] count = served.computeIfAbsent(group, g -> new int[2]);
                count[0]++;
                count[1] += isServed ? 1 : 0;
            }
        }
        assertEquals(18, served.size(), "teams and classes that had jobs");
        served.forEach(
                (group, count) ->
                        assertTrue(
                                count[1] >= MIN_SERVED_SHARE * count[0],
                                group + ": " + count[1] + " of " + count[0] + ", seed " + seed));
        int flood = served.get("team crowd-0")[0];
        served.forEach(
                (group, count) ->
                        assertTrue(
                                !group.startsWith("team")
                                        || group.endsWith("crowd-0")
                                        || count[0] * 4 < flood,
                                group + " has at least a quarter of the flooding team's jobs"));
    }

    /**
     * A team submits many services that nobody cancels; its arrays must still get a share of the
     * team's limit.
     */
    @ParameterizedTest
    @CsvSource({"0,1", "14,2"})
    void teamAtLimitFinishesArraysBesideLongRunningServices(int crowd, long seed) {
        ClusterSimulation cluster =
                new ClusterSimulation(
                        seed,
                        new Scenario(
                                Scenario.SHORT_TIMES,
                                Scenario.SHORT_TIMES,
                                Version.CURRENT,
                                Scenario.Flaw.NONE,
                                crowd));
        cluster.noRandomCancellations = true;
        cluster.users.submitUntil(FAULTS_END, 3);
        cluster.randomFaults.startMachineFaultsUntil(FAULTS_END);
        cluster.run(FAULTS_END);
        int before = finishedArraysOf(cluster, crowd);
        cluster.run(FAULTS_END + 240_000_000);
        int finished = finishedArraysOf(cluster, crowd) - before;
        assertTrue(
                finished >= 12, finished + " arrays finished in four minutes at the team's limit");
    }

    private static int finishedArraysOf(ClusterSimulation cluster, int crowd) {
        String team = crowd == 0 ? "red" : "crowd-0";
        int finished = 0;
        for (String jobId : cluster.observed.acceptedJobs()) {
            var job = cluster.observed.job(jobId);
            finished +=
                    job.team().equals(team)
                                    && !job.isService()
                                    && cluster.observed.hasFinalStatus(jobId)
                            ? 1
                            : 0;
        }
        return finished;
    }

    /**
     * Covers the largest tenth of the jobs of a class. A task that an earlier leader placed must
     * not count as having waited until now.
     */
    @Test
    void leaderLogsServiceLevelOfLargestJobs() {
        SchedulerFixture fixture = new SchedulerFixture();
        for (int i = 0; i < 20; i++) {
            fixture.state.serviceLevels().onJobAdded(fixture.job("j-" + i, 1, 1, i < 18 ? 2 : 9));
        }
        fixture.advance(70_000_000);
        var machine = fixture.machine("host-1", "a");
        var reservations = new Reservations(fixture.state);
        fixture.place(reservations, fixture.state.jobs().get("j-18"), 0, machine);
        TaskAttempt inherited =
                new TaskAttempt(
                        fixture.state.jobs().get("j-19"),
                        0,
                        machine,
                        1,
                        0,
                        fixture.state.nowMicros());
        inherited.onRecovered();
        inherited.job.addAttempt(inherited);
        fixture.state.serviceLevels().reportIfDue();
        assertTrue(
                fixture.logged(
                        LogEvent.LARGEST_JOBS_SERVICE_LEVEL,
                        "class=work",
                        "jobs=2",
                        "started_in_time=2",
                        "slowest_start_s=70",
                        "done=0"));
    }

    /** The report comes once a minute and counts only what this leader has seen. */
    @Test
    void leaderPublishesServiceLevelsOncePerMinute() {
        SchedulerFixture fixture = new SchedulerFixture();
        Job waits = fixture.job("j-000001", 1, 1, 1);
        fixture.state.serviceLevels().onJobAdded(waits);
        Job ended = fixture.job("j-000002", 1, 1, 1);
        fixture.state.serviceLevels().onJobAdded(ended);
        ended.markCompleted(0);
        fixture.state.removeJob(ended);
        fixture.state.serviceLevels().onJobEnded(ended);
        fixture.advance(30_000_000);
        fixture.state.serviceLevels().reportIfDue();
        assertTrue(fixture.actions().isEmpty(), "reported before a minute had passed");
        fixture.advance(45_000_000);
        fixture.state.serviceLevels().reportIfDue();
        SchedulerAction.PublishServiceLevels seen =
                (SchedulerAction.PublishServiceLevels)
                        fixture.actions().stream()
                                .filter(
                                        action ->
                                                action
                                                        instanceof
                                                        SchedulerAction.PublishServiceLevels)
                                .findFirst()
                                .orElseThrow();
        var row = seen.rows().get(0);
        assertEquals(
                "team work 2 1 1 0 75000000",
                String.join(
                        " ",
                        row.team(),
                        row.jobClass(),
                        "" + row.accepted(),
                        "" + row.fullyStarted(),
                        "" + row.ended(),
                        "" + row.cancelled(),
                        "" + row.longestWaitMicros()));
    }
}
