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
 * Ranks the machines that the tasks of one job fit on, best first.
 *
 * <p>Each machine is scored once; after that, only the head of the queue is scored again. The
 * result is the same as with scoring all machines for each task, because placing a task improves
 * the score of no machine but its own.
 *
 * <p>A score is the sum of the weights below. The larger the weight, the higher its precedence.
 */
final class CandidateMachines {
    /**
     * Exceeds the sum of all other weights: a job uses its own reservations before any other
     * machine.
     */
    private static final double RESERVED_WEIGHT = 100_000;

    /**
     * Per pending task that fits into the machine's zone, for a job whose tasks must all be in one
     * zone.
     */
    private static final double ZONE_FIT_WEIGHT = 1000;

    /**
     * Penalty per replica of the service that is on the machine already, as they would fail
     * together.
     */
    private static final double REPLICA_WEIGHT = 1000;

    /** Penalty for on-demand machines in a scarce zone, for jobs that could use another zone. */
    private static final double SCARCE_ZONE_WEIGHT = 300;

    /**
     * Penalty for on-demand machines in a scarce zone, for jobs that must spread over zones. Larger
     * than one {@link #SPREAD_WEIGHT} and smaller than two, so that the penalty alone gives a
     * scarce zone only one or two of the job's tasks fewer than another zone.
     */
    private static final double SCARCE_ZONE_SPREAD_WEIGHT = 15;

    /** For a machine that has the image: a pull may make the start miss its objective. */
    private static final double IMAGE_WEIGHT = 100;

    /**
     * For the cheapest machine, in proportion for others. Expensive machines then become idle
     * first, and on-demand machines keep resources for jobs that may not use spot machines. Below
     * the weight of the image.
     */
    private static final double PRICE_WEIGHT = 50;

    /**
     * For a full machine, in proportion to its utilization: packing leaves machines idle that can
     * be scaled in.
     */
    private static final double UTILIZATION_WEIGHT = 20;

    /** Penalty per task in the machine's zone, for a job that spreads over zones. */
    private static final double SPREAD_WEIGHT = 10;

    private final Job job;
    private final Set<String> scarceZones;
    private final PlacementConstraints constraints;
    private final Reservations reservations;
    private final PriorityQueue<Candidate> queue = new PriorityQueue<>();

    /** Number of replicas of the job on each machine; empty unless the job is a service. */
    private final Map<Machine, Integer> replicas = new HashMap<>();

    private final Map<String, Integer> fittingTasksByZone = new HashMap<>();
    private double highestPrice = Double.MIN_NORMAL;
    private Candidate lastReturned;

    private static final class Candidate implements Comparable<Candidate> {
        final Machine machine;
        final int position;
        double score;

        Candidate(Machine machine, int position) {
            this.machine = machine;
            this.position = position;
        }

        @Override
        public int compareTo(Candidate other) {
            int byScore = Double.compare(other.score, score);
            return byScore != 0 ? byScore : Integer.compare(position, other.position);
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
        if (determinesZone()) {
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
                fittingTasksByZone.merge(
                        machine.zone,
                        reservations.unreserved(machine, job).countFitting(job.taskResources),
                        Integer::sum);
            }
        }
    }

    private void enqueueFitting(List<Machine> openMachines) {
        int position = 0;
        for (Machine machine : openMachines) {
            position++;
            if (fits(machine)) {
                Candidate candidate = new Candidate(machine, position);
                candidate.score = score(machine);
                queue.add(candidate);
            }
        }
    }

    /** Returns the best machine that one more task fits on, or null. */
    Machine next() {
        while (!queue.isEmpty()) {
            Candidate candidate = queue.poll();
            if (!fits(candidate.machine)) {
                continue;
            }
            double score = score(candidate.machine);
            if (score < candidate.score) {
                candidate.score = score;
                queue.add(candidate);
                continue;
            }
            lastReturned = candidate;
            return candidate.machine;
        }
        return null;
    }

    /**
     * Recomputes the score of the machine most recently returned by {@link #next}, after a task was
     * placed on it, and makes the machine a candidate again if another task fits on it.
     */
    void onPlaced() {
        if (job.description.isService()) {
            replicas.merge(lastReturned.machine, 1, Integer::sum);
        }
        if (fits(lastReturned.machine)) {
            lastReturned.score = score(lastReturned.machine);
            queue.add(lastReturned);
        }
    }

    /** True if the next task determines the zone of all others. */
    private boolean determinesZone() {
        return job.description.sameZone() && job.attempts().isEmpty();
    }

    private boolean fits(Machine machine) {
        // The cheapest check is first: reservations only reduce the free resources, so most
        // machines fail here already.
        return machine.balance().contains(job.taskResources)
                && reservations.unreserved(machine, job).contains(job.taskResources)
                && job.allowedTasks(reservations.quotaCredit(job, machine)) >= 1
                && constraints.allows(job, machine)
                && !job.failedOnHosts.contains(machine.host);
    }

    /**
     * The order of the additions is part of the result, because floating-point addition is not
     * associative.
     */
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
        if (determinesZone()) {
            int fittingTasks = fittingTasksByZone.getOrDefault(machine.zone, 0);
            score += ZONE_FIT_WEIGHT * Math.min(job.pendingTaskCount(), fittingTasks);
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
