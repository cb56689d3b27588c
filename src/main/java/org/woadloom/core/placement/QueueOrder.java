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
 * The order in which waiting jobs are served: by priority, then work within its team's guarantee,
 * then what is overdue, then what can still be in time, then age. Under overload age alone would
 * make every job late. Jobs that are small for the fleet go a little before their age: to its time
 * in the queue each is added the time that the whole fleet would need for it.
 */
public final class QueueOrder {
    /**
     * A late job is served by its age again after so many times the longest time it had: nobody
     * waits for ever.
     */
    private static final int MAX_LATENESS_FACTOR = 6;

    /** How often the fleet is counted. */
    private static final long FLEET_COUNT_INTERVAL_MICROS = 500_000;

    /**
     * A job that has missed a time is served this part of the next one before it would miss that,
     * too.
     */
    private static final double LEAD_SHARE = 0.2;

    /** Without an objective for deadlines a job is to be done by its own. */
    private static final List<Double> DEADLINE_ITSELF = List.of(1.0);

    /**
     * Every job is to start within four minutes: from this age on one that has not goes before the
     * others of its kind.
     */
    private static final long START_OVERDUE_MICROS = 150_000_000;

    /** From this age on the largest jobs of a class go before the others until they are done. */
    private static final long LARGE_OVERDUE_MICROS = 180_000_000;

    private final SchedulerState state;

    /** The processors of all machines that are up, in units of {@link Resources}. */
    private long fleetCpu;

    private long nextFleetCountMicros = Long.MIN_VALUE;

    /** By class, the times within which the users want its jobs done, the shortest first. */
    private final Map<String, List<Double>> targets = new HashMap<>();

    /**
     * By class, the multiples of the time until their deadlines within which they want its jobs
     * done.
     */
    private final Map<String, List<Double>> multiples = new HashMap<>();

    /** How a job stands to those times, in the order in which jobs are served. */
    private enum Punctuality {
        /** It can make the first of them, or is just in time for the next, or nobody can say. */
        DUE,
        /** It has missed one and has time yet for the next. */
        LATER,
        /** It has missed all. */
        LATE
    }

    private record Entry(Job job, boolean overdue, Punctuality punctuality, double turnMicros) {}

    /**
     * All waiting jobs are sorted several times a pass: without the boxing of a chain of
     * comparators.
     */
    private static int compare(Entry one, Entry other) {
        int order = other.job.priority().compareTo(one.job.priority());
        if (order == 0) {
            order = Boolean.compare(other.job.isWithinGuarantee(), one.job.isWithinGuarantee());
        }
        if (order == 0) {
            order = Boolean.compare(other.overdue, one.overdue);
        }
        if (order == 0) {
            order = one.punctuality.compareTo(other.punctuality);
        }
        if (order == 0) {
            order = Double.compare(one.turnMicros, other.turnMicros);
        }
        return order == 0 ? one.job.jobId().compareTo(other.job.jobId()) : order;
    }

    public QueueOrder(SchedulerState state) {
        this.state = state;
        for (Objective objective : state.settings().objectives()) {
            if (objective.kind().equals("finished") && objective.withinSeconds() > 0) {
                targets.computeIfAbsent(objective.jobClass(), c -> new ArrayList<>())
                        .add(objective.withinSeconds() * 1e6);
            } else if (objective.kind().equals("deadline") && objective.times() > 0) {
                multiples
                        .computeIfAbsent(objective.jobClass(), c -> new ArrayList<>())
                        .add(objective.times());
            }
        }
        targets.values().forEach(times -> times.sort(null));
        multiples.values().forEach(times -> times.sort(null));
    }

    /** The jobs in the order in which they are to be served now. */
    public List<Job> sorted(List<Job> jobs) {
        if (jobs.isEmpty()) {
            return jobs;
        }
        countFleet();
        List<Entry> entries = new ArrayList<>(jobs.size());
        for (Job job : jobs) {
            double alone =
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
                            overdue ? job.queuedSinceMicros() : job.queuedSinceMicros() + alone));
        }
        entries.sort(QueueOrder::compare);
        List<Job> sorted = new ArrayList<>(entries.size());
        for (Entry entry : entries) {
            sorted.add(entry.job);
        }
        return sorted;
    }

    /** How large the fleet is changes slowly, and this is asked in every pass. */
    private void countFleet() {
        if (state.nowMicros() < nextFleetCountMicros) {
            return;
        }
        nextFleetCountMicros = state.nowMicros() + FLEET_COUNT_INTERVAL_MICROS;
        fleetCpu = 1;
        for (Machine machine : state.machines().values()) {
            fleetCpu += machine.isUp() ? machine.capacity().cpu() : 0;
        }
    }

    private static double runtimeMicros(Job job) {
        return job.description.estimatedRuntimeSeconds() * 1e6;
    }

    /**
     * A job that has not started, and one of the largest that is not done, can't be left behind for
     * what comes after it.
     */
    private boolean isOverdue(Job job) {
        long age = state.nowMicros() - job.queuedSinceMicros();
        return (!job.hasStarted() && age > START_OVERDUE_MICROS)
                || (age > LARGE_OVERDUE_MICROS && state.demandEstimator().isLargeInClass(job));
    }

    /**
     * By its owner's estimate. A job that has missed a time makes way for those that can make it,
     * as long as it can.
     */
    private Punctuality punctuality(Job job) {
        if (job.description.isService()) {
            return Punctuality.DUE;
        }
        boolean hasDeadline = job.deadlineMicros() != Long.MAX_VALUE;
        double from = hasDeadline ? job.submittedMicros : job.queuedSinceMicros();
        double ends = state.nowMicros() - from + runtimeMicros(job);
        List<Double> times =
                hasDeadline
                        ? multiples.getOrDefault(job.description.jobClass(), DEADLINE_ITSELF)
                        : targets.getOrDefault(job.description.jobClass(), List.of());
        double unit = hasDeadline ? job.deadlineMicros() - from : 1;
        for (double time : times) {
            if (ends <= time * unit) {
                return time == times.get(0) || ends > time * unit * (1 - LEAD_SHARE)
                        ? Punctuality.DUE
                        : Punctuality.LATER;
            }
        }
        boolean isLate =
                !times.isEmpty()
                        && state.nowMicros() - from
                                <= MAX_LATENESS_FACTOR * times.get(times.size() - 1) * unit;
        return isLate ? Punctuality.LATE : Punctuality.DUE;
    }
}
