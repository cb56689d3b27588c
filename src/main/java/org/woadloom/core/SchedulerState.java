package org.woadloom.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

/** Everything one term of leadership knows, and the effects of the step that is under way. */
public final class SchedulerState {
    private final SchedulerSettings settings;
    private final long term;
    private final long startedMicros;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();

    /**
     * Machines to which there may be something to send: the others are passed over in every step.
     */
    private final Set<Machine> machinesWithPendingCommands = new LinkedHashSet<>();

    /** Machines whose record is not as it should be, or that are to go. */
    private final Set<Machine> machinesToPersist = new LinkedHashSet<>();

    /** Jobs whose record does not say everything. */
    private final Set<Job> jobsToPersist = new LinkedHashSet<>();

    private final Map<String, TeamQuota> teams = new LinkedHashMap<>();
    private final DemandEstimator demand = new DemandEstimator();
    private final DependencyGraph dependencies = new DependencyGraph(this);
    private final ServiceLevelReport serviceLevels;

    /**
     * The largest value that the state service takes, and the format of the records that must fit.
     */
    private int valueBytes;

    private final LivenessTimeouts livenessTimeouts;

    /**
     * No machine of this term that is forgotten was ever given a token with this fence or a higher
     * one.
     */
    private long minFence;

    private final DelegationTimeouts delegationTimeouts;
    private final DelegationLedger delegations;

    /** Every cancellation that was made before this moment has been seen. */
    private long cancellationsReadUpToMicros = Long.MIN_VALUE;

    private final WriteBudget writeBudget = new WriteBudget();
    private RecordFormat format;

    /** Whether records of machines tell of their lives, and since when it is so. */
    private boolean recordsMachineLifecycle;

    private long recordsMachineLifecycleSinceMicros;
    private final Map<String, MachineType> machineTypes = new LinkedHashMap<>();

    /** Zones in which no machine of the ordinary kinds was to be had lately. */
    private final Set<String> scarceZones = new HashSet<>();

    private long nowMicros;
    private long wallMicros;

    /** How many jobs have come, or begun after those before them. */
    private long jobArrivals;

    /** Set when something changed that may let a task be placed. */
    private boolean placementNeeded = true;

    private List<SchedulerAction> actions = new ArrayList<>();
    private long attempts;
    private long commandIds;
    private long requestNames;

    SchedulerState(
            SchedulerSettings settings,
            int valueBytes,
            RecordFormat format,
            long term,
            long nowMicros,
            long wallMicros) {
        this.valueBytes = valueBytes;
        this.format = format;
        this.settings = settings;
        this.term = term;
        this.startedMicros = nowMicros;
        this.nowMicros = nowMicros;
        this.wallMicros = wallMicros;
        livenessTimeouts = LivenessTimeouts.of(settings.heartbeatMicros(), settings.leaseMicros());
        delegationTimeouts = DelegationTimeouts.of(settings.leaseMicros(), settings.cancelMicros());
        delegations =
                new DelegationLedger(delegationTimeouts, term, settings.label(), settings.nodes());
        serviceLevels = new ServiceLevelReport(this);
        for (Team team : settings.teams()) {
            teams.put(team.name(), new TeamQuota(team));
        }
    }

    void recordsMachineLifecycle(boolean told, long now) {
        if (told != recordsMachineLifecycle) {
            recordsMachineLifecycle = told;
            recordsMachineLifecycleSinceMicros = now;
        }
    }

    public void emit(SchedulerAction action) {
        actions.add(action);
    }

    public void log(LogEntry entry) {
        actions.add(new SchedulerAction.Log(entry));
    }

    /** Moves to the time of a step. */
    void setTime(long now, long wall) {
        nowMicros = now;
        wallMicros = wall;
    }

    /** What the store takes from now on, and the form of records that must fit. */
    void setRecordLimits(int maxValueBytes, RecordFormat newFormat) {
        valueBytes = maxValueBytes;
        format = newFormat;
    }

    /** Something changed that may let a task be placed: the next pass looks for it. */
    public void requestPlacement() {
        placementNeeded = true;
    }

    void clearPlacementRequest() {
        placementNeeded = false;
    }

    /** A job has come, or has started after those that it depended on. */
    public void countJobArrival() {
        jobArrivals++;
    }

    /** Every cancellation that was made before the given moment has been read. */
    public void advanceCancellationsReadUpTo(long micros) {
        cancellationsReadUpToMicros = Math.max(cancellationsReadUpToMicros, micros);
    }

    /** A machine that is forgotten may have been given any token below this fence. */
    public void raiseMinFence(long fence) {
        minFence = Math.max(minFence, fence);
    }

    List<SchedulerAction> takeActions() {
        List<SchedulerAction> current = actions;
        actions = new ArrayList<>();
        return current;
    }

    /** An attempt number that no leader has used or will use: the term is taken once only. */
    public long newAttempt() {
        return (term << 32) + ++attempts;
    }

    public long newCommandId() {
        return ++commandIds;
    }

    /** A rental request's name, which must never be used again by any node. */
    public String newRequestName() {
        return "r-" + term + "-" + ++requestNames;
    }

    public SchedulerSettings settings() {
        return settings;
    }

    public long term() {
        return term;
    }

    public long startedMicros() {
        return startedMicros;
    }

    public Map<String, Job> jobs() {
        return jobs;
    }

    public Map<String, Machine> machines() {
        return machines;
    }

    /**
     * Machines to which there may be something to send: the others are passed over in every step.
     */
    public Set<Machine> machinesWithPendingCommands() {
        return machinesWithPendingCommands;
    }

    /** Machines whose record is not as it should be, or that are to go. */
    public Set<Machine> machinesToPersist() {
        return machinesToPersist;
    }

    /** Jobs whose record does not say everything. */
    public Set<Job> jobsToPersist() {
        return jobsToPersist;
    }

    public Map<String, TeamQuota> teams() {
        return teams;
    }

    public DemandEstimator demand() {
        return demand;
    }

    public DependencyGraph dependencies() {
        return dependencies;
    }

    public ServiceLevelReport serviceLevels() {
        return serviceLevels;
    }

    /**
     * The largest value that the state service takes, and the format of the records that must fit.
     */
    public int valueBytes() {
        return valueBytes;
    }

    public LivenessTimeouts livenessTimeouts() {
        return livenessTimeouts;
    }

    /**
     * No machine of this term that is forgotten was ever given a token with this fence or a higher
     * one.
     */
    public long minFence() {
        return minFence;
    }

    public DelegationTimeouts delegationTimeouts() {
        return delegationTimeouts;
    }

    public DelegationLedger delegations() {
        return delegations;
    }

    /** Every cancellation that was made before this moment has been seen. */
    public long cancellationsReadUpToMicros() {
        return cancellationsReadUpToMicros;
    }

    public WriteBudget writeBudget() {
        return writeBudget;
    }

    public RecordFormat format() {
        return format;
    }

    /** Whether records of machines tell of their lives, and since when it is so. */
    public boolean recordsMachineLifecycle() {
        return recordsMachineLifecycle;
    }

    public long recordsMachineLifecycleSinceMicros() {
        return recordsMachineLifecycleSinceMicros;
    }

    public Map<String, MachineType> machineTypes() {
        return machineTypes;
    }

    /** Zones in which no machine of the ordinary kinds was to be had lately. */
    public Set<String> scarceZones() {
        return scarceZones;
    }

    public long nowMicros() {
        return nowMicros;
    }

    public long wallMicros() {
        return wallMicros;
    }

    /** How many jobs have come, or begun after those before them. */
    public long jobArrivals() {
        return jobArrivals;
    }

    /** Set when something changed that may let a task be placed. */
    public boolean isPlacementNeeded() {
        return placementNeeded;
    }
}
