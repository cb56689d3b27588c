package org.woadloom.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.Team;

/**
 * Decides whether a job can run at all. A job that is refused is not submitted again, so a job is
 * called never runnable only where that is certain: that there is no capacity now is no reason, and
 * what only the machine types speak against is refused only once the cloud has listed them anew, as
 * a type may have been added since this node last read them. Until then the refusal is temporary.
 */
final class AdmissionControl {
    /**
     * How long a list of machine types counts as fresh. The types change with the settings of the
     * cloud; a user who submits what fits none costs at most one call in this time.
     */
    private static final long FRESH_MICROS = 10_000_000;

    /**
     * While the cloud does not answer it is asked once in this time, however many jobs wait for it:
     * the leader needs its calls.
     */
    private static final long REFRESH_INTERVAL_MICROS = 1_000_000;

    /** Users wait 5 s for an answer. */
    private static final long REFRESH_TIMEOUT_MICROS = 2_000_000;

    /** Earlier than any moment of the loop's clock, without overflow in differences. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    /** Allows for the rounding of sums of resources. */
    private static final double ROUNDING = 1e-9;

    private static final int ZONES_TO_SPREAD = 2;

    private static final Refusal TYPES_NOT_FRESH =
            Refusal.unavailable("the cloud does not tell its machine types now");

    private final EventLoop loop;
    private final ServiceSettings settings;
    private final JobApi.MachineTypeSource types;

    /** When the latest refresh that was answered started. */
    private long freshSinceMicros = NEVER_MICROS;

    private long lastRefreshMicros = NEVER_MICROS;

    /** What waits for the refresh in flight; empty while there is none. */
    private List<Runnable> waiting = List.of();

    AdmissionControl(EventLoop loop, ServiceSettings settings, JobApi.MachineTypeSource types) {
        this.loop = loop;
        this.settings = settings;
        this.types = types;
    }

    /**
     * Reports empty for a job that can run as far as is known, or else why it can't, or why that
     * can't be decided now.
     */
    void check(JobDescription job, Consumer<Optional<Refusal>> result) {
        String rejection = rejectionByTerms(job, settings.team(job.team()), settings.zones());
        if (rejection != null) {
            result.accept(Optional.of(Refusal.neverRunnable(rejection)));
            return;
        }
        if (types.currentTypes().isEmpty()) {
            result.accept(Optional.of(Refusal.unavailable("the machine types are not known yet")));
            return;
        }
        Optional<Refusal> refusal = checkMachineTypes(job);
        if (refusal.isPresent() && refusal.get().isTemporary()) {
            refreshTypes(() -> result.accept(checkMachineTypes(job)));
        } else {
            result.accept(refusal);
        }
    }

    /** The refusal is temporary where the types that speak against the job are not fresh. */
    private Optional<Refusal> checkMachineTypes(JobDescription job) {
        String rejection = rejectionByMachineTypes(job, types.currentTypes());
        if (rejection == null) {
            return Optional.empty();
        }
        return Optional.of(isFresh() ? Refusal.neverRunnable(rejection) : TYPES_NOT_FRESH);
    }

    private boolean isFresh() {
        return loop.nowMicros() - freshSinceMicros <= FRESH_MICROS;
    }

    /**
     * Has the types read and then runs what is given, at the latest after the timeout; at once if
     * they were asked for just now. Whoever comes while a refresh is in flight shares it.
     */
    private void refreshTypes(Runnable afterwards) {
        if (!waiting.isEmpty()) {
            waiting.add(afterwards);
            return;
        }
        long startMicros = loop.nowMicros();
        if (startMicros - lastRefreshMicros < REFRESH_INTERVAL_MICROS) {
            afterwards.run();
            return;
        }
        lastRefreshMicros = startMicros;
        List<Runnable> waitingForThis = new ArrayList<>(List.of(afterwards));
        waiting = waitingForThis;
        types.refresh(
                answered -> {
                    if (answered) {
                        freshSinceMicros = Math.max(freshSinceMicros, startMicros);
                    }
                    resume(waitingForThis);
                });
        loop.schedule(REFRESH_TIMEOUT_MICROS, () -> resume(waitingForThis));
    }

    private void resume(List<Runnable> waitingForRefresh) {
        if (waiting == waitingForRefresh) {
            waiting = List.of();
            waitingForRefresh.forEach(Runnable::run);
        }
    }

    /** Why the job can't run whatever machines there are; null if it may. */
    static String rejectionByTerms(JobDescription job, Team team, List<String> zones) {
        if (team == null) {
            return JobDescription.Field.TEAM + ": unknown team";
        }
        int simultaneousTasks = needsAllTasks(job) ? job.taskCount() : 1;
        if (job.cpus() * simultaneousTasks > team.cpusMax() + ROUNDING
                || job.gpus() * simultaneousTasks > team.gpusMax() + ROUNDING) {
            return "the job needs more than the team's limit";
        }
        if (job.zone() != null && !zones.contains(job.zone())) {
            return JobDescription.Field.ZONE + ": unknown zone";
        }
        if (job.machineTypes() != null && job.machineTypes().isEmpty()) {
            return JobDescription.Field.MACHINE_TYPES + ": none is allowed";
        }
        if (mustSpread(job) && (job.sameZone() || job.zone() != null)) {
            return JobDescription.Field.SPREAD_ACROSS_ZONES
                    + ": half of the tasks at most may be in one zone, and all must be";
        }
        return null;
    }

    /** Why the job can't run on such machines; null if it may. */
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
            return "a task fits no allowed machine type that is offered where it may run";
        }
        return mustSpread(job) && zones.size() < ZONES_TO_SPREAD
                ? JobDescription.Field.SPREAD_ACROSS_ZONES
                        + ": only one zone offers what the tasks need"
                : null;
    }

    /** Whether all tasks have to run at once: an array may run a few at a time. */
    private static boolean needsAllTasks(JobDescription job) {
        return job.isService() || job.isGang();
    }

    /**
     * Whether the job needs two zones: its tasks must all run at once, and at most half of them in
     * one zone. The tasks of an array can take turns in one zone.
     */
    private static boolean mustSpread(JobDescription job) {
        return needsAllTasks(job) && job.spreadAcrossZones() && job.taskCount() > 1;
    }
}
