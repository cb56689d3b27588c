package org.woadloom.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadloom.core.Scheduler;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerSettings;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Team;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;

class EventQueueTest {
    private static final int JOBS = 3_000;

    private final ArrayDeque<Runnable> pendingTasks = new ArrayDeque<>();
    private final List<SchedulerAction> actions = new ArrayList<>();
    private final Scheduler scheduler =
            new Scheduler(
                    new SchedulerSettings(
                            "node",
                            Map.of(),
                            List.of(new Team("team", 100, 100, 0, 0)),
                            List.of(),
                            1_500_000,
                            10_000_000,
                            30_000_000,
                            3_000_000,
                            OperatorSettings.defaults()));
    private final EventQueue queue =
            new EventQueue(
                    new ManualEventLoop(), scheduler, new NodeMetrics(), 10, actions::addAll);

    /** Its time stands still; tasks and timers are queued, and the test runs them in order. */
    private final class ManualEventLoop implements EventLoop {
        @Override
        public long nowMicros() {
            return 1_000_000;
        }

        @Override
        public long wallMicros() {
            return 0;
        }

        @Override
        public void execute(Runnable task) {
            pendingTasks.add(task);
        }

        @Override
        public Timer schedule(long delayMicros, Runnable task) {
            pendingTasks.add(task);
            return () -> {};
        }
    }

    @Test
    void fullQueueDropsHeartbeatsAndKeepsOtherEvents() throws MalformedMessageException {
        List<SchedulerEvent.StoredJob> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            jobs.add(new SchedulerEvent.StoredJob(record(i), 1));
        }
        queue.add(
                new SchedulerEvent.StoreLimitsChanged(
                        8192, RecordFormat.PLAIN, 10_000, false, false));
        queue.add(new SchedulerEvent.LeadershipAcquired(1, jobs, List.of(), 0));
        int accepted = 0;
        for (int i = 0; i < 25; i++) {
            accepted += queue.offer(heartbeat(i, 1)) ? 1 : 0;
        }
        assertEquals(10, accepted);
        for (int i = 0; i < JOBS; i++) {
            queue.add(new SchedulerEvent.JobStored(record(i).withCancellation(), 2));
        }
        assertFalse(queue.offer(heartbeat(99, 1)));
        while (!pendingTasks.isEmpty()) {
            pendingTasks.poll().run();
        }
        assertEquals(
                10,
                actions.stream().filter(SchedulerAction.AnswerHeartbeat.class::isInstance).count());
        assertEquals(
                JOBS,
                actions.stream().filter(SchedulerAction.WriteFinalState.class::isInstance).count());
        assertTrue(queue.offer(heartbeat(1, 2)), "a drained queue accepts heartbeats again");
    }

    @Test
    void offerCountsDroppedHeartbeats() {
        for (int i = 0; i < 25; i++) {
            queue.offer(heartbeat(i, 1));
        }
        assertEquals(15, queue.refusedHeartbeats());
    }

    private static SchedulerEvent.HeartbeatReceived heartbeat(int host, long sequence) {
        return new SchedulerEvent.HeartbeatReceived(
                host,
                new Heartbeat(
                        "host-" + host, "a:1", "m", "a", false, 1, sequence, 0, -1, List.of()));
    }

    private static JobRecord record(int i) throws MalformedMessageException {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", String.format("j-%06d", i));
        map.put("jobclass", "work");
        map.put("crew", "team");
        map.put("shape", "batch");
        map.put("rank", "high");
        map.put("shards", 1L);
        map.put("vcpus", 1.0);
        map.put("ramGb", 1.0);
        map.put("bundle", "img");
        return JobRecord.accepted(JobDescription.parse(map), 0);
    }
}
