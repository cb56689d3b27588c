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
 * A complete scheduler that is the leader, with agent leases of 10 s and heartbeats every 1.5 s.
 * Every write of a record succeeds immediately.
 */
public final class LeaderFixture {
    public static final long TERM = 5;
    public static final long SECOND = 1_000_000;
    private static final MachineType TYPE =
            new MachineType("m16", 16, 0, 32, 50, 1, 1, 0.3, 30 * SECOND, List.of("a", "b"));

    private final Scheduler scheduler;
    public long nowMicros = 100 * SECOND;
    public final List<SchedulerAction> actions = new ArrayList<>();

    /** Whether writes of final states succeed, too; otherwise they are never answered. */
    public boolean storesFinalStates;

    private long lastRevision = 100;
    private long lastRequestId;
    private long maxMachinesExaminedInStep;

    /** Starts a term with records of these machines. */
    public LeaderFixture(String... hosts) {
        this(200, List.of(), hosts);
    }

    /**
     * Starts a term with records of these jobs and machines.
     *
     * @param limit the CPU limit of the team
     */
    public LeaderFixture(double limit, List<JobRecord> jobs, String... hosts) {
        this(TERM, limit, jobs, hosts);
    }

    /** Starts the given term with records of these jobs and machines. */
    public LeaderFixture(long term, double limit, List<JobRecord> jobs, String... hosts) {
        scheduler =
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
        jobs.forEach(job -> stored.add(new SchedulerEvent.StoredJob(job, ++lastRevision)));
        List<SchedulerEvent.StoredMachine> machines = new ArrayList<>();
        for (String host : hosts) {
            machines.add(
                    new SchedulerEvent.StoredMachine(
                            new MachineRecord(host, "m16", "a", false, false), ++lastRevision));
        }
        step(
                new SchedulerEvent.StoreLimitsChanged(
                        8192, RecordFormat.COMPACT, 100, false, false),
                new SchedulerEvent.MachineTypesRead(List.of(TYPE)),
                new SchedulerEvent.LeadershipAcquired(term, stored, machines, nowMicros));
    }

    /** Runs a step with these events, then further steps with the outcomes of its store writes. */
    public void step(SchedulerEvent... events) {
        List<SchedulerEvent> next = List.of(events);
        while (next != null) {
            long examined = scheduler.machinesExamined();
            List<SchedulerAction> emitted = scheduler.step(nowMicros, nowMicros, next);
            maxMachinesExaminedInStep =
                    Math.max(maxMachinesExaminedInStep, scheduler.machinesExamined() - examined);
            actions.addAll(emitted);
            List<SchedulerEvent> completions = new ArrayList<>();
            for (SchedulerAction action : emitted) {
                if (action instanceof SchedulerAction.WriteJob write) {
                    completions.add(
                            new SchedulerEvent.JobWriteCompleted(
                                    write.record().description().jobId(),
                                    write.record().writeSequence(),
                                    SchedulerEvent.WriteOutcome.WRITTEN,
                                    ++lastRevision));
                } else if (storesFinalStates
                        && action instanceof SchedulerAction.WriteFinalState write) {
                    completions.add(
                            new SchedulerEvent.JobWriteCompleted(
                                    write.record().status().jobId(),
                                    write.version(),
                                    SchedulerEvent.WriteOutcome.WRITTEN,
                                    ++lastRevision));
                } else if (action instanceof SchedulerAction.WriteMachine write) {
                    completions.add(
                            new SchedulerEvent.MachineWriteCompleted(
                                    write.record().host(),
                                    write.record().decommissioning(),
                                    false,
                                    SchedulerEvent.WriteOutcome.WRITTEN,
                                    ++lastRevision));
                }
            }
            next = completions.isEmpty() ? null : completions;
        }
    }

    /** Advances time in steps of 100 ms without any event but ticks. */
    public void advance(long micros) {
        for (long until = nowMicros + micros; nowMicros < until; ) {
            nowMicros += 100_000;
            step(new SchedulerEvent.Tick());
        }
    }

    public void submit(String jobId, int taskCount) {
        submit(job(jobId, taskCount));
    }

    public void submit(JobDescription job) {
        step(new SchedulerEvent.JobStored(JobRecord.accepted(job, nowMicros), ++lastRevision));
    }

    /** Cancels a job whose record the leader has written. */
    public void cancel(String jobId) {
        JobRecord stored =
                actionsOfType(SchedulerAction.WriteJob.class).stream()
                        .map(SchedulerAction.WriteJob::record)
                        .filter(record -> record.description().jobId().equals(jobId))
                        .reduce((earlier, later) -> later)
                        .orElseThrow();
        step(new SchedulerEvent.JobStored(stored.withCancellation(), ++lastRevision));
    }

    /** A batch job with tasks of 8 CPUs each. */
    public static JobDescription job(String jobId, int taskCount) {
        return job(jobId, taskCount, "high", 8);
    }

    /** A batch job of the given priority with tasks of so many CPUs each. */
    public static JobDescription job(String jobId, int taskCount, String priority, double cpus) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", jobId);
        map.put("jobclass", "work");
        map.put("crew", "team");
        map.put("shape", "batch");
        map.put("rank", priority);
        map.put("shards", (long) taskCount);
        map.put("vcpus", cpus);
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

    /** Delivers a heartbeat and returns its answer; null if it is not answered. */
    public SchedulerAction.AnswerHeartbeat sendHeartbeat(Heartbeat heartbeat) {
        long id = ++lastRequestId;
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
     * True if an entry of the event was logged with these fields, each given as it is written in
     * the line.
     */
    public boolean logged(LogEvent event, String... fields) {
        return actionsOfType(SchedulerAction.Log.class).stream()
                .map(SchedulerAction.Log::entry)
                .filter(entry -> entry.event() == event)
                .anyMatch(
                        entry ->
                                List.of(fields).stream()
                                        .allMatch(
                                                field ->
                                                        (entry + " ").contains(" " + field + " ")));
    }

    /** Delivers the agent's answer to the last direct command. */
    public void answerLastDirectCommand(Heartbeat answer) {
        SchedulerAction.SendDirectCommand sent =
                lastAction(SchedulerAction.SendDirectCommand.class);
        step(new SchedulerEvent.DirectCommandCompleted(sent.commandId(), sent.host(), 200, answer));
    }

    /**
     * Delivers the agent's answer to the last direct command to it, if that has no task commands
     * and only announces a fencing token.
     */
    public void acknowledgeToken(String host, long incarnation, long sequence) {
        List<SchedulerAction.SendDirectCommand> sentToHost =
                actionsOfType(SchedulerAction.SendDirectCommand.class).stream()
                        .filter(sent -> sent.host().equals(host))
                        .toList();
        SchedulerAction.SendDirectCommand sent = sentToHost.get(sentToHost.size() - 1);
        if (sent.commands().isEmpty()) {
            step(
                    new SchedulerEvent.DirectCommandCompleted(
                            sent.commandId(),
                            host,
                            200,
                            heartbeat(host, incarnation, sequence, sent.fencingToken())));
        }
    }

    /**
     * Delivers the first heartbeats of all agents in one step and their token answers in another.
     */
    public void bringUpAll(String... hosts) {
        int before = actions.size();
        List<SchedulerEvent> events = new ArrayList<>();
        for (String host : hosts) {
            events.add(
                    new SchedulerEvent.HeartbeatReceived(
                            ++lastRequestId, heartbeat(host, 1, 1, 0)));
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

    /** The largest number of machines that a single step has examined so far. */
    public long maxMachinesExaminedInStep() {
        return maxMachinesExaminedInStep;
    }

    /** Reports all direct commands as unanswered. */
    public void failDirectCommands() {
        for (SchedulerAction.SendDirectCommand sent :
                actionsOfType(SchedulerAction.SendDirectCommand.class)) {
            // The scheduler ignores those whose outcome it already knows.
            step(new SchedulerEvent.DirectCommandCompleted(sent.commandId(), sent.host(), 0, null));
        }
    }

    /** Advances time while no direct command is answered. */
    public void advanceWithoutAnswers(long micros) {
        for (long until = nowMicros + micros; nowMicros < until; ) {
            advance(Math.min(SECOND, until - nowMicros));
            failDirectCommands();
        }
    }

    /**
     * Delivers an agent's first heartbeat and its answer to the direct command that announces its
     * fencing token; returns the token.
     */
    public long bringUp(String host, long sequence) {
        sendHeartbeat(heartbeat(host, 1, sequence, 0));
        long token = lastAction(SchedulerAction.SendDirectCommand.class).fencingToken();
        answerLastDirectCommand(heartbeat(host, 1, sequence + 1, token));
        return token;
    }
}
