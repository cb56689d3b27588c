package org.woadloom.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.liveness.AgentLiveness;
import org.woadloom.core.liveness.MessageAge;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.reservation.Reservations;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Team;
import org.woadloom.store.JobRecord;
import org.woadloom.store.MachineRecord;
import org.woadloom.store.RecordFormat;

/**
 * The state of a small cluster for tests of single components: machines of 16 CPUs and 32 GB, and
 * one team that is guaranteed 16 CPUs and limited, by default, to 24.
 */
public final class SchedulerFixture {
    private static final MachineType TYPE =
            new MachineType("m16", 16, 0, 32, 50, 1, 1, 0.3, 30_000_000, List.of("a", "b"));

    public final SchedulerState state;

    public SchedulerFixture() {
        this(24);
    }

    /**
     * @param limit the CPU limit of the team
     */
    public SchedulerFixture(double limit) {
        state =
                new SchedulerState(
                        new SchedulerSettings(
                                "node",
                                Map.of(),
                                List.of(new Team("team", 16, limit, 0, 0)),
                                List.of(),
                                1_500_000,
                                10_000_000,
                                30_000_000,
                                3_000_000,
                                OperatorSettings.defaults()),
                        1,
                        1_000_000,
                        0);
        state.setStoreLimits(
                new SchedulerEvent.StoreLimitsChanged(8192, RecordFormat.PLAIN, 0, false, false));
        state.addMachineType(TYPE);
    }

    public Machine machine(String host, String zone) {
        Machine machine = new Machine(new MachineRecord(host, "m16", zone, false, false), state);
        machine.setType(TYPE);
        machine.onRecorded(0);
        machine.confirmExistence();
        receiveHeartbeat(machine, 1, machine.liveness.issueToken(state.nowMicros()));
        state.addMachine(machine);
        return machine;
    }

    /** Delivers a heartbeat without tasks from the machine's agent, with the given token. */
    public MessageAge receiveHeartbeat(Machine machine, long sequence, long fencingToken) {
        Heartbeat heartbeat =
                new Heartbeat(
                        machine.host,
                        machine.host + ":9000",
                        machine.machineType,
                        machine.zone,
                        false,
                        1,
                        sequence,
                        fencingToken,
                        -1,
                        List.of());
        machine.liveness.recordHeartbeatArrival(heartbeat, state.nowMicros());
        MessageAge age =
                machine.liveness.classify(heartbeat, AgentLiveness.NEVER, state.nowMicros());
        machine.liveness.accept(heartbeat, age, AgentLiveness.NEVER, state.nowMicros());
        return age;
    }

    public Job job(String jobId, double cpus, double memoryGb, int taskCount) {
        return job(jobId, cpus, memoryGb, taskCount, false, false);
    }

    public Job job(
            String jobId,
            double cpus,
            double memoryGb,
            int taskCount,
            boolean service,
            boolean spreadAcrossZones) {
        return job(
                jobId,
                cpus,
                memoryGb,
                taskCount,
                service,
                spreadAcrossZones,
                new LinkedHashMap<>());
    }

    /** A job of one task of one CPU, submitted now, with an estimated run time and a deadline. */
    public Job jobWithDeadline(String jobId, double runtimeS, double dueS) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("runtimeS", runtimeS);
        map.put("dueS", dueS);
        return job(jobId, 1, 1, 1, false, false, map);
    }

    /** A job of the given class with tasks of one CPU each. */
    public Job jobOfClass(String jobId, String jobClass, int taskCount, boolean service) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("jobclass", jobClass);
        return job(jobId, 1, 1, taskCount, service, false, map);
    }

    private Job job(
            String jobId,
            double cpus,
            double memoryGb,
            int taskCount,
            boolean service,
            boolean spreadAcrossZones,
            Map<String, Object> map) {
        map.put("uid", jobId);
        map.putIfAbsent("jobclass", "work");
        map.put("crew", "team");
        map.put("shape", service ? "service" : "batch");
        map.put("apart", spreadAcrossZones);
        map.put("rank", "high");
        map.put("shards", (long) taskCount);
        map.put("vcpus", cpus);
        map.put("ramGb", memoryGb);
        map.put("bundle", "img");
        try {
            JobRecord record = JobRecord.accepted(JobDescription.parse(map), 0);
            Job job =
                    new Job(
                            record,
                            1,
                            state.teams().get("team"),
                            state.nowMicros(),
                            state::markForPersistence);
            state.addJob(job);
            return job;
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    public List<SchedulerAction> actions() {
        return state.takeActions();
    }

    public TaskAttempt place(Reservations reservations, Job job, int index, Machine machine) {
        TaskAttempt attempt =
                new TaskAttempt(
                        job, index, machine, state.newAttemptNumber(), 1, state.nowMicros());
        reservations.allocateTo(attempt);
        job.addAttempt(attempt);
        return attempt;
    }

    /**
     * True if an entry of the event was logged with these fields since the actions were last taken;
     * takes them.
     */
    public boolean logged(LogEvent event, String... fields) {
        return actions().stream()
                .filter(SchedulerAction.Log.class::isInstance)
                .map(action -> ((SchedulerAction.Log) action).entry())
                .filter(entry -> entry.event() == event)
                .anyMatch(
                        entry ->
                                List.of(fields).stream()
                                        .allMatch(
                                                field ->
                                                        (entry + " ").contains(" " + field + " ")));
    }

    public void advance(long micros) {
        state.setTime(state.nowMicros() + micros, state.wallMicros());
    }

    public void setStoreLimits(int valueBytes, RecordFormat format) {
        state.setStoreLimits(
                new SchedulerEvent.StoreLimitsChanged(valueBytes, format, 0, false, false));
    }
}
