package org.woadloom.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.Team;

/**
 * Whether a job can run at all. A job that is refused is not submitted again, so 422 is said only
 * of what is certain: that there is no room now is no reason, and what the machine types speak
 * against is refused only once the cloud has told them anew, as a type may have been added since
 * this node last read them. Until then it is 503.
 */
final class AdmissionControl {
    /**
     * The types change with the settings of the cloud; whoever submits what fits none costs at most
     * a call in so long.
     */
    private static final long FRESH_MICROS = 10_000_000;

    /**
     * While the cloud does not answer it is asked again after so long, however many ask: the leader
     * needs its calls.
     */
    private static final long REFRESH_INTERVAL_MICROS = 1_000_000;

    /** Users wait 5 s for an answer. */
    private static final long REFRESH_TIMEOUT_MICROS = 2_000_000;

    private final EventLoop loop;
    private final ServiceSettings settings;
    private final JobApi.Types types;

    /** When the reading of the types began that was answered last. */
    private long readMicros = Long.MIN_VALUE / 2;

    private long askedMicros = Long.MIN_VALUE / 2;

    /** What waits for the reading under way. */
    private List<Runnable> waiting = List.of();

    AdmissionControl(EventLoop loop, ServiceSettings settings, JobApi.Types types) {
        this.loop = loop;
        this.settings = settings;
        this.types = types;
    }

    /**
     * Answers with null for a job that can run as far as is known, or why it can't, or can't be
     * decided now.
     */
    void check(JobDescription job, Consumer<Response> refusal) {
        String never = rejectionByTerms(job, settings.team(job.team()), settings.zones());
        if (never != null) {
            refusal.accept(Response.error(422, never));
        } else if (types.current().isEmpty()) {
            refusal.accept(Response.unavailable("the machine types are not known yet"));
        } else if (rejectionByMachineTypes(job, types.current()) == null) {
            refusal.accept(null);
        } else if (isFresh()) {
            refusal.accept(Response.error(422, rejectionByMachineTypes(job, types.current())));
        } else {
            afterRefresh(
                    () -> {
                        String still = rejectionByMachineTypes(job, types.current());
                        refusal.accept(
                                still == null
                                        ? null
                                        : isFresh()
                                                ? Response.error(422, still)
                                                : Response.unavailable(
                                                        "the cloud does not tell its machine types"
                                                                + " now"));
                    });
        }
    }

    private boolean isFresh() {
        return loop.nowMicros() - readMicros <= FRESH_MICROS;
    }

    private void afterRefresh(Runnable then) {
        if (!waiting.isEmpty()) {
            waiting.add(then);
            return;
        }
        long began = loop.nowMicros();
        if (began - askedMicros < REFRESH_INTERVAL_MICROS) {
            then.run();
            return;
        }
        askedMicros = began;
        waiting = new ArrayList<>(List.of(then));
        List<Runnable> mine = waiting;
        types.refresh(
                answered -> {
                    if (answered) {
                        readMicros = Math.max(readMicros, began);
                    }
                    resume(mine);
                });
        loop.schedule(REFRESH_TIMEOUT_MICROS, () -> resume(mine));
    }

    private void resume(List<Runnable> mine) {
        if (waiting == mine) {
            waiting = List.of();
            mine.forEach(Runnable::run);
        }
    }

    /** Why the job can't run whatever machines there are; null if it may. */
    static String rejectionByTerms(JobDescription job, Team team, List<String> zones) {
        if (team == null) {
            return "crew: unknown team";
        }
        int together = needsAllTasks(job) ? job.taskCount() : 1;
        if (job.cpus() * together > team.cpusMax() + 1e-9
                || job.gpus() * together > team.gpusMax() + 1e-9) {
            return "the job needs more than the team's limit";
        }
        if (job.zone() != null && !zones.contains(job.zone())) {
            return "yard: unknown zone";
        }
        if (job.machineTypes() != null && job.machineTypes().isEmpty()) {
            return "hosttypes: none is allowed";
        }
        if (mustSpread(job) && (job.sameZone() || job.zone() != null)) {
            return "apart: half of the tasks at most may be in one zone, and all must be";
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
        return mustSpread(job) && zones.size() < 2
                ? "apart: only one zone offers what the tasks need"
                : null;
    }

    /** All tasks are needed at once: an array may run a few at a time. */
    private static boolean needsAllTasks(JobDescription job) {
        return job.isService() || job.isGang();
    }

    /**
     * Its tasks can't all be in one zone at once, and must all run at once. Tasks of an array take
     * turns there.
     */
    private static boolean mustSpread(JobDescription job) {
        return needsAllTasks(job) && job.spreadAcrossZones() && job.taskCount() > 1;
    }
}
