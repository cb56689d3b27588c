package org.woadloom.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.woadloom.core.LeaderFixture.SECOND;
import static org.woadloom.core.LeaderFixture.heartbeat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.protocol.TaskStatus;

/** Jobs that fail on every machine must be distinguished from machines on which every job fails. */
class FaultyJobsTest {
    private static final int MACHINES = 6;

    private final LeaderFixture leader = new LeaderFixture();
    private final Map<String, Map<String, TaskStatus>> statusesByHost = new LinkedHashMap<>();
    private final Map<String, Integer> startsByJobAndHost = new LinkedHashMap<>();
    private final Map<String, Long> tokenByHost = new LinkedHashMap<>();
    private int handledActions;
    private long sequence = 10;

    /**
     * Lets time pass. Every agent answers immediately; tasks of the failing jobs, and all tasks on
     * the failing hosts, exit with an error.
     */
    private void run(long micros, Set<String> failingJobs, Set<String> failingHosts) {
        for (long until = leader.nowMicros + micros; leader.nowMicros < until; ) {
            for (int i = 0; i < MACHINES; i++) {
                String host = "host-00000" + i;
                leader.sendHeartbeat(
                        heartbeat(
                                host,
                                1,
                                ++sequence,
                                tokenByHost.getOrDefault(host, 0L),
                                tasks(host)));
            }
            leader.advance(500_000);
            List<SchedulerAction> newActions =
                    new ArrayList<>(leader.actions.subList(handledActions, leader.actions.size()));
            handledActions = leader.actions.size();
            for (SchedulerAction action : newActions) {
                if (action instanceof SchedulerAction.SendDirectCommand sent) {
                    tokenByHost.put(sent.host(), sent.fencingToken());
                    sent.commands()
                            .forEach(
                                    command ->
                                            execute(
                                                    sent.host(),
                                                    command,
                                                    failingJobs,
                                                    failingHosts));
                    leader.step(
                            new SchedulerEvent.DirectCommandCompleted(
                                    sent.commandId(),
                                    sent.host(),
                                    200,
                                    heartbeat(
                                            sent.host(),
                                            1,
                                            ++sequence,
                                            sent.fencingToken(),
                                            tasks(sent.host()))));
                }
            }
        }
    }

    private TaskStatus[] tasks(String host) {
        return statusesByHost.getOrDefault(host, Map.of()).values().toArray(TaskStatus[]::new);
    }

    private void execute(
            String host, TaskCommand command, Set<String> failingJobs, Set<String> failingHosts) {
        String key = command.task() + " " + command.attempt();
        if (command.action() == TaskCommand.Action.START) {
            String jobId = command.task().jobId();
            startsByJobAndHost.merge(jobId + " " + host, 1, Integer::sum);
            boolean fails = failingJobs.contains(jobId) || failingHosts.contains(host);
            statusesByHost
                    .computeIfAbsent(host, h -> new LinkedHashMap<>())
                    .put(
                            key,
                            new TaskStatus(
                                    command.task(),
                                    command.attempt(),
                                    fails ? TaskStatus.State.EXITED : TaskStatus.State.RUNNING,
                                    fails ? TaskStatus.ExitReason.ERROR : null,
                                    false));
        }
    }

    /**
     * Guards against a quarantine of every machine on which two such jobs have failed, for longer
     * than any job may wait.
     */
    @Test
    void jobsFailingOnEveryMachineCauseNoQuarantine() {
        Set<String> failingJobs = Set.of("j-000001", "j-000002");
        run(2 * SECOND, failingJobs, Set.of());
        for (String jobId : List.of("j-000001", "j-000002")) {
            leader.submit(jobId, 2 * MACHINES);
            run(8 * SECOND, failingJobs, Set.of());
        }
        long machines =
                startsByJobAndHost.keySet().stream()
                        .filter(key -> key.startsWith("j-000001"))
                        .count();
        assertTrue(
                machines >= 3
                        && startsByJobAndHost.keySet().stream()
                                        .filter(key -> key.startsWith("j-000002"))
                                        .count()
                                >= 3,
                "started jobs and hosts: " + startsByJobAndHost.keySet());
        leader.submit("j-000003", 2 * MACHINES);
        run(5 * SECOND, failingJobs, Set.of());
        assertEquals(
                MACHINES,
                startsByJobAndHost.keySet().stream()
                        .filter(key -> key.startsWith("j-000003"))
                        .count(),
                "quarantined: "
                        + leader.actionsOfType(SchedulerAction.Log.class).stream()
                                .filter(log -> log.entry().event() == LogEvent.MACHINE_QUARANTINED)
                                .toList());
    }

    /** Jobs that run on both machines, and fail only there, are not taken for faulty jobs. */
    @Test
    void twoMachinesFailingTheSameJobsAreQuarantined() {
        Set<String> failingHosts = Set.of("host-000002", "host-000003");
        run(2 * SECOND, Set.of(), failingHosts);
        for (String jobId : List.of("j-000001", "j-000002")) {
            leader.submit(jobId, 2 * MACHINES);
            run(5 * SECOND, Set.of(), failingHosts);
        }
        failingHosts.forEach(
                host -> assertTrue(leader.logged(LogEvent.MACHINE_QUARANTINED, "machine=" + host)));
    }

    @Test
    void onlyTheMachineFailingAllJobsIsQuarantined() {
        Set<String> failingHosts = Set.of("host-000002");
        run(2 * SECOND, Set.of(), failingHosts);
        for (int i = 10; i < 10 + 2 * MACHINES; i++) {
            leader.submit("j-0000" + i, 1);
        }
        run(5 * SECOND, Set.of(), failingHosts);
        assertTrue(leader.logged(LogEvent.MACHINE_QUARANTINED, "machine=host-000002"));
        assertFalse(leader.logged(LogEvent.MACHINE_QUARANTINED, "machine=host-000001"));
    }
}
