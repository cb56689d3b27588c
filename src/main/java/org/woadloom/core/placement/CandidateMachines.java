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

/**
 * The machines for one job's tasks, best first. All are looked at once; after that only what comes
 * to the top is looked at again. That is as good as looking at all each time, since placing a task
 * makes no machine but its own better.
 */
final class CandidateMachines {
    /**
     * What the price counts at most, against 100 for an image that is there: to fetch one may take
     * a start its aim.
     */
    private static final double PRICE_WEIGHT = 50;

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
        if (startsTogether()) {
            for (Machine machine : openMachines) {
                if (constraints.allows(job, machine)) {
                    fitsByZone.merge(
                            machine.zone,
                            reservations.unreserved(machine, job).count(job.taskResources),
                            Integer::sum);
                }
            }
        }
        for (Machine machine : openMachines) {
            highestPrice = Math.max(highestPrice, machine.pricePerCpu());
        }
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

    /** The best machine that has room for one more task, or null. */
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

    /** The machine that came last has got a task, and may take another. */
    void onPlaced() {
        if (job.description.isService()) {
            replicas.merge(taken.machine, 1, Integer::sum);
        }
        if (fits(taken.machine)) {
            taken.score = score(taken.machine);
            queue.add(taken);
        }
    }

    private boolean startsTogether() {
        return job.description.sameZone() && job.attempts().isEmpty();
    }

    private boolean fits(Machine machine) {
        // No reservation leaves more room than is not in use: most machines are passed over at
        // that.
        return machine.balance().contains(job.taskResources)
                && reservations.unreserved(machine, job).contains(job.taskResources)
                && job.allowedTasks(reservations.credit(job, machine)) >= 1
                && constraints.allows(job, machine)
                && !job.failedOn.contains(machine.host);
    }

    private double score(Machine machine) {
        double score = 0;
        if (reservations.match(job, machine) != null) {
            // The reservation is drawn before the machine.
            score += 100_000;
        }
        if (machine.images.contains(job.description.image())) {
            score += 100;
        }
        if (job.description.isService()) {
            // Replicas on one machine are lost together.
            score -= 1000.0 * replicas.getOrDefault(machine, 0);
        } else {
            // Dear machines fall idle first, and ordinary ones have room for work that may not use
            // spot machines.
            score += PRICE_WEIGHT * (1 - machine.pricePerCpu() / highestPrice);
        }
        if (startsTogether()) {
            // The first task fixes the zone, so it goes where most of the others fit.
            score +=
                    1000.0 * Math.min(job.pendingTasks(), fitsByZone.getOrDefault(machine.zone, 0));
        }
        if (job.description.spreadAcrossZones()) {
            score -= 10.0 * job.attemptsInZone(machine.zone);
        }
        if (scarceZones.contains(machine.zone) && !machine.spot) {
            // Replicas that must spread put only the odd one elsewhere; work that has a choice
            // stays away.
            score -= job.description.spreadAcrossZones() ? 15 : 300;
        }
        // Fullest first, so that idle machines can be returned.
        score += 20.0 * machine.used().cpu() / Math.max(1, machine.capacity().cpu());
        return score;
    }
}
