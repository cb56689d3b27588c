package org.woadloom.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.reservation.Reservations;
import org.woadloom.protocol.JobDescription;

/**
 * The machines for one job's tasks, best first.
 *
 * <p>All are scored once; after that only what comes to the top of the queue is scored again. That
 * is as good as scoring all each time, since placing a task makes no machine but its own better.
 *
 * <p>A score is a sum of the weights below; what decides first has the larger weight.
 */
final class CandidateMachines {
    /** More than all else together: a job's reservation is drawn before any other machine. */
    private static final double RESERVED_WEIGHT = 100_000;

    /** For each task of a job that must stay in one zone which fits into the machine's zone. */
    private static final double ZONE_FIT_WEIGHT = 1000;

    /** Against a machine for each replica of the service there: they are lost together. */
    private static final double REPLICA_WEIGHT = 1000;

    /** Against ordinary machines of a scarce zone, for work that could go elsewhere. */
    private static final double SCARCE_ZONE_WEIGHT = 300;

    /** The same for replicas that must spread: only the odd one is to go to another zone. */
    private static final double SCARCE_ZONE_SPREAD_WEIGHT = 15;

    /** For an image that is there: to pull one may make a start miss its objective. */
    private static final double IMAGE_WEIGHT = 100;

    /**
     * For the cheapest machine, less than the image: expensive machines become idle first, and
     * ordinary ones keep resources for work that may not use spot machines.
     */
    private static final double PRICE_WEIGHT = 50;

    /** For a full machine, in proportion to its use: idle machines can be scaled in. */
    private static final double UTILIZATION_WEIGHT = 20;

    /** Against a zone for each task there of a job that spreads. */
    private static final double SPREAD_WEIGHT = 10;

    private final Job job;
    private final Set<String> scarceZones;
    private final PlacementConstraints constraints;
    private final Reservations reservations;
    private final PriorityQueue<Candidate> queue = new PriorityQueue<>();

    /** Replicas of the job by machine; empty for other jobs. */
    private final Map<Machine, Integer> replicas = new HashMap<>();

    private final Map<String, Integer> fitsByZone = new HashMap<>();
    private double highestPrice = Double.MIN_NORMAL;
    private Candidate taken;

    private static final class Candidate implements Comparable<Candidate> {
        final Machine machine;
        final int order;
        double score;

        Candidate(Machine machine, int order) {
            this.machine = machine;
            this.order = order;
        }

        @Override
        public int compareTo(Candidate other) {
            int byScore = Double.compare(other.score, score);
            return byScore != 0 ? byScore : Integer.compare(order, other.order);
        }
    }

    CandidateMachines(
            Job job,
            List<Machine> openMachines,
            Set<String> scarceZones,
            PlacementConstraints constraints,
            Reservations reservations) {
        this.job = job;
        this.scarceZones = scarceZones;
        this.constraints = constraints;
        this.reservations = reservations;
        if (job.description.isService()) {
            for (TaskAttempt attempt : job.attempts()) {
                replicas.merge(attempt.machine, 1, Integer::sum);
            }
        }
        if (isFirstOfZone()) {
            countFitsByZone(openMachines);
        }
        for (Machine machine : openMachines) {
            highestPrice = Math.max(highestPrice, machine.pricePerCpu());
        }
        enqueueFitting(openMachines);
    }

    private void countFitsByZone(List<Machine> openMachines) {
        for (Machine machine : openMachines) {
            if (constraints.allows(job, machine)) {
                fitsByZone.merge(
                        machine.zone,
                        reservations.unreserved(machine, job).countFitting(job.taskResources),
                        Integer::sum);
            }
        }
    }

    private void enqueueFitting(List<Machine> openMachines) {
        int order = 0;
        for (Machine machine : openMachines) {
            order++;
            if (fits(machine)) {
                Candidate candidate = new Candidate(machine, order);
                candidate.score = score(machine);
                queue.add(candidate);
            }
        }
    }

    /** The best machine that one more task fits into, or null. */
    Machine next() {
        while (!queue.isEmpty()) {
            Candidate first = queue.poll();
            if (!fits(first.machine)) {
                continue;
            }
            double score = score(first.machine);
            if (score < first.score) {
                first.score = score;
                queue.add(first);
                continue;
            }
            taken = first;
            return first.machine;
        }
        return null;
    }

    /** The machine that {@link #next} returned last has got a task, and may take another. */
    void onPlaced() {
        if (job.description.isService()) {
            replicas.merge(taken.machine, 1, Integer::sum);
        }
        if (fits(taken.machine)) {
            taken.score = score(taken.machine);
            queue.add(taken);
        }
    }

    /** True while the next task decides the zone of all others. */
    private boolean isFirstOfZone() {
        return job.description.sameZone() && job.attempts().isEmpty();
    }

    private boolean fits(Machine machine) {
        // The cheapest check first: reservations only take from what is not in use, and most
        // machines fail already at that.
        return machine.balance().contains(job.taskResources)
                && reservations.unreserved(machine, job).contains(job.taskResources)
                && job.allowedTasks(reservations.quotaCredit(job, machine)) >= 1
                && constraints.allows(job, machine)
                && !job.failedOnHosts.contains(machine.host);
    }

    /** The order of the sums is part of the result, as these are floating-point numbers. */
    private double score(Machine machine) {
        JobDescription description = job.description;
        double score = 0;
        if (reservations.bestMatch(job, machine) != null) {
            score += RESERVED_WEIGHT;
        }
        if (machine.images.contains(description.image())) {
            score += IMAGE_WEIGHT;
        }
        if (description.isService()) {
            score -= REPLICA_WEIGHT * replicas.getOrDefault(machine, 0);
        } else {
            score += PRICE_WEIGHT * (1 - machine.pricePerCpu() / highestPrice);
        }
        if (isFirstOfZone()) {
            int zoneFits = fitsByZone.getOrDefault(machine.zone, 0);
            score += ZONE_FIT_WEIGHT * Math.min(job.pendingTaskCount(), zoneFits);
        }
        if (description.spreadAcrossZones()) {
            score -= SPREAD_WEIGHT * job.attemptCountInZone(machine.zone);
        }
        if (scarceZones.contains(machine.zone) && !machine.spot) {
            score -=
                    description.spreadAcrossZones()
                            ? SCARCE_ZONE_SPREAD_WEIGHT
                            : SCARCE_ZONE_WEIGHT;
        }
        score += UTILIZATION_WEIGHT * machine.used().cpu() / Math.max(1, machine.capacity().cpu());
        return score;
    }
}
