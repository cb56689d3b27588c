package org.woadloom.core.autoscaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.placement.PlacementConstraints;
import org.woadloom.core.placement.Resources;
import org.woadloom.core.quota.TeamQuota;
import org.woadloom.core.reservation.Reservations;
import org.woadloom.protocol.MachineType;

/**
 * Computes which machines the queued jobs need in addition to those that are booting, are
 * requested, or will probably accept tasks again. For each job it first assigns the expected
 * capacity, and then adds the machines with the lowest price per task.
 */
final class ScaleOutPlanner {
    private final SchedulerState state;
    private final PlacementConstraints constraints;
    private final Reservations reservations;
    private final ScaleOutRequests requests;
    private final PartitionedZones partitionedZones;
    private final MachineLossDetector losses;

    /** Capacity that is expected, and the part of it that this review has not assigned yet. */
    private static final class ExpectedCapacity {
        private final MachineKind kind;
        private Resources free;

        ExpectedCapacity(MachineKind kind, Resources free) {
            this.kind = kind;
            this.free = free;
        }
    }

    /** How many tasks of one job this review has assigned to each zone. */
    private static final class ZoneSpread {
        private final Job job;
        private final Map<String, Integer> tasksByZone = new HashMap<>();

        ZoneSpread(Job job) {
            this.job = job;
        }

        void add(String zone, int tasks) {
            tasksByZone.merge(zone, tasks, Integer::sum);
        }

        /** Returns how many more tasks the job's anti-affinity allows in the zone. */
        int tasksLeftIn(String zone) {
            if (!job.description.spreadAcrossZones()) {
                return Integer.MAX_VALUE;
            }
            return (job.description.taskCount() + 1) / 2
                    - job.attemptCountInZone(zone)
                    - tasksByZone.getOrDefault(zone, 0);
        }
    }

    ScaleOutPlanner(
            SchedulerState state,
            PlacementConstraints constraints,
            Reservations reservations,
            ScaleOutRequests requests,
            PartitionedZones partitionedZones,
            MachineLossDetector losses) {
        this.state = state;
        this.constraints = constraints;
        this.reservations = reservations;
        this.requests = requests;
        this.partitionedZones = partitionedZones;
        this.losses = losses;
    }

    /**
     * Returns how many machines of each kind are missing, in the order in which the jobs need them.
     */
    Map<MachineKind, Integer> plan(List<Job> queue) {
        List<ExpectedCapacity> expected = expectedCapacity();
        Map<MachineKind, Integer> missing = new LinkedHashMap<>();
        Map<TeamQuota, Resources> plannedByTeam = new HashMap<>();
        for (Job job : queue) {
            int tasks = tasksToPlan(job, plannedByTeam);
            if (tasks > 0) {
                ZoneSpread spread = new ZoneSpread(job);
                int left = assignExpected(job, tasks, expected, spread);
                addMachines(job, left, expected, spread, missing);
            }
        }
        return missing;
    }

    private List<ExpectedCapacity> expectedCapacity() {
        List<ExpectedCapacity> expected = new ArrayList<>();
        for (Machine machine : state.machines().values()) {
            if (isExpected(machine)) {
                expected.add(new ExpectedCapacity(MachineKind.of(machine), machine.free()));
            }
        }
        for (ScaleOutRequest request : requests.pending()) {
            MachineKind kind = request.kind();
            for (int i = 0; i < request.count(); i++) {
                expected.add(new ExpectedCapacity(kind, Resources.of(kind.type())));
            }
        }
        return expected;
    }

    private boolean isExpected(Machine machine) {
        return !machine.isDecommissioning()
                && !machine.isDeleted()
                && machine.type() != null
                && machine.spotTerminationMicros() < 0
                && machine.isConfirmed()
                && !partitionedZones.isPartitioned(machine.zone)
                && losses.isExpectedToAcceptTasks(machine);
    }

    /**
     * Returns how many tasks of the job to plan machines for. They are counted against the team's
     * limit, because otherwise each of its jobs would plan for all that is left of the limit.
     */
    private int tasksToPlan(Job job, Map<TeamQuota, Resources> plannedByTeam) {
        Resources planned = plannedByTeam.getOrDefault(job.teamQuota, Resources.NONE);
        int tasks =
                Math.min(
                        job.pendingTaskCount() - reservations.tasksNotNeedingScaleOut(job),
                        job.allowedTasks(Resources.NONE.minus(planned)));
        if (tasks > 0) {
            plannedByTeam.put(job.teamQuota, planned.plus(job.taskResources.times(tasks)));
        }
        return tasks;
    }

    /** Assigns expected capacity to the job's tasks, and returns how many tasks get none. */
    private int assignExpected(
            Job job, int tasks, List<ExpectedCapacity> expected, ZoneSpread spread) {
        int left = tasks;
        for (ExpectedCapacity capacity : expected) {
            if (left <= 0) {
                break;
            }
            if (capacity.free.contains(job.taskResources) && isUsable(job, capacity.kind)) {
                left -= assign(job, left, capacity, spread);
            }
        }
        return left;
    }

    private void addMachines(
            Job job,
            int tasks,
            List<ExpectedCapacity> expected,
            ZoneSpread spread,
            Map<MachineKind, Integer> missing) {
        int left = tasks;
        while (left > 0) {
            MachineKind kind = cheapest(job, left, spread);
            if (kind == null) {
                return;
            }
            missing.merge(kind, 1, Integer::sum);
            ExpectedCapacity added = new ExpectedCapacity(kind, Resources.of(kind.type()));
            left -= assign(job, left, added, spread);
            expected.add(added);
        }
    }

    /** Assigns the capacity to as many of the tasks as fit, and returns how many. */
    private static int assign(Job job, int tasks, ExpectedCapacity capacity, ZoneSpread spread) {
        String zone = capacity.kind.zone();
        int fitting = Math.min(tasks, capacity.free.countFitting(job.taskResources));
        int assigned = Math.min(fitting, spread.tasksLeftIn(zone));
        capacity.free = capacity.free.minus(job.taskResources.times(assigned));
        spread.add(zone, assigned);
        return assigned;
    }

    private boolean isUsable(Job job, MachineKind kind) {
        return constraints.allows(job.description, kind.type(), kind.zone(), kind.spot())
                && constraints.allowsZone(job, kind.zone());
    }

    /** Returns the available kind with the lowest price per task for this many tasks, or null. */
    private MachineKind cheapest(Job job, int tasks, ZoneSpread spread) {
        MachineKind best = null;
        double bestPrice = 0;
        for (MachineType type : state.machineTypes().values()) {
            int tasksPerMachine = Resources.of(type).countFitting(job.taskResources);
            for (String zone : type.zones()) {
                int fits = Math.min(tasksPerMachine, spread.tasksLeftIn(zone));
                if (fits < 1) {
                    continue;
                }
                for (boolean spot : new boolean[] {true, false}) {
                    MachineKind kind = new MachineKind(type, zone, spot);
                    if (!isUsable(job, kind) || isUnavailable(kind)) {
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

    private boolean isUnavailable(MachineKind kind) {
        return partitionedZones.isPartitioned(kind.zone()) || requests.isUnavailable(kind);
    }
}
