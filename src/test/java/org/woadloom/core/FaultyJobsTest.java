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

/**
 * Jobs that fail on every machine, and machines on which every job fails: each is to be told from
 * the other.
 */
class FaultyJobsTest {
    private static final int MACHINES = 6;

    private final LeaderFixture leader = new LeaderFixture();
    private final Map<String, Map<String, TaskStatus>> on = new LinkedHashMap<>();
    private final Map<String, Integer> launches = new LinkedHashMap<>();
    private int read;
    private long sequence = 10;

    /** Every worker answers at once; tasks of these jobs, and all on these machines, fail. */
    private void pass(long micros, Set<String> mistaken, Set<String> faulty) {
        for (long until = leader.nowMicros + micros; leader.nowMicros < until; ) {
            for (int i = 0; i < MACHINES; i++) {
                String host = "host-00000" + i;
                leader.sendHeartbeat(
                        heartbeat(host, 1, ++sequence, epochs.getOrDefault(host, 0L), tasks(host)));
            }
            leader.advance(500_000);
            List<SchedulerAction> news =
                    new ArrayList<>(leader.actions.subList(read, leader.actions.size()));
            read = leader.actions.size();
            for (SchedulerAction action : news) {
                if (action instanceof SchedulerAction.SendDirectCommand sent) {
                    epochs.put(sent.host(), sent.fencingToken());
                    sent.commands()
                            .forEach(command -> execute(sent.host(), command, mistaken, faulty));
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

    private final Map<String, Long> epochs = new LinkedHashMap<>();

    private TaskStatus[] tasks(String host) {
        return on.getOrDefault(host, Map.of()).values().toArray(TaskStatus[]::new);
    }

    private void execute(
            String host, TaskCommand command, Set<String> mistaken, Set<String> faulty) {
        String key = command.task() + " " + command.attempt();
        if (command.action() == TaskCommand.Action.START) {
            String jobId = command.task().jobId();
            launches.merge(jobId + " " + host, 1, Integer::sum);
            boolean fails = mistaken.contains(jobId) || faulty.contains(host);
            on.computeIfAbsent(host, h -> new LinkedHashMap<>())
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
     * Two of them used to have every machine quarantined on which both had tried: for longer than
     * any job may wait.
     */
    @Test
    void jobsThatFailEverywhereTakeNoMachineFromTheOthers() {
        Set<String> mistaken = Set.of("j-000001", "j-000002");
        pass(2 * SECOND, mistaken, Set.of());
        for (String jobId : List.of("j-000001", "j-000002")) {
            leader.submit(jobId, 2 * MACHINES);
            pass(8 * SECOND, mistaken, Set.of());
        }
        long machines =
                launches.keySet().stream().filter(key -> key.startsWith("j-000001")).count();
        assertTrue(
                machines >= 3
                        && launches.keySet().stream()
                                        .filter(key -> key.startsWith("j-000002"))
                                        .count()
                                >= 3,
                "they were tried on " + launches.keySet());
        leader.submit("j-000003", 2 * MACHINES);
        pass(5 * SECOND, mistaken, Set.of());
        assertEquals(
                MACHINES,
                launches.keySet().stream().filter(key -> key.startsWith("j-000003")).count(),
                "quarantined: "
                        + leader.actionsOfType(SchedulerAction.Log.class).stream()
                                .filter(
                                        note ->
                                                note.entry().event()
                                                        == LogEvent.MACHINE_QUARANTINED)
                                .toList());
    }

    /** Jobs large enough to meet both are not taken for mistaken ones. */
    @Test
    void twoMachinesOnWhichTheSameJobsFailAreQuarantined() {
        Set<String> faulty = Set.of("host-000002", "host-000003");
        pass(2 * SECOND, Set.of(), faulty);
        for (String jobId : List.of("j-000001", "j-000002")) {
            leader.submit(jobId, 2 * MACHINES);
            pass(5 * SECOND, Set.of(), faulty);
        }
        faulty.forEach(
                host -> assertTrue(leader.logged(LogEvent.MACHINE_QUARANTINED, "machine=" + host)));
    }

    /** Jobs that fail on it alone point at it. */
    @Test
    void aMachineOnWhichJobsFailIsQuarantined() {
        Set<String> faulty = Set.of("host-000002");
        pass(2 * SECOND, Set.of(), faulty);
        for (int i = 10; i < 10 + 2 * MACHINES; i++) {
            leader.submit("j-0000" + i, 1);
        }
        pass(5 * SECOND, Set.of(), faulty);
        assertTrue(leader.logged(LogEvent.MACHINE_QUARANTINED, "machine=host-000002"));
        assertFalse(leader.logged(LogEvent.MACHINE_QUARANTINED, "machine=host-000001"));
    }
}
