package org.woadloom.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadloom.core.SchedulerAction;
import org.woadloom.golden.GoldenFile;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.protocol.TaskId;
import org.woadloom.protocol.TaskStatus;

/**
 * Compares the bytes of commands to agents, and the decoded value of each heartbeat field and
 * status word, with golden files.
 */
class AgentMessagesGoldenTest {
    private static final TaskId TASK = new TaskId("j-000412", 3);
    private static final List<String> STATES =
            List.of("fetching", "gathering", "running", "flushing", "exited", "novel");
    private static final List<String> EXIT_REASONS =
            List.of(
                    "done",
                    "halted",
                    "error",
                    "no_room",
                    "busy",
                    "unknown",
                    "peers",
                    "incomplete",
                    "novel");

    @Test
    void encodesCommandsAsInTheGoldenFile() {
        GoldenFile golden = new GoldenFile();
        AgentClient client =
                new AgentClient(
                        (address, method, path, body, timeout, callback) ->
                                golden.addBytes(
                                        method + " " + address + path + " within " + timeout, body),
                        1);
        client.send(
                new SchedulerAction.SendDirectCommand(
                        1,
                        "host-1",
                        "10.0.0.1:9",
                        (5L << 20) + 1,
                        2,
                        List.of(
                                TaskCommand.start(TASK, 4),
                                TaskCommand.stop(TASK, 5, 2.5),
                                TaskCommand.acknowledgeExit(TASK, 6))),
                result -> {});
        golden.check("worker-commands.txt");
    }

    private static Map<String, Object> task(int index, String state, String cause) {
        Map<String, Object> task = new LinkedHashMap<>();
        task.put("shard", "j-000412/" + index);
        task.put("try", (5L << 32) + index);
        task.put("status", state);
        task.put("cause", cause);
        task.put("saved", index % 2 == 1);
        return task;
    }

    private static byte[] heartbeatBody() {
        List<Object> tasks = new ArrayList<>();
        STATES.forEach(state -> tasks.add(task(tasks.size(), state, null)));
        EXIT_REASONS.forEach(cause -> tasks.add(task(tasks.size(), "exited", cause)));
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("host", "host-000231");
        map.put("addr", "10.0.0.1:9");
        map.put("hosttype", "m16");
        map.put("yard", "b");
        map.put("reclaimable", true);
        map.put("tenure", 2L);
        map.put("tick", 17L);
        map.put("epoch", 5L << 20);
        map.put("warningS", 1.5);
        map.put("shards", tasks);
        return Cbor.encode(map);
    }

    @Test
    void decodesHeartbeatAsInTheGoldenFile() throws MalformedMessageException {
        Heartbeat heartbeat = Heartbeat.read(heartbeatBody());
        GoldenFile golden = new GoldenFile();
        golden.addBytes("bytes", heartbeatBody());
        golden.addText(
                "report",
                heartbeat.host()
                        + " "
                        + heartbeat.address()
                        + " "
                        + heartbeat.machineType()
                        + " "
                        + heartbeat.zone()
                        + " "
                        + heartbeat.spot()
                        + " "
                        + heartbeat.incarnation()
                        + " "
                        + heartbeat.sequence()
                        + " "
                        + heartbeat.fencingToken()
                        + " "
                        + heartbeat.spotNoticeMicros());
        for (TaskStatus task : heartbeat.tasks()) {
            golden.addText(
                    "task " + task.task().index(),
                    task.task().jobId()
                            + " "
                            + task.attempt()
                            + " "
                            + wireName(task.state())
                            + " "
                            + wireName(task.exitReason())
                            + " "
                            + task.checkpointed());
        }
        assertEquals(STATES.size() + EXIT_REASONS.size(), heartbeat.tasks().size());
        golden.check("worker-reports.txt");
    }

    private static String wireName(TaskStatus.State state) {
        return switch (state) {
            case FETCHING -> "fetching";
            case GATHERING -> "gathering";
            case RUNNING -> "running";
            case CHECKPOINTING -> "flushing";
            case EXITED -> "exited";
        };
    }

    private static String wireName(TaskStatus.ExitReason cause) {
        if (cause == null) {
            return "-";
        }
        return switch (cause) {
            case DONE -> "done";
            case STOPPED -> "halted";
            case ERROR -> "error";
            case INSUFFICIENT_RESOURCES -> "no_room";
            case ALREADY_RUNNING -> "busy";
            case UNKNOWN_TASK -> "unknown";
            case GANG_LOST -> "peers";
            case GANG_INCOMPLETE -> "incomplete";
        };
    }
}
