package org.woadloom.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.woadloom.core.delegation.DelegationLedger;
import org.woadloom.core.delegation.DelegationTimeouts;
import org.woadloom.core.jobs.DemandEstimator;
import org.woadloom.core.jobs.DependencyGraph;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.liveness.LivenessTimeouts;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.quota.TeamQuota;
import org.woadloom.core.slo.ServiceLevelReport;
import org.woadloom.protocol.MachineType;
import org.woadloom.settings.Team;
import org.woadloom.store.RecordFormat;

/**
 * All state of the scheduler in one term of leadership, and the actions emitted in the current
 * step. The collections it returns are read-only views; they change only through its methods, which
 * keep them consistent with each other.
 */
public final class SchedulerState {
    /** The number of low bits of an attempt number that hold a counter; the term is above them. */
    private static final int ATTEMPT_COUNTER_BITS = 32;

    private final SchedulerSettings settings;
    private final long term;
    private final long termStartMicros;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Job> jobsView = Collections.unmodifiableMap(jobs);
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, Machine> machinesView = Collections.unmodifiableMap(machines);

    private final Set<Machine> machinesWithPendingCommands = new LinkedHashSet<>();

    private final Set<Machine> machinesWithPendingCommandsView =
            Collections.unmodifiableSet(machinesWithPendingCommands);

    private final Set<Machine> machinesToPersist = new LinkedHashSet<>();

    private final Set<Machine> machinesToPersistView =
            Collections.unmodifiableSet(machinesToPersist);

    private final Set<Job> jobsToPersist = new LinkedHashSet<>();

    private final Set<Job> jobsToPersistView = Collections.unmodifiableSet(jobsToPersist);

    private final Map<String, TeamQuota> teams = new LinkedHashMap<>();
    private final Map<String, TeamQuota> teamsView = Collections.unmodifiableMap(teams);
    private final DemandEstimator demandEstimator = new DemandEstimator();
    private final DependencyGraph dependencies = new DependencyGraph(this);
    private final ServiceLevelReport serviceLevels;

    private int maxValueBytes;

    private final LivenessTimeouts livenessTimeouts;

    private long minFence;

    private final DelegationTimeouts delegationTimeouts;
    private final DelegationLedger delegations;

    private long cancellationsReadUpToMicros = Long.MIN_VALUE;

    private final WriteBudget writeBudget = new WriteBudget();
    private RecordFormat recordFormat = RecordFormat.PLAIN;

    private boolean recordsMachineLifecycle;

    private long recordsMachineLifecycleSinceMicros;
    private final Map<String, MachineType> machineTypes = new LinkedHashMap<>();
    private final Map<String, MachineType> machineTypesView =
            Collections.unmodifiableMap(machineTypes);

    private final Set<String> scarceZones = new HashSet<>();

    private final Set<String> scarceZonesView = Collections.unmodifiableSet(scarceZones);

    private long nowMicros;
    private long wallMicros;

    private long jobArrivalCount;

    private boolean placementRequested = true;

    private List<SchedulerAction> actions = new ArrayList<>();
    private long lastAttemptCounter;
    private long lastCommandId;
    private long lastRequestNumber;

    SchedulerState(SchedulerSettings settings, long term, long nowMicros, long wallMicros) {
        this.settings = settings;
        this.term = term;
        this.termStartMicros = nowMicros;
        this.nowMicros = nowMicros;
        this.wallMicros = wallMicros;
        livenessTimeouts =
                LivenessTimeouts.of(
                        settings.heartbeatIntervalMicros(), settings.leaseDurationMicros());
        delegationTimeouts =
                DelegationTimeouts.of(
                        settings.leaseDurationMicros(), settings.cancellationTimeoutMicros());
        delegations =
                new DelegationLedger(
                        delegationTimeouts, term, settings.nodeName(), settings.zoneByNode());
        serviceLevels = new ServiceLevelReport(this);
        for (Team team : settings.teams()) {
            teams.put(team.name(), new TeamQuota(team));
        }
    }

    /** Adds an action to those of the current step. */
    public void emit(SchedulerAction action) {
        actions.add(action);
    }

    /** Adds a log line to the actions of the current step. */
    public void log(LogEntry entry) {
        actions.add(new SchedulerAction.Log(entry));
    }

    /** Sets the time of the current step. */
    void setTime(long now, long wall) {
        nowMicros = now;
        wallMicros = wall;
    }

    /** Adopts changed store limits and record formats. */
    void setStoreLimits(SchedulerEvent.StoreLimitsChanged limits) {
        maxValueBytes = limits.maxValueBytes();
        recordFormat = limits.recordFormat();
        writeBudget.setRate(limits.writesPerSecond());
        if (limits.recordsMachineLifecycle() != recordsMachineLifecycle) {
            recordsMachineLifecycle = limits.recordsMachineLifecycle();
            recordsMachineLifecycleSinceMicros = nowMicros;
        }
        if (limits.delegationEnabled()) {
            delegations.enable();
        }
        requestPlacement();
    }

    /** Has the next pass try to place tasks, because a change may have made that possible. */
    public void requestPlacement() {
        placementRequested = true;
    }

    void clearPlacementRequest() {
        placementRequested = false;
    }

    /** Counts a job that has arrived or was unblocked by its last dependency. */
    public void countJobArrival() {
        jobArrivalCount++;
    }

    /** Notes that every cancellation stored before the given time has been read. */
    public void advanceCancellationsReadUpTo(long micros) {
        cancellationsReadUpToMicros = Math.max(cancellationsReadUpToMicros, micros);
    }

    /** Returns the actions emitted since the last call and clears them. */
    List<SchedulerAction> takeActions() {
        List<SchedulerAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    /** Returns an attempt number that no other leader uses: each term has only one leader. */
    public long newAttemptNumber() {
        return (term << ATTEMPT_COUNTER_BITS) + ++lastAttemptCounter;
    }

    /** Returns an id for a direct command that is unique within this term. */
    public long newCommandId() {
        return ++lastCommandId;
    }

    /** Returns a name for a rental request that no node has used or will use. */
    public String newRequestName() {
        return "r-" + term + "-" + ++lastRequestNumber;
    }

    public SchedulerSettings settings() {
        return settings;
    }

    /** The term in which this node is the leader. */
    public long term() {
        return term;
    }

    /** When this node became the leader, by the monotonic clock. */
    public long termStartMicros() {
        return termStartMicros;
    }

    /** All jobs of the term by id, in order of arrival; read-only. */
    public Map<String, Job> jobs() {
        return jobsView;
    }

    public void addJob(Job job) {
        jobs.put(job.jobId(), job);
    }

    /** Removes a job that is over and has no attempts left. */
    public void removeJob(Job job) {
        jobs.remove(job.jobId());
    }

    /**
     * All machines of the term by host name, in the order in which they were first seen; read-only.
     */
    public Map<String, Machine> machines() {
        return machinesView;
    }

    public void addMachine(Machine machine) {
        machines.put(machine.host, machine);
    }

    /**
     * Removes the machines that match and raises {@link #minFence()} above their fences, so that a
     * machine that returns under a removed name is not given a token that was issued before.
     */
    public void forgetMachinesIf(Predicate<Machine> condition) {
        machines.values()
                .removeIf(
                        machine -> {
                            boolean matches = condition.test(machine);
                            if (matches) {
                                minFence = Math.max(minFence, machine.liveness.fence() + 1);
                                machinesWithPendingCommands.remove(machine);
                            }
                            return matches;
                        });
    }

    /**
     * Machines to which there may be something to send; read-only. A step looks only at these, not
     * at all machines.
     */
    public Set<Machine> machinesWithPendingCommands() {
        return machinesWithPendingCommandsView;
    }

    /** Notes that there may be something to send to the machine's agent. */
    public void markPendingCommands(Machine machine) {
        machinesWithPendingCommands.add(machine);
    }

    /** Notes that nothing is left to send to the machine's agent. */
    public void clearPendingCommands(Machine machine) {
        machinesWithPendingCommands.remove(machine);
    }

    /** Machines whose record may be out of date, or that are to be deleted; read-only. */
    public Set<Machine> machinesToPersist() {
        return machinesToPersistView;
    }

    /** Notes that the machine's record may be out of date, or that the machine is to be deleted. */
    public void markForPersistence(Machine machine) {
        machinesToPersist.add(machine);
    }

    /** Removes the machines that match from {@link #machinesToPersist()}. */
    public void removeMachinesToPersistIf(Predicate<Machine> condition) {
        machinesToPersist.removeIf(condition);
    }

    /** Jobs whose record may be out of date; read-only. */
    public Set<Job> jobsToPersist() {
        return jobsToPersistView;
    }

    /** Notes that the job's record may be out of date. */
    public void markForPersistence(Job job) {
        jobsToPersist.add(job);
    }

    /** Removes the jobs that match from {@link #jobsToPersist()}. */
    public void removeJobsToPersistIf(Predicate<Job> condition) {
        jobsToPersist.removeIf(condition);
    }

    /** The quotas of the teams in the settings, by team name; read-only. */
    public Map<String, TeamQuota> teams() {
        return teamsView;
    }

    /** Estimates the resources that future jobs will request, from those that have arrived. */
    public DemandEstimator demandEstimator() {
        return demandEstimator;
    }

    /** The dependencies between jobs. */
    public DependencyGraph dependencies() {
        return dependencies;
    }

    /** The service level report on the jobs of this term. */
    public ServiceLevelReport serviceLevels() {
        return serviceLevels;
    }

    /** The largest value that the store accepts. */
    public int maxValueBytes() {
        return maxValueBytes;
    }

    /** How long a machine may go without a heartbeat before it counts as silent or as lost. */
    public LivenessTimeouts livenessTimeouts() {
        return livenessTimeouts;
    }

    /**
     * The fence to start with for a new machine: higher than that of every token that was issued in
     * this term to a machine since removed.
     */
    public long minFence() {
        return minFence;
    }

    /** How long nodes may renew leases for the leader. */
    public DelegationTimeouts delegationTimeouts() {
        return delegationTimeouts;
    }

    /** Tracks until when each node may have renewed leases for the leader. */
    public DelegationLedger delegations() {
        return delegations;
    }

    /** Every cancellation that was stored before this time has been read. */
    public long cancellationsReadUpToMicros() {
        return cancellationsReadUpToMicros;
    }

    /** Limits the rate of writes to the store. */
    public WriteBudget writeBudget() {
        return writeBudget;
    }

    /** The format in which job records are written. */
    public RecordFormat recordFormat() {
        return recordFormat;
    }

    /**
     * Whether machine records include when the machine was rented and whether it ever sent a
     * heartbeat.
     */
    public boolean recordsMachineLifecycle() {
        return recordsMachineLifecycle;
    }

    /** When {@link #recordsMachineLifecycle()} last changed. */
    public long recordsMachineLifecycleSinceMicros() {
        return recordsMachineLifecycleSinceMicros;
    }

    /** The machine types that the cloud offers, by name; read-only. */
    public Map<String, MachineType> machineTypes() {
        return machineTypesView;
    }

    /** Adds a machine type, or replaces the one of the same name. */
    public void addMachineType(MachineType type) {
        machineTypes.put(type.name(), type);
    }

    /** Zones in which the cloud recently refused every on-demand machine type; read-only. */
    public Set<String> scarceZones() {
        return scarceZonesView;
    }

    public void setScarceZones(Set<String> zones) {
        scarceZones.clear();
        scarceZones.addAll(zones);
    }

    /** The time of this step by the monotonic clock. */
    public long nowMicros() {
        return nowMicros;
    }

    /** The time of this step since 1970. */
    public long wallMicros() {
        return wallMicros;
    }

    /** How many jobs have arrived or were unblocked in this term. */
    public long jobArrivalCount() {
        return jobArrivalCount;
    }

    /** Whether something changed that may allow a task to be placed. */
    public boolean isPlacementRequested() {
        return placementRequested;
    }
}
