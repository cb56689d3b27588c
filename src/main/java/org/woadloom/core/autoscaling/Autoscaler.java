package org.woadloom.core.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.machines.MachineRegistry;
import org.woadloom.core.placement.PlacementConstraints;
import org.woadloom.core.placement.Resources;
import org.woadloom.core.placement.TaskPlacer;
import org.woadloom.core.quota.TeamQuota;
import org.woadloom.core.reservation.Reservations;
import org.woadloom.protocol.ListedMachine;
import org.woadloom.protocol.MachineType;
import org.woadloom.store.MachineRecord;

/** Rents machines for work that finds no room, and returns those that are idle. */
public final class Autoscaler {
    /** Machines of one claim: the cloud's bound. */
    private static final int MAX_MACHINES_PER_REQUEST = 50;

    /**
     * Claims under way; the cloud's rate of calls is below what they would allow, whatever the
     * fleet.
     */
    private static final int MAX_CONCURRENT_REQUESTS = 4;

    private static final long REVIEW_MICROS = 500_000;
    private static final long NO_CAPACITY_MICROS = 15_000_000;

    /** The cloud charges a machine for this long at least, so it may as well stay. */
    private static final long MIN_CHARGE_MICROS = 55_000_000;

    private static final long SCARCE_MICROS = 60_000_000;
    private static final long SILENCE_MARGIN_MICROS = 1_000_000;
    private static final long LIST_MARGIN_MICROS = 1_000_000;
    private static final long REPEAT_MICROS = 1_500_000;

    /** A claim is answered within such a time unless the cloud is down. */
    private static final long ANSWER_MICROS = 3_000_000;

    /**
     * For how long a deaf machine is kept beyond the end of its lease, and where many are deaf at
     * once.
     */
    private static final long UNREACHABLE_MICROS = 10_000_000;

    private static final long MANY_UNREACHABLE_MICROS = 60_000_000;

    /**
     * For how much longer silent machines of a dark zone are kept: to replace them costs a minute's
     * charge, a boot and fetches.
     */
    private static final long PARTITIONED_MICROS = 50_000_000;

    private final SchedulerState state;
    private final PlacementConstraints constraints;
    private final TaskPlacer placer;
    private final MachineRegistry machines;
    private final Reservations reservations;
    private final Map<String, ScaleOutRequest> requests = new LinkedHashMap<>();
    private final Map<MachineKind, Long> notBefore = new LinkedHashMap<>();
    private final Map<MachineKind, Long> lastRefusedMicros = new HashMap<>();
    private final PartitionedZones partitionedZones;
    private long reviewedMicros = Long.MIN_VALUE / 2;

    /** When each machine was last in the list, and when the last list came. */
    private final Map<String, Long> lastListedMicros = new HashMap<>();

    private long lastListMicros = Long.MIN_VALUE / 2;

    /** What can be rented. */
    private record MachineKind(MachineType type, String zone, boolean spot) {
        double price() {
            return spot ? type.spotPrice() : type.onDemandPrice();
        }
    }

    private static final class ScaleOutRequest {
        final String name;
        final MachineKind kind;
        final int count;
        final long createdMicros;
        boolean sent;
        long retryAtMicros;

        ScaleOutRequest(String name, MachineKind kind, int count, long madeMicros) {
            this.name = name;
            this.kind = kind;
            this.count = count;
            this.createdMicros = madeMicros;
        }
    }

    /** Room that will be there, or is, for the rest of this review. */
    private static final class Supply {
        final MachineKind kind;
        Resources free;

        Supply(MachineKind kind, Resources free) {
            this.kind = kind;
            this.free = free;
        }
    }

    public Autoscaler(
            SchedulerState state,
            PlacementConstraints constraints,
            TaskPlacer placer,
            MachineRegistry machines,
            Reservations reservations) {
        this.state = state;
        this.constraints = constraints;
        this.placer = placer;
        this.machines = machines;
        this.reservations = reservations;
        partitionedZones = new PartitionedZones(state, this::isMissingFromList);
    }

    public void review() {
        for (ScaleOutRequest request : requests.values()) {
            if (!request.sent && state.nowMicros() >= request.retryAtMicros) {
                request.sent = true;
                state.emit(
                        new SchedulerAction.RentMachines(
                                request.name,
                                request.kind.type.name(),
                                request.kind.zone,
                                request.kind.spot,
                                request.count));
            }
        }
        if (state.nowMicros() - reviewedMicros < REVIEW_MICROS || state.machineTypes().isEmpty()) {
            return;
        }
        reviewedMicros = state.nowMicros();
        updateScarceZones();
        partitionedZones.review();
        if (state.nowMicros() - state.startedMicros() > 2 * state.settings().heartbeatMicros()) {
            scaleOut(placer.queue());
        }
        scaleIn();
    }

    public void onMachinesListed(List<ListedMachine> machines) {
        lastListMicros = state.nowMicros();
        machines.forEach(machine -> lastListedMicros.put(machine.host(), lastListMicros));
        lastListedMicros.keySet().retainAll(state.machines().keySet());
    }

    /**
     * True where the last list lacks a machine that it would show if it were there: lists are up to
     * two lags old, and one that was listed once is listed until it is gone. That is no proof that
     * its tasks are gone; its deletion is. One that was never up may only be new to a list that is
     * slower still.
     */
    private boolean isMissingFromList(Machine machine) {
        long there = Math.max(machine.rentedMicros(), state.startedMicros());
        return (machine.isKnownAlive() || machine.isReportedRecorded())
                && lastListMicros - lastListedMicros.getOrDefault(machine.host, there)
                        > 2 * state.settings().listLagMicros() + LIST_MARGIN_MICROS;
    }

    private void scaleOut(List<Job> queue) {
        List<Supply> supply = new ArrayList<>();
        for (Machine machine : state.machines().values()) {
            // A machine that boots, or whose worker has not yet acknowledged this leader, or will
            // most likely hear again.
            if (!machine.isDecommissioning()
                    && !machine.isDeleted()
                    && machine.type() != null
                    && machine.spotTerminationMicros() < 0
                    && machine.isConfirmed()
                    && !partitionedZones.isPartitioned(machine.zone)
                    && isExpected(machine)) {
                supply.add(
                        new Supply(
                                new MachineKind(machine.type(), machine.zone, machine.spot),
                                machine.free()));
            }
        }
        for (ScaleOutRequest request : requests.values()) {
            for (int i = 0; i < request.count; i++) {
                supply.add(new Supply(request.kind, Resources.of(request.kind.type)));
            }
        }
        Map<MachineKind, Integer> wanted = new LinkedHashMap<>();
        // What machines are sought for here counts against the team's limit, or each of its jobs
        // would ask for all that is left.
        Map<TeamQuota, Resources> planned = new HashMap<>();
        for (Job job : queue) {
            Resources plannedBefore = planned.getOrDefault(job.team, Resources.NONE);
            int tasks =
                    Math.min(
                            job.pendingTasks() - reservations.expectedTasks(job),
                            job.allowedTasks(Resources.NONE.minus(plannedBefore)));
            if (tasks <= 0) {
                continue;
            }
            planned.put(job.team, plannedBefore.plus(job.taskResources.times(tasks)));
            Map<String, Integer> spread = new LinkedHashMap<>();
            for (Supply s : supply) {
                if (tasks <= 0) {
                    break;
                }
                if (s.free.contains(job.taskResources) && isUsable(job, s.kind)) {
                    int fits =
                            Math.min(
                                    Math.min(tasks, s.free.count(job.taskResources)),
                                    tasksLeftInZone(job, s.kind.zone, spread));
                    s.free = s.free.minus(job.taskResources.times(fits));
                    spread.merge(s.kind.zone, fits, Integer::sum);
                    tasks -= fits;
                }
            }
            while (tasks > 0) {
                MachineKind kind = cheapest(job, tasks, spread);
                if (kind == null) {
                    break;
                }
                Resources room = Resources.of(kind.type);
                wanted.merge(kind, 1, Integer::sum);
                int fits =
                        Math.min(
                                Math.min(tasks, room.count(job.taskResources)),
                                tasksLeftInZone(job, kind.zone, spread));
                supply.add(new Supply(kind, room.minus(job.taskResources.times(fits))));
                spread.merge(kind.zone, fits, Integer::sum);
                tasks -= fits;
            }
        }
        for (Map.Entry<MachineKind, Integer> entry : wanted.entrySet()) {
            if (requests.size() >= MAX_CONCURRENT_REQUESTS) {
                break;
            }
            if (requestFor(entry.getKey()) != null) {
                // Its answer tells whether there are more of these; to ask again before would waste
                // one of few calls.
                continue;
            }
            ScaleOutRequest request =
                    new ScaleOutRequest(
                            state.newRequestName(),
                            entry.getKey(),
                            Math.min(MAX_MACHINES_PER_REQUEST, entry.getValue()),
                            state.nowMicros());
            requests.put(request.name, request);
            request.sent = true;
            state.log(
                    LogEntry.info(LogEvent.SCALE_OUT_REQUESTED)
                            .with("request", request.name)
                            .with("count", request.count)
                            .with("type", request.kind.type.name())
                            .with("zone", request.kind.zone)
                            .with("spot", request.kind.spot));
            state.emit(
                    new SchedulerAction.RentMachines(
                            request.name,
                            request.kind.type.name(),
                            request.kind.zone,
                            request.kind.spot,
                            request.count));
        }
    }

    private boolean isExpected(Machine machine) {
        if (!machine.isKnownAlive()
                && (machine.isReportedRecorded()
                                && silentForMicros(machine)
                                        > state.delegationTimeouts().leaseExpiryMicros()
                        || isMissingFromList(machine))) {
            // It was up under an earlier leader, and its worker would have found this one by now.
            return false;
        }
        if (!machine.isKnownAlive() || !machine.isRecorded() || !machine.hasAcknowledgedTerm()) {
            return !isUnreachableBeyondLease(machine, 0);
        }
        return machine.liveness.isSuspect(state.nowMicros())
                && machine.liveness.isReporting(state.nowMicros())
                && !isUnreachableBeyondLease(machine, 0);
    }

    private ScaleOutRequest requestFor(MachineKind kind) {
        for (ScaleOutRequest request : requests.values()) {
            if (request.kind.equals(kind)) {
                return request;
            }
        }
        return null;
    }

    /** What the cloud refused lately, or does not answer for: it is not to be waited for. */
    private boolean isUnavailable(MachineKind kind) {
        ScaleOutRequest request = requestFor(kind);
        return notBefore.getOrDefault(kind, Long.MIN_VALUE) > state.nowMicros()
                || partitionedZones.isPartitioned(kind.zone)
                || request != null && state.nowMicros() - request.createdMicros > ANSWER_MICROS;
    }

    /**
     * A zone is scarce where every ordinary kind was refused lately: what is there is for work that
     * has no choice.
     */
    private void updateScarceZones() {
        Set<String> scarce = new HashSet<>();
        Set<String> open = new HashSet<>();
        for (MachineType type : state.machineTypes().values()) {
            for (String zone : type.zones()) {
                Long refused = lastRefusedMicros.get(new MachineKind(type, zone, false));
                if (refused != null && state.nowMicros() - refused < SCARCE_MICROS) {
                    scarce.add(zone);
                } else {
                    open.add(zone);
                }
            }
        }
        scarce.removeAll(open);
        // Where every zone is scarce there is no elsewhere.
        state.setScarceZones(open.isEmpty() ? Set.of() : scarce);
    }

    private void onRefused(MachineKind kind) {
        notBefore.put(kind, state.nowMicros() + NO_CAPACITY_MICROS);
        lastRefusedMicros.put(kind, state.nowMicros());
    }

    private boolean isUsable(Job job, MachineKind kind) {
        return constraints.allows(job.description, kind.type, kind.zone, kind.spot)
                && constraints.allowsZone(job, kind.zone);
    }

    /**
     * How many more tasks of the job may go to the zone, with what this review has given it there.
     */
    private static int tasksLeftInZone(Job job, String zone, Map<String, Integer> spread) {
        if (!job.description.spreadAcrossZones()) {
            return Integer.MAX_VALUE;
        }
        return (job.description.taskCount() + 1) / 2
                - job.attemptsInZone(zone)
                - spread.getOrDefault(zone, 0);
    }

    /** The kind with the lowest price for this many tasks. */
    private MachineKind cheapest(Job job, int tasks, Map<String, Integer> spread) {
        MachineKind best = null;
        double bestPrice = 0;
        for (MachineType type : state.machineTypes().values()) {
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    MachineKind kind = new MachineKind(type, zone, spot);
                    int fits =
                            Math.min(
                                    Resources.of(type).count(job.taskResources),
                                    tasksLeftInZone(job, zone, spread));
                    if (fits < 1 || !isUsable(job, kind) || isUnavailable(kind)) {
                        continue;
                    }
                    double price = kind.price() / Math.min(fits, tasks);
                    if (best == null || price < bestPrice) {
                        best = kind;
                        bestPrice = price;
                    }
                }
            }
        }
        return best;
    }

    public void onScaleOutCompleted(SchedulerEvent.ScaleOutCompleted result) {
        ScaleOutRequest request = requests.get(result.requestName());
        if (request == null) {
            return;
        }
        switch (result.outcome()) {
            case RENTED -> {
                requests.remove(request.name);
                for (String host : result.hosts()) {
                    Machine machine =
                            machines.adopt(
                                    new MachineRecord(
                                            host,
                                            request.kind.type.name(),
                                            request.kind.zone,
                                            request.kind.spot,
                                            false));
                    machine.onRented(state.nowMicros());
                }
                if (result.hosts().size() < request.count) {
                    onRefused(request.kind);
                }
                state.log(
                        LogEntry.info(LogEvent.SCALE_OUT_COMPLETED)
                                .with("request", request.name)
                                .with("machines", String.join(",", result.hosts())));
            }
            case NO_CAPACITY -> {
                requests.remove(request.name);
                onRefused(request.kind);
                state.log(LogEntry.info(LogEvent.SCALE_OUT_REFUSED).with("request", request.name));
            }
            case REFUSED, UNKNOWN -> {
                // The same claim again: it may have been granted, and then gives the same answer.
                request.sent = false;
                request.retryAtMicros = state.nowMicros() + REPEAT_MICROS;
            }
        }
    }

    private void scaleIn() {
        Resources free = Resources.NONE;
        Resources used = Resources.NONE;
        for (Machine machine : state.machines().values()) {
            if (constraints.acceptsTasks(machine)) {
                free = free.plus(machine.free());
                used = used.plus(machine.used());
            }
        }
        // A small fleet must hold a job that is large for it, a large one the ups and downs of
        // many.
        // Where nothing comes and nothing waits no room is kept; a gang that waits needs its
        // machines all at once.
        boolean quiet =
                state.demand().isQuiet(state.nowMicros())
                        && state.dependencies().blockedCount() == 0
                        && placer.queue().isEmpty();
        long headroom =
                quiet
                        ? 0
                        : Math.max(
                                (long) (used.cpu() * state.settings().operator().headroom()),
                                state.demand().largeJobCpu());
        List<Machine> idle = new ArrayList<>();
        for (Machine machine : state.machines().values()) {
            if (machine.isDecommissioning()
                    || machine.isDeleted()
                    || !machine.isConfirmed()
                    || reservations.hasReservations(machine)) {
                continue;
            }
            if (isMissingFromList(machine)
                    && partitionedZones.silentForMicros(machine)
                            > 3 * state.settings().heartbeatMicros() + SILENCE_MARGIN_MICROS) {
                machine.abandon();
                logDecommissioned(machine, "silent and no longer listed");
            } else if (isSilentWithWork(machine)) {
                machine.abandon();
                logDecommissioned(machine, "silent with tasks on it");
            } else if (isUnreachableBeyondLease(machine, UNREACHABLE_MICROS)
                    && (isUnreachableBeyondLease(machine, MANY_UNREACHABLE_MICROS)
                            || !areManyUnreachable(machine.zone))) {
                machine.abandon();
                logDecommissioned(machine, "unreachable");
            } else if (hasFailedToBoot(machine)
                    || isLost(machine)
                    || machine.spotTerminationMicros() >= 0 && machine.isEmpty()) {
                machine.decommission();
                logDecommissioned(machine, "never came up, lost, or taken by the cloud");
            } else if (machine.isKnownAlive()
                    && machine.isEmpty()
                    && constraints.acceptsTasks(machine)) {
                idle.add(machine);
            }
        }
        // The dearest first: what is kept should be cheap.
        idle.sort(Comparator.comparingDouble((Machine machine) -> -machine.pricePerCpu()));
        for (Machine machine : idle) {
            long left = free.minus(machine.capacity()).cpu();
            if (left > headroom
                    && state.nowMicros() - machine.idleSinceMicros()
                            > maxIdleMicros(machine, left, headroom)
                    && state.nowMicros() - machine.rentedMicros() > MIN_CHARGE_MICROS) {
                machine.decommission();
                free = free.minus(machine.capacity());
                logDecommissioned(machine, "idle");
            }
        }
    }

    private void logDecommissioned(Machine machine, String reason) {
        state.log(
                LogEntry.info(LogEvent.MACHINE_DECOMMISSIONED)
                        .with("machine", machine.host)
                        .with("zone", machine.zone)
                        .with("reason", reason));
    }

    /**
     * How long a machine may be idle. To rent it again costs the time it boots, so it is kept idle
     * for no longer than that, and for less where much more is free than is kept free on purpose.
     */
    private long maxIdleMicros(Machine machine, long left, long headroom) {
        long most =
                Math.min(
                        state.settings().operator().idleReturnMicros(),
                        machine.type().bootMicros());
        return left > 2 * headroom ? most / 4 : most;
    }

    /**
     * Work on a silent machine is most likely lost. Deleting it proves that it is gone long before
     * its lease would, and it can start elsewhere. Where much of a zone is silent at once, the
     * fault is elsewhere, and the machines are left alone.
     */
    private boolean isSilentWithWork(Machine machine) {
        // One that answers commands without reporting is asked again half a lease after it was last
        // asked.
        boolean answers =
                machine.liveness.lastAliveMicros() - machine.liveness.lastHeartbeatMicros()
                        > state.livenessTimeouts().freshMicros();
        long enough =
                Math.max(
                                3 * state.settings().heartbeatMicros(),
                                answers ? state.settings().leaseMicros() / 2 + ANSWER_MICROS : 0)
                        + SILENCE_MARGIN_MICROS;
        if (!machine.isUp()
                || partitionedZones.silentForMicros(machine) < enough
                || !hasWork(machine)) {
            return false;
        }
        int all = 0;
        int silent = 0;
        for (Machine other : state.machines().values()) {
            if (other.zone.equals(machine.zone) && other.isUp() && !other.isDeleted()) {
                all++;
                silent +=
                        partitionedZones.silentForMicros(other)
                                        > 2 * state.settings().heartbeatMicros()
                                ? 1
                                : 0;
            }
        }
        return silent * 3 <= all || silent == 1;
    }

    /**
     * True for a deaf machine once its lease is over, and so much time besides: nothing of what was
     * on it is left.
     */
    private boolean isUnreachableBeyondLease(Machine machine, long besidesMicros) {
        return machine.liveness.isUnreachable(state.nowMicros())
                && machine.liveness.unacknowledgedForMicros(state.nowMicros())
                        > state.delegationTimeouts().leaseExpiryMicros() + besidesMicros;
    }

    /** Where a third of a zone is deaf, the fault is not the machines', and it may pass. */
    private boolean areManyUnreachable(String zone) {
        int all = 0;
        int unreachable = 0;
        for (Machine machine : state.machines().values()) {
            if (machine.zone.equals(zone) && machine.isKnownAlive() && !machine.isDeleted()) {
                all++;
                unreachable += machine.liveness.isUnreachable(state.nowMicros()) ? 1 : 0;
            }
        }
        return unreachable > 1 && unreachable * 3 > all;
    }

    private long silentForMicros(Machine machine) {
        return state.nowMicros()
                - Math.max(machine.liveness.lastAliveMicros(), state.startedMicros());
    }

    private static boolean hasWork(Machine machine) {
        for (TaskAttempt attempt : machine.attempts()) {
            if (!attempt.isStopping()) {
                return true;
            }
        }
        return false;
    }

    private boolean hasFailedToBoot(Machine machine) {
        if (machine.isKnownAlive() || machine.type() == null || !machine.isEmpty()) {
            return false;
        }
        long patience = 4 * machine.type().bootMicros() + 30_000_000;
        if (machine.isLifecycleKnown() && !machine.isReportedRecorded()) {
            // No leader has heard it since it was rented; this one has waited for a report that may
            // be under way.
            return state.nowMicros() - machine.rentedMicros() > patience
                    && silentForMicros(machine) > 3 * state.settings().heartbeatMicros();
        }
        return state.nowMicros() - Math.max(machine.rentedMicros(), state.startedMicros())
                > patience;
    }

    /**
     * A worker that is silent for longer than a lease has lost its tasks; deleting the machine
     * proves it.
     */
    private boolean isLost(Machine machine) {
        // In a zone that is cut off leases may be renewed by a node there, and the machines come
        // back with their work.
        long over =
                state.delegationTimeouts().leaseExpiryMicros()
                        + state.delegations().extraSilenceMicros(machine.zone, state.nowMicros());
        if (!machine.isKnownAlive() && !(machine.isEmpty() && machine.isReportedRecorded())) {
            return !machine.isEmpty() && silentForMicros(machine) > over + 2_000_000;
        }
        return silentForMicros(machine)
                > over
                        + 20_000_000
                        + (partitionedZones.isPartitioned(machine.zone) ? PARTITIONED_MICROS : 0);
    }
}
