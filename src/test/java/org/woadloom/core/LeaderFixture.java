package org.woadloom.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.protocol.TaskStatus;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Team;
import org.woadloom.store.JobRecord;
import org.woadloom.store.MachineRecord;
import org.woadloom.store.RecordFormat;

/**
 * A whole core that leads, with a lease of 10 s and reports every 1.5 s; the store takes every
 * write at once.
 */
public final class LeaderFixture {
    public static final long TERM = 5;
    public static final long SECOND = 1_000_000;
    private static final MachineType TYPE =
            new MachineType("m16", 16, 0, 32, 50, 1, 1, 0.3, 30 * SECOND, List.of("a", "b"));

    private final Scheduler core;
    public long nowMicros = 100 * SECOND;
    public final List<SchedulerAction> actions = new ArrayList<>();
    private long stamps = 100;
    private long replies;
    private long maxMachinesExaminedInStep;

    /** Leads with these machines recorded. */
    public LeaderFixture(String... hosts) {
        this(200, List.of(), hosts);
    }

    /**
     * The same, with what earlier leaders have recorded of jobs.
     *
     * @param limit the CPUs that the team may use at most
     */
    public LeaderFixture(double limit, List<JobRecord> jobs, String... hosts) {
        core =
                new Scheduler(
                        new SchedulerSettings(
                                "node",
                                Map.of(),
                                List.of(new Team("team", Math.min(64, limit), limit, 0, 0)),
                                List.of(),
                                1_500_000,
                                10 * SECOND,
                                30 * SECOND,
                                3 * SECOND,
                                OperatorSettings.defaults()));
        List<SchedulerEvent.StoredJob> stored = new ArrayList<>();
        jobs.forEach(job -> stored.add(new SchedulerEvent.StoredJob(job, ++stamps)));
        List<SchedulerEvent.StoredMachine> machines = new ArrayList<>();
        for (String host : hosts) {
            machines.add(
                    new SchedulerEvent.StoredMachine(
                            new MachineRecord(host, "m16", "a", false, false), ++stamps));
        }
        step(
                new SchedulerEvent.StoreLimitsChanged(
                        8192, RecordFormat.COMPACT, 100, false, false),
                new SchedulerEvent.MachineTypesRead(List.of(TYPE)),
                new SchedulerEvent.LeadershipAcquired(TERM, stored, machines, nowMicros));
    }

    public void step(SchedulerEvent... commands) {
        List<SchedulerEvent> next = List.of(commands);
        while (next != null) {
            long examined = core.machinesExamined();
            List<SchedulerAction> done = core.step(nowMicros, nowMicros, next);
            maxMachinesExaminedInStep =
                    Math.max(maxMachinesExaminedInStep, core.machinesExamined() - examined);
            actions.addAll(done);
            List<SchedulerEvent> written = new ArrayList<>();
            for (SchedulerAction action : done) {
                if (action instanceof SchedulerAction.WriteJob put) {
                    written.add(
                            new SchedulerEvent.JobWriteCompleted(
                                    put.record().description().jobId(),
                                    put.record().writeSequence(),
                                    SchedulerEvent.WriteOutcome.WRITTEN,
                                    ++stamps));
                } else if (action instanceof SchedulerAction.WriteMachine put) {
                    written.add(
                            new SchedulerEvent.MachineWriteCompleted(
                                    put.record().host(),
                                    put.record().decommissioning(),
                                    false,
                                    SchedulerEvent.WriteOutcome.WRITTEN,
                                    ++stamps));
                }
            }
            next = written.isEmpty() ? null : written;
        }
    }

    /** Time passes, step by step, while nothing is heard. */
    public void advance(long micros) {
        for (long until = nowMicros + micros; nowMicros < until; ) {
            nowMicros += 100_000;
            step(new SchedulerEvent.Tick());
        }
    }

    public void submit(String jobId, int shards) {
        step(
                new SchedulerEvent.JobStored(
                        JobRecord.accepted(job(jobId, shards), nowMicros), ++stamps));
    }

    /** Tasks of 8 CPUs each. */
    public static JobDescription job(String jobId, int shards) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", jobId);
        map.put("jobclass", "work");
        map.put("crew", "team");
        map.put("shape", "batch");
        map.put("rank", "high");
        map.put("shards", (long) shards);
        map.put("vcpus", 8.0);
        map.put("ramGb", 1.0);
        map.put("bundle", "img");
        try {
            return JobDescription.parse(map);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    public static Heartbeat heartbeat(
            String host, long incarnation, long sequence, long fencingToken, TaskStatus... tasks) {
        return new Heartbeat(
                host,
                host + ":9000",
                "m16",
                "a",
                false,
                incarnation,
                sequence,
                fencingToken,
                -1,
                List.of(tasks));
    }

    /** The answer to a report that arrives now; null where it is turned away. */
    public SchedulerAction.AnswerHeartbeat sendHeartbeat(Heartbeat heartbeat) {
        long id = ++replies;
        step(new SchedulerEvent.HeartbeatReceived(id, heartbeat));
        return actionsOfType(SchedulerAction.AnswerHeartbeat.class).stream()
                .filter(answer -> answer.requestId() == id)
                .findFirst()
                .orElse(null);
    }

    public <E extends SchedulerAction> List<E> actionsOfType(Class<E> kind) {
        return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    public <E extends SchedulerAction> E lastAction(Class<E> kind) {
        List<E> all = actionsOfType(kind);
        return all.get(all.size() - 1);
    }

    /**
     * True if an entry of the event was logged with these values, each given as it stands in the
     * line.
     */
    public boolean logged(LogEvent event, String... values) {
        return actionsOfType(SchedulerAction.Log.class).stream()
                .map(SchedulerAction.Log::entry)
                .filter(entry -> entry.event() == event)
                .anyMatch(
                        entry ->
                                List.of(values).stream()
                                        .allMatch(
                                                value ->
                                                        (entry + " ").contains(" " + value + " ")));
    }

    /** The worker answers the last direct command. */
    public void answerLastDirectCommand(Heartbeat body) {
        SchedulerAction.SendDirectCommand sent =
                lastAction(SchedulerAction.SendDirectCommand.class);
        step(new SchedulerEvent.DirectCommandCompleted(sent.commandId(), sent.host(), 200, body));
    }

    /** The worker answers the last direct command if that only tells it of its token. */
    public void acknowledgeToken(String host, long incarnation, long sequence) {
        List<SchedulerAction.SendDirectCommand> there =
                actionsOfType(SchedulerAction.SendDirectCommand.class).stream()
                        .filter(sent -> sent.host().equals(host))
                        .toList();
        SchedulerAction.SendDirectCommand sent = there.get(there.size() - 1);
        if (sent.commands().isEmpty()) {
            step(
                    new SchedulerEvent.DirectCommandCompleted(
                            sent.commandId(),
                            host,
                            200,
                            heartbeat(host, incarnation, sequence, sent.fencingToken())));
        }
    }

    /** All agents report at once, in one batch, and then answer their tokens in another. */
    public void bringUpAll(String... hosts) {
        int before = actions.size();
        List<SchedulerEvent> events = new ArrayList<>();
        for (String host : hosts) {
            events.add(new SchedulerEvent.HeartbeatReceived(++replies, heartbeat(host, 1, 1, 0)));
        }
        step(events.toArray(new SchedulerEvent[0]));
        events.clear();
        for (SchedulerAction action : List.copyOf(actions.subList(before, actions.size()))) {
            if (action instanceof SchedulerAction.SendDirectCommand sent) {
                events.add(
                        new SchedulerEvent.DirectCommandCompleted(
                                sent.commandId(),
                                sent.host(),
                                200,
                                heartbeat(sent.host(), 1, 2, sent.fencingToken())));
            }
        }
        step(events.toArray(new SchedulerEvent[0]));
    }

    /** The most machines that one step so far has examined for placements. */
    public long maxMachinesExaminedInStep() {
        return maxMachinesExaminedInStep;
    }

    /** Nobody answers any of them. */
    public void failDirectCommands() {
        for (SchedulerAction.SendDirectCommand sent :
                actionsOfType(SchedulerAction.SendDirectCommand.class)) {
            // The core passes over those whose outcome it knows.
            step(new SchedulerEvent.DirectCommandCompleted(sent.commandId(), sent.host(), 0, null));
        }
    }

    /** Time passes, and no direct command is answered. */
    public void advanceWithoutAnswers(long micros) {
        for (long until = nowMicros + micros; nowMicros < until; ) {
            advance(Math.min(SECOND, until - nowMicros));
            failDirectCommands();
        }
    }

    /**
     * A worker that reports, and answers the greeting that follows; returns the token that it has
     * then.
     */
    public long bringUp(String host, long sequence) {
        sendHeartbeat(heartbeat(host, 1, sequence, 0));
        long token = lastAction(SchedulerAction.SendDirectCommand.class).fencingToken();
        answerLastDirectCommand(heartbeat(host, 1, sequence + 1, token));
        return token;
    }
}
