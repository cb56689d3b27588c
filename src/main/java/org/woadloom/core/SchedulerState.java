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
    public final SchedulerSettings settings;
    public final long term;
    public final long startedMicros;
    public final Map<String, Job> jobs = new LinkedHashMap<>();
    public final Map<String, Machine> machines = new LinkedHashMap<>();

    /**
     * Machines to which there may be something to send: the others are passed over in every step.
     */
    public final Set<Machine> machinesWithPendingCommands = new LinkedHashSet<>();

    /** Machines whose record is not as it should be, or that are to go. */
    public final Set<Machine> machinesToPersist = new LinkedHashSet<>();

    /** Jobs whose record does not say everything. */
    public final Set<Job> jobsToPersist = new LinkedHashSet<>();

    public final Map<String, TeamQuota> teams = new LinkedHashMap<>();
    public final DemandEstimator demand = new DemandEstimator();
    public final DependencyGraph dependencies = new DependencyGraph(this);
    public final ServiceLevelReport serviceLevels;

    /**
     * The largest value that the state service takes, and the format of the records that must fit.
     */
    public int valueBytes;

    public final LivenessTimeouts livenessTimeouts;

    /**
     * No machine of this term that is forgotten was ever given a token with this fence or a higher
     * one.
     */
    public long minFence;

    public final DelegationTimeouts delegationTimeouts;
    public final DelegationLedger delegations;

    /** Every cancellation that was made before this moment has been seen. */
    public long cancellationsReadUpToMicros = Long.MIN_VALUE;

    public final WriteBudget writeBudget = new WriteBudget();
    public RecordFormat format;

    /** Whether records of machines tell of their lives, and since when it is so. */
    public boolean recordsMachineLifecycle;

    public long recordsMachineLifecycleSinceMicros;
    public final Map<String, MachineType> machineTypes = new LinkedHashMap<>();

    /** Zones in which no machine of the ordinary kinds was to be had lately. */
    public final Set<String> scarceZones = new HashSet<>();

    public long nowMicros;
    public long wallMicros;

    /** How many jobs have come, or begun after those before them. */
    public long jobArrivals;

    /** Set when something changed that may let a task be placed. */
    public boolean placementNeeded = true;

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
}
