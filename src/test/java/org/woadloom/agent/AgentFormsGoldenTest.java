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

/** What workers are sent, byte by byte, and how each field and word of their reports is read. */
class AgentFormsGoldenTest {
    private static final TaskId TASK = new TaskId("j-000412", 3);
    private static final List<String> STATES =
            List.of("fetching", "gathering", "running", "flushing", "exited", "novel");
    private static final List<String> CAUSES =
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
    void commandsAreSentAsRecorded() {
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

    private static byte[] report() {
        List<Object> tasks = new ArrayList<>();
        STATES.forEach(state -> tasks.add(task(tasks.size(), state, null)));
        CAUSES.forEach(cause -> tasks.add(task(tasks.size(), "exited", cause)));
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
    void reportsAreReadAsRecorded() throws MalformedMessageException {
        Heartbeat r = Heartbeat.read(report());
        GoldenFile golden = new GoldenFile();
        golden.addBytes("bytes", report());
        golden.addText(
                "report",
                r.host()
                        + " "
                        + r.address()
                        + " "
                        + r.machineType()
                        + " "
                        + r.zone()
                        + " "
                        + r.spot()
                        + " "
                        + r.incarnation()
                        + " "
                        + r.sequence()
                        + " "
                        + r.fencingToken()
                        + " "
                        + r.spotNoticeMicros());
        for (TaskStatus t : r.tasks()) {
            golden.addText(
                    "task " + t.task().index(),
                    t.task().jobId()
                            + " "
                            + t.attempt()
                            + " "
                            + word(t.state())
                            + " "
                            + word(t.exitReason())
                            + " "
                            + t.checkpointed());
        }
        assertEquals(STATES.size() + CAUSES.size(), r.tasks().size());
        golden.check("worker-reports.txt");
    }

    private static String word(TaskStatus.State state) {
        return switch (state) {
            case FETCHING -> "fetching";
            case GATHERING -> "gathering";
            case RUNNING -> "running";
            case CHECKPOINTING -> "flushing";
            case EXITED -> "exited";
        };
    }

    private static String word(TaskStatus.ExitReason cause) {
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
