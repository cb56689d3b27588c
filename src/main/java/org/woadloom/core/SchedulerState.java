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
 * Everything that the scheduler knows in one term of leadership, and the actions of the step that
 * is under way. The collections that it hands out are read-only; they change by its own methods,
 * which keep what belongs together.
 */
public final class SchedulerState {
    /** An attempt number has the term in the bits above these, and a count in these. */
    private static final int ATTEMPT_BITS = 32;

    private final SchedulerSettings settings;
    private final long term;
    private final long termStartMicros;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Job> jobsView = Collections.unmodifiableMap(jobs);
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, Machine> machinesView = Collections.unmodifiableMap(machines);

    /** Machines to which there may be something to send; the others are skipped in every step. */
    private final Set<Machine> machinesWithPendingCommands = new LinkedHashSet<>();

    private final Set<Machine> machinesWithPendingCommandsView =
            Collections.unmodifiableSet(machinesWithPendingCommands);

    /** Machines whose record is out of date, or that are to be deleted. */
    private final Set<Machine> machinesToPersist = new LinkedHashSet<>();

    private final Set<Machine> machinesToPersistView =
            Collections.unmodifiableSet(machinesToPersist);

    /** Jobs whose record is out of date. */
    private final Set<Job> jobsToPersist = new LinkedHashSet<>();

    private final Set<Job> jobsToPersistView = Collections.unmodifiableSet(jobsToPersist);

    private final Map<String, TeamQuota> teams = new LinkedHashMap<>();
    private final Map<String, TeamQuota> teamsView = Collections.unmodifiableMap(teams);
    private final DemandEstimator demandEstimator = new DemandEstimator();
    private final DependencyGraph dependencies = new DependencyGraph(this);
    private final ServiceLevelReport serviceLevels;

    /** The largest value that the store takes. */
    private int maxValueBytes;

    private final LivenessTimeouts livenessTimeouts;

    /** Every token that a forgotten machine was given in this term has a lower fence than this. */
    private long minFence;

    private final DelegationTimeouts delegationTimeouts;
    private final DelegationLedger delegations;

    /** Every cancellation that was made before this moment has been read. */
    private long cancellationsReadUpToMicros = Long.MIN_VALUE;

    private final WriteBudget writeBudget = new WriteBudget();
    private RecordFormat recordFormat = RecordFormat.PLAIN;

    /**
     * Whether records of machines say when these were rented and whether they ever reported, and
     * since when that is so.
     */
    private boolean recordsMachineLifecycle;

    private long recordsMachineLifecycleSinceMicros;
    private final Map<String, MachineType> machineTypes = new LinkedHashMap<>();
    private final Map<String, MachineType> machineTypesView =
            Collections.unmodifiableMap(machineTypes);

    /** Zones in which the cloud lately refused every on-demand machine type. */
    private final Set<String> scarceZones = new HashSet<>();

    private final Set<String> scarceZonesView = Collections.unmodifiableSet(scarceZones);

    private long nowMicros;
    private long wallMicros;

    /** How many jobs have arrived, or were unblocked. */
    private long jobArrivalCount;

    /** Set when something changed that may let a task be placed. */
    private boolean placementRequested = true;

    private List<SchedulerAction> actions = new ArrayList<>();
    private long lastAttempt;
    private long lastCommandId;
    private long lastRequest;

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

    /** Adds an action to those of the step under way. */
    public void emit(SchedulerAction action) {
        actions.add(action);
    }

    /** Adds a line for the log to the actions of the step under way. */
    public void log(LogEntry entry) {
        actions.add(new SchedulerAction.Log(entry));
    }

    /** Moves to the time of a step. */
    void setTime(long now, long wall) {
        nowMicros = now;
        wallMicros = wall;
    }

    /** Follows what the store takes from now on, and the form of the records that it must fit. */
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

    /** Something changed that may let a task be placed: the next pass tries. */
    public void requestPlacement() {
        placementRequested = true;
    }

    void clearPlacementRequest() {
        placementRequested = false;
    }

    /** A job has arrived, or the last one that it depends on is done. */
    public void countJobArrival() {
        jobArrivalCount++;
    }

    /** Every cancellation that was made before the given moment has been read. */
    public void advanceCancellationsReadUpTo(long micros) {
        cancellationsReadUpToMicros = Math.max(cancellationsReadUpToMicros, micros);
    }

    /** Hands over the actions of the step, and starts with none again. */
    List<SchedulerAction> takeActions() {
        List<SchedulerAction> current = actions;
        actions = new ArrayList<>();
        return current;
    }

    /** An attempt number that no leader has used or will use: the term is taken once only. */
    public long newAttemptNumber() {
        return (term << ATTEMPT_BITS) + ++lastAttempt;
    }

    /** An id for a direct command that no other of this term has. */
    public long newCommandId() {
        return ++lastCommandId;
    }

    /** A rental request's name, which must never be used again by any node. */
    public String newRequestName() {
        return "r-" + term + "-" + ++lastRequest;
    }

    /** What the deployment settles. */
    public SchedulerSettings settings() {
        return settings;
    }

    /** The term in which this node leads. */
    public long term() {
        return term;
    }

    /** When this node took the term, by the monotonic clock. */
    public long termStartMicros() {
        return termStartMicros;
    }

    /** All jobs of the term by id, in the order in which they came; read-only. */
    public Map<String, Job> jobs() {
        return jobsView;
    }

    /** Adds a job under its id. */
    public void addJob(Job job) {
        jobs.put(job.jobId(), job);
    }

    /** Removes a job that is over, of which no attempt is left. */
    public void removeJob(Job job) {
        jobs.remove(job.jobId());
    }

    /** All machines of the term by name, in the order in which they were first seen; read-only. */
    public Map<String, Machine> machines() {
        return machinesView;
    }

    /** Adds a machine under its name. */
    public void addMachine(Machine machine) {
        machines.put(machine.host, machine);
    }

    /**
     * Forgets the machines for which the condition holds, and raises the lowest fence above theirs:
     * a machine that comes back under a forgotten name takes no token of before.
     */
    public void forgetMachinesIf(Predicate<Machine> condition) {
        machines.values()
                .removeIf(
                        machine -> {
                            boolean forgotten = condition.test(machine);
                            if (forgotten) {
                                minFence = Math.max(minFence, machine.liveness.fence() + 1);
                                machinesWithPendingCommands.remove(machine);
                            }
                            return forgotten;
                        });
    }

    /**
     * Machines to which there may be something to send: the others are passed over in every step.
     */
    public Set<Machine> machinesWithPendingCommands() {
        return machinesWithPendingCommandsView;
    }

    /** There may be something to send to the machine's agent. */
    public void markPendingCommands(Machine machine) {
        machinesWithPendingCommands.add(machine);
    }

    /** Nothing is left to send to the machine's agent. */
    public void clearPendingCommands(Machine machine) {
        machinesWithPendingCommands.remove(machine);
    }

    /** Machines whose record is out of date, or that are to be deleted; read-only. */
    public Set<Machine> machinesToPersist() {
        return machinesToPersistView;
    }

    /** There may be something to write of the machine, or it is to be deleted. */
    public void markForPersistence(Machine machine) {
        machinesToPersist.add(machine);
    }

    /** Takes the machines for which the condition holds off those to be persisted. */
    public void removeMachinesToPersistIf(Predicate<Machine> condition) {
        machinesToPersist.removeIf(condition);
    }

    /** Jobs whose record is out of date; read-only. */
    public Set<Job> jobsToPersist() {
        return jobsToPersistView;
    }

    /** There may be something to write of the job. */
    public void markForPersistence(Job job) {
        jobsToPersist.add(job);
    }

    /** Takes the jobs for which the condition holds off those to be persisted. */
    public void removeJobsToPersistIf(Predicate<Job> condition) {
        jobsToPersist.removeIf(condition);
    }

    /** The quotas of the teams that the settings name, by team; read-only. */
    public Map<String, TeamQuota> teams() {
        return teamsView;
    }

    /** What jobs will ask for next, by those that have come. */
    public DemandEstimator demandEstimator() {
        return demandEstimator;
    }

    /** Which jobs wait for which. */
    public DependencyGraph dependencies() {
        return dependencies;
    }

    /** How the jobs of this term are served. */
    public ServiceLevelReport serviceLevels() {
        return serviceLevels;
    }

    /** The largest value that the store takes. */
    public int maxValueBytes() {
        return maxValueBytes;
    }

    /** After how long without a heartbeat a machine counts as silent or lost. */
    public LivenessTimeouts livenessTimeouts() {
        return livenessTimeouts;
    }

    /**
     * The lowest fence for a machine that is not known: every token that a forgotten machine was
     * given in this term has a lower one.
     */
    public long minFence() {
        return minFence;
    }

    /** The bounds within which nodes may renew leases for the leader. */
    public DelegationTimeouts delegationTimeouts() {
        return delegationTimeouts;
    }

    /** Until when each node may have renewed leases for the leader. */
    public DelegationLedger delegations() {
        return delegations;
    }

    /** Every cancellation that was made before this moment has been read. */
    public long cancellationsReadUpToMicros() {
        return cancellationsReadUpToMicros;
    }

    /** How many writes to the store may still be asked for. */
    public WriteBudget writeBudget() {
        return writeBudget;
    }

    /** The form in which records are written. */
    public RecordFormat recordFormat() {
        return recordFormat;
    }

    /** Whether records of machines say when these were rented and whether they ever reported. */
    public boolean recordsMachineLifecycle() {
        return recordsMachineLifecycle;
    }

    /** Since when {@link #recordsMachineLifecycle()} has been as it is. */
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

    /** Zones in which the cloud lately refused every on-demand machine type; read-only. */
    public Set<String> scarceZones() {
        return scarceZonesView;
    }

    /** Replaces the scarce zones. */
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

    /** How many jobs have arrived, or were unblocked. */
    public long jobArrivalCount() {
        return jobArrivalCount;
    }

    /** Set when something changed that may let a task be placed. */
    public boolean isPlacementRequested() {
        return placementRequested;
    }
}
