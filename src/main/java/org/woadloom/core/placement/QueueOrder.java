package org.woadloom.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.machines.Machine;
import org.woadloom.settings.Objective;

/**
 * Orders the waiting jobs: by priority, then jobs within their team's guarantee, then overdue jobs,
 * then jobs that can still meet their target time, then age.
 *
 * <p>Ordering by age alone would make every job late under overload. Small jobs are moved ahead
 * slightly: the time that the whole fleet would need to run the job is added to its arrival time.
 */
public final class QueueOrder {
    /**
     * A late job is ordered by its age again once it has waited this multiple of its longest target
     * time, so that no job starves.
     */
    private static final int MAX_LATENESS_FACTOR = 6;

    /** Interval at which the size of the fleet is computed. */
    private static final long FLEET_SIZE_INTERVAL_MICROS = 500_000;

    /**
     * A job that has missed a target becomes due again when its expected completion is within this
     * fraction of the next target.
     */
    private static final double DUE_AGAIN_FRACTION = 0.2;

    /** Without a deadline objective, the target is the deadline itself. */
    private static final List<Double> DEFAULT_DEADLINE_MULTIPLES = List.of(1.0);

    /**
     * Every job is to start within four minutes: beyond this age, a job that has not started goes
     * before the others of its priority and guarantee.
     */
    private static final long START_OVERDUE_MICROS = 150_000_000;

    /**
     * Beyond this age, a job that is at least as large as the 90th percentile of the recent jobs of
     * its class goes before the others of its priority and guarantee until done, even after it has
     * started.
     */
    private static final long LARGE_OVERDUE_MICROS = 180_000_000;

    private final SchedulerState state;

    /** CPUs of all machines that are up, in units of {@link Resources}; at least 1. */
    private long fleetCpu;

    private long nextFleetSizeUpdateMicros = Long.MIN_VALUE;

    /** The target completion times of each job class, in microseconds, shortest first. */
    private final Map<String, List<Double>> targetsMicros = new HashMap<>();

    /**
     * The target completion times of each job class with deadlines, as multiples of the time until
     * the deadline, shortest first.
     */
    private final Map<String, List<Double>> deadlineMultiples = new HashMap<>();

    /** How a job stands against its target times, in the order in which jobs are served. */
    private enum Punctuality {
        /**
         * Can still meet its first target, is close to missing its next one, has no target, or is
         * so late that it is ordered by age again.
         */
        DUE,
        /** Has missed a target and has time left before the next one. */
        LATER,
        /** Has missed all targets. */
        LATE
    }

    private record Entry(Job job, boolean overdue, Punctuality punctuality, double orderMicros) {}

    /**
     * Written out instead of as a chain of comparators to avoid boxing: all waiting jobs are sorted
     * several times per pass.
     */
    private static int compare(Entry first, Entry second) {
        int order = second.job.priority().compareTo(first.job.priority());
        if (order == 0) {
            order = Boolean.compare(second.job.isWithinGuarantee(), first.job.isWithinGuarantee());
        }
        if (order == 0) {
            order = Boolean.compare(second.overdue, first.overdue);
        }
        if (order == 0) {
            order = first.punctuality.compareTo(second.punctuality);
        }
        if (order == 0) {
            order = Double.compare(first.orderMicros, second.orderMicros);
        }
        return order == 0 ? first.job.jobId().compareTo(second.job.jobId()) : order;
    }

    public QueueOrder(SchedulerState state) {
        this.state = state;
        for (Objective objective : state.settings().objectives()) {
            if (objective.kind().equals("finished") && objective.withinSeconds() > 0) {
                targetsMicros
                        .computeIfAbsent(objective.jobClass(), c -> new ArrayList<>())
                        .add(objective.withinSeconds() * 1e6);
            } else if (objective.kind().equals("deadline") && objective.deadlineMultiple() > 0) {
                deadlineMultiples
                        .computeIfAbsent(objective.jobClass(), c -> new ArrayList<>())
                        .add(objective.deadlineMultiple());
            }
        }
        targetsMicros.values().forEach(times -> times.sort(null));
        deadlineMultiples.values().forEach(times -> times.sort(null));
    }

    /** Returns the jobs in the order in which they are served now. */
    public List<Job> sorted(List<Job> jobs) {
        if (jobs.isEmpty()) {
            return jobs;
        }
        updateFleetSize();
        List<Entry> entries = new ArrayList<>(jobs.size());
        for (Job job : jobs) {
            double fleetTimeMicros =
                    (double) job.taskResources.cpu()
                            * job.pendingTaskCount()
                            / fleetCpu
                            * runtimeMicros(job);
            boolean overdue = isOverdue(job);
            entries.add(
                    new Entry(
                            job,
                            overdue,
                            overdue ? Punctuality.DUE : punctuality(job),
                            overdue
                                    ? job.queuedSinceMicros()
                                    : job.queuedSinceMicros() + fleetTimeMicros));
        }
        entries.sort(QueueOrder::compare);
        List<Job> sorted = new ArrayList<>(entries.size());
        for (Entry entry : entries) {
            sorted.add(entry.job);
        }
        return sorted;
    }

    /**
     * Computed at intervals, because the size of the fleet changes slowly and each pass needs it.
     */
    private void updateFleetSize() {
        if (state.nowMicros() < nextFleetSizeUpdateMicros) {
            return;
        }
        nextFleetSizeUpdateMicros = state.nowMicros() + FLEET_SIZE_INTERVAL_MICROS;
        fleetCpu = 1;
        for (Machine machine : state.machines().values()) {
            fleetCpu += machine.isUp() ? machine.capacity().cpu() : 0;
        }
    }

    private static double runtimeMicros(Job job) {
        return job.description.estimatedRuntimeSeconds() * 1e6;
    }

    /**
     * True for a job that has waited too long to start, and for one of the largest of its class
     * that is not done after a long time: later jobs no longer go before it.
     */
    private boolean isOverdue(Job job) {
        long ageMicros = state.nowMicros() - job.queuedSinceMicros();
        return (!job.hasStarted() && ageMicros > START_OVERDUE_MICROS)
                || (ageMicros > LARGE_OVERDUE_MICROS
                        && state.demandEstimator().isLargeInClass(job));
    }

    /**
     * Compares the completion time expected from the owner's estimate with the targets. A job that
     * has missed a target yields to jobs that can still meet theirs, until its next target is
     * close.
     */
    private Punctuality punctuality(Job job) {
        if (job.description.isService()) {
            return Punctuality.DUE;
        }
        boolean hasDeadline = job.deadlineMicros() != Long.MAX_VALUE;
        double startMicros = hasDeadline ? job.submittedMicros : job.queuedSinceMicros();
        double expectedCompletionMicros = state.nowMicros() - startMicros + runtimeMicros(job);
        List<Double> targetTimes =
                hasDeadline
                        ? deadlineMultiples.getOrDefault(
                                job.description.jobClass(), DEFAULT_DEADLINE_MULTIPLES)
                        : targetsMicros.getOrDefault(job.description.jobClass(), List.of());
        double unitMicros = hasDeadline ? job.deadlineMicros() - startMicros : 1;
        for (double targetTime : targetTimes) {
            if (expectedCompletionMicros <= targetTime * unitMicros) {
                return targetTime == targetTimes.get(0)
                                || expectedCompletionMicros
                                        > targetTime * unitMicros * (1 - DUE_AGAIN_FRACTION)
                        ? Punctuality.DUE
                        : Punctuality.LATER;
            }
        }
        boolean isLate =
                !targetTimes.isEmpty()
                        && state.nowMicros() - startMicros
                                <= MAX_LATENESS_FACTOR
                                        * targetTimes.get(targetTimes.size() - 1)
                                        * unitMicros;
        return isLate ? Punctuality.LATE : Punctuality.DUE;
    }
}
