package org.woadloom.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.ErrorText;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.Team;

/**
 * Checks whether a submitted job can ever run. Clients don't resubmit a job that was rejected as
 * never runnable, so that answer must be certain: lack of capacity is no reason for it, and a job
 * that fits none of the known machine types is rejected for good only against a fresh list, because
 * the cloud may have added a type since this node last read them. Until then the refusal is
 * temporary.
 */
final class AdmissionControl {
    /**
     * How long a list of machine types counts as fresh. The types change only with the cloud's
     * configuration. Jobs that fit no type cause at most one call to the cloud in this time.
     */
    private static final long FRESH_MICROS = 10_000_000;

    /**
     * The minimum interval between refreshes of the machine types while the cloud does not answer,
     * however many jobs wait for a refresh: the leader needs the budget of cloud calls.
     */
    private static final long REFRESH_INTERVAL_MICROS = 1_000_000;

    /** Users wait 5 s for the answer to a submission. */
    private static final long REFRESH_TIMEOUT_MICROS = 2_000_000;

    /** Before any time of the event loop's clock; differences to it don't overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    /** Allows for the rounding of sums of resources. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private static final int MIN_ZONES_TO_SPREAD = 2;

    private static final Refusal MACHINE_TYPES_STALE =
            Refusal.unavailable("the list of machine types could not be refreshed from the cloud");

    private final EventLoop loop;
    private final ServiceSettings settings;
    private final JobApi.MachineTypeSource machineTypes;

    /**
     * The start of the latest successful refresh: the list shows the types of that time or later.
     */
    private long freshSinceMicros = NEVER_MICROS;

    private long lastRefreshMicros = NEVER_MICROS;

    /** Callbacks that wait for the refresh in flight; empty while there is none. */
    private List<Runnable> refreshWaiters = List.of();

    AdmissionControl(EventLoop loop, ServiceSettings settings, JobApi.MachineTypeSource types) {
        this.loop = loop;
        this.settings = settings;
        this.machineTypes = types;
    }

    /**
     * Calls back with empty if the job can run as far as is known, else with the reason why it
     * can't, or why that can't be decided now.
     */
    void check(JobDescription job, Consumer<Optional<Refusal>> result) {
        String rejection = rejectionBySettings(job, settings.team(job.team()), settings.zones());
        if (rejection != null) {
            result.accept(Optional.of(Refusal.neverRunnable(rejection)));
            return;
        }
        if (machineTypes.currentTypes().isEmpty()) {
            result.accept(Optional.of(Refusal.unavailable("the machine types are not known yet")));
            return;
        }
        Optional<Refusal> refusal = checkMachineTypes(job);
        if (refusal.isPresent() && refusal.get().isTemporary()) {
            refreshMachineTypes(() -> result.accept(checkMachineTypes(job)));
        } else {
            result.accept(refusal);
        }
    }

    /** A refusal is temporary if the list of machine types is not fresh. */
    private Optional<Refusal> checkMachineTypes(JobDescription job) {
        String rejection = rejectionByMachineTypes(job, machineTypes.currentTypes());
        if (rejection == null) {
            return Optional.empty();
        }
        return Optional.of(isFresh() ? Refusal.neverRunnable(rejection) : MACHINE_TYPES_STALE);
    }

    private boolean isFresh() {
        return loop.nowMicros() - freshSinceMicros <= FRESH_MICROS;
    }

    /**
     * Refreshes the machine types, then runs the callback, after the timeout at the latest. Callers
     * share a refresh in flight; the callback runs at once if the last refresh started less than
     * {@link #REFRESH_INTERVAL_MICROS} ago.
     */
    private void refreshMachineTypes(Runnable onRefreshed) {
        if (!refreshWaiters.isEmpty()) {
            refreshWaiters.add(onRefreshed);
            return;
        }
        long startMicros = loop.nowMicros();
        if (startMicros - lastRefreshMicros < REFRESH_INTERVAL_MICROS) {
            onRefreshed.run();
            return;
        }
        lastRefreshMicros = startMicros;
        List<Runnable> waiters = new ArrayList<>(List.of(onRefreshed));
        refreshWaiters = waiters;
        machineTypes.refresh(
                answered -> {
                    if (answered) {
                        freshSinceMicros = Math.max(freshSinceMicros, startMicros);
                    }
                    resume(waiters);
                });
        loop.schedule(REFRESH_TIMEOUT_MICROS, () -> resume(waiters));
    }

    private void resume(List<Runnable> waiters) {
        if (refreshWaiters == waiters) {
            refreshWaiters = List.of();
            waiters.forEach(Runnable::run);
        }
    }

    /** Returns why the job can never run with these settings on any machine, or null if it can. */
    static String rejectionBySettings(JobDescription job, Team team, List<String> zones) {
        if (team == null) {
            return JobDescription.Field.TEAM + ": unknown team " + ErrorText.quoted(job.team());
        }
        int simultaneousTasks = needsAllTasks(job) ? job.taskCount() : 1;
        if (job.cpus() * simultaneousTasks > team.cpusMax() + ROUNDING_TOLERANCE
                || job.gpus() * simultaneousTasks > team.gpusMax() + ROUNDING_TOLERANCE) {
            return "the tasks that must run at once need more CPUs or GPUs than the limit of team "
                    + ErrorText.quoted(job.team())
                    + " allows";
        }
        if (job.zone() != null && !zones.contains(job.zone())) {
            return JobDescription.Field.ZONE + ": unknown zone " + ErrorText.quoted(job.zone());
        }
        if (job.machineTypes() != null && job.machineTypes().isEmpty()) {
            return JobDescription.Field.MACHINE_TYPES
                    + ": expected null or at least one machine type";
        }
        if (needsTwoZones(job) && (job.sameZone() || job.zone() != null)) {
            return JobDescription.Field.SPREAD_ACROSS_ZONES
                    + ": allows at most half of the tasks in one zone, but "
                    + (job.sameZone() ? JobDescription.Field.SAME_ZONE : JobDescription.Field.ZONE)
                    + " requires all of them in one";
        }
        return null;
    }

    /** Returns why the job can never run on machines of these types, or null if it can. */
    static String rejectionByMachineTypes(JobDescription job, List<MachineType> types) {
        Set<String> zones = new HashSet<>();
        for (MachineType type : types) {
            if (type.fits(job)
                    && (job.machineTypes() == null || job.machineTypes().contains(type.name()))) {
                zones.addAll(type.zones());
            }
        }
        if (job.zone() != null) {
            zones.retainAll(Set.of(job.zone()));
        }
        if (zones.isEmpty()) {
            return "no machine type that the job allows is large enough for a task and offered in"
                    + " an allowed zone";
        }
        return needsTwoZones(job) && zones.size() < MIN_ZONES_TO_SPREAD
                ? JobDescription.Field.SPREAD_ACROSS_ZONES
                        + ": only one zone offers a suitable machine type, expected at least two"
                : null;
    }

    /** Whether all tasks must run at the same time. The tasks of an array need not. */
    private static boolean needsAllTasks(JobDescription job) {
        return job.isService() || job.isGang();
    }

    /**
     * Whether the job needs machines in two zones: all of its tasks run at once, at most half of
     * them in the same zone. An array can run its tasks one after another in one zone.
     */
    private static boolean needsTwoZones(JobDescription job) {
        return needsAllTasks(job) && job.spreadAcrossZones() && job.taskCount() > 1;
    }
}
