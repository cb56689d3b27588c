package org.woadloom.sim;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.Priority;
import org.woadloom.protocol.TaskId;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.Team;

/** What really happens in the simulated world, and the rules, checked at each step. */
final class InvariantChecker {
    private final SimulatedEventLoop loop;
    private final ServiceSettings settings;
    final Map<String, JobDescription> submitted = new LinkedHashMap<>();

    /** A job that gets no answer for so long when all is well counts as forgotten. */
    private static final long FORGOTTEN_MICROS = 75_000_000;

    private static final long WAITING_MICROS = 90_000_000;

    /** Since when a job waits though it could begin. */
    private final Map<String, Long> couldBegin = new HashMap<>();

    private final Map<String, Long> accepted = new LinkedHashMap<>();
    private final Map<String, Long> pollAnswered = new HashMap<>();

    /** No trouble is left from this moment on. */
    long calmFrom = Long.MAX_VALUE / 2;

    private final Map<String, Long> toldCancelled = new HashMap<>();
    private final Set<String> askedToCancel = new HashSet<>();
    private final Map<String, String> toldFinal = new HashMap<>();
    private final Map<String, Long> toldFinalAt = new HashMap<>();
    private final Map<TaskId, SimulatedAgent> on = new LinkedHashMap<>();
    private final Set<TaskId> done = new HashSet<>();
    private final Set<String> ran = new HashSet<>();

    /** Jobs that can't run, or lack a field: none of them may be accepted. */
    final Set<String> unfit = new HashSet<>();

    /**
     * A leader has heard of a task's end, and its record names the next one, after two reports and
     * a write.
     */
    private static final long HEARD_MICROS = 4_000_000;

    private final ArrayDeque<End> freed = new ArrayDeque<>();

    private record End(long micros, String team, double cpus) {}

    /** Hears of each job whose last task has just been completed. */
    Consumer<String> lastTaskEnded = jobId -> {};

    /**
     * Starts of tasks after a user was told that their job is cancelled; a rule is broken if they
     * stay for too long.
     */
    int startsAfterCancellation;

    int starts;

    /** Running tasks that were killed because their worker's lease ended. */
    int killedByLease;

    /** Jobs of which users were told that they are cancelled while tasks of theirs ran. */
    int cancelledWhileRunning;

    /** Starts of tasks whose job waited for others. */
    int releases;

    InvariantChecker(SimulatedEventLoop loop, ServiceSettings settings) {
        this.loop = loop;
        this.settings = settings;
    }

    void started(TaskId task, SimulatedAgent agent) {
        starts++;
        ran.add(task.jobId());
        JobDescription job = submitted.get(task.jobId());
        for (String before : job.dependencies()) {
            if (!allDone(before)) {
                throw new InvariantViolation(
                        "too_early", task + " starts before " + before + " is done");
            }
            releases++;
        }
        SimulatedAgent other = on.get(task);
        if (other != null && other != agent) {
            throw new InvariantViolation(
                    "ran_twice", task + " starts on " + agent.host + " while on " + other.host);
        }
        if (!agent.fits(job)) {
            throw new InvariantViolation("wrong_place", task + " on " + agent.host);
        }
        int sameYard = 1;
        for (Map.Entry<TaskId, SimulatedAgent> entry : on.entrySet()) {
            if (!entry.getKey().jobId().equals(task.jobId()) || entry.getKey().equals(task)) {
                continue;
            }
            if (entry.getValue().zone.equals(agent.zone)) {
                sameYard++;
            } else if (job.sameZone()) {
                throw new InvariantViolation("wrong_place", task + " starts apart from its job");
            }
        }
        if (job.spreadAcrossZones() && sameYard > (job.taskCount() + 1) / 2) {
            throw new InvariantViolation(
                    "wrong_place", task + " makes " + sameYard + " in " + agent.zone);
        }
        startsAfterCancellation += toldCancelled.containsKey(task.jobId()) ? 1 : 0;
        on.put(task, agent);
        Team team = settings.team(job.team());
        double cpus = used(job.team());
        if (cpus > team.cpusMax() + 1e-6) {
            throw new InvariantViolation("quota", job.team() + " uses " + cpus);
        }
        cancelCheck(task);
    }

    void ended(TaskId task, SimulatedAgent agent, boolean completed) {
        freed.add(
                new End(
                        loop.now(),
                        submitted.get(task.jobId()).team(),
                        submitted.get(task.jobId()).cpus()));
        on.remove(task, agent);
        if (completed && done.add(task) && allDone(task.jobId())) {
            lastTaskEnded.accept(task.jobId());
        }
    }

    /** The jobs of which tasks are on machines. */
    Set<String> running() {
        Set<String> jobs = new LinkedHashSet<>();
        on.keySet().forEach(task -> jobs.add(task.jobId()));
        return jobs;
    }

    /** The machines that have tasks of these jobs. */
    Set<SimulatedAgent> machinesOf(Collection<String> jobs) {
        Set<SimulatedAgent> machines = new LinkedHashSet<>();
        on.forEach(
                (task, agent) -> {
                    if (jobs.contains(task.jobId())) {
                        machines.add(agent);
                    }
                });
        return machines;
    }

    /**
     * Jobs of this importance or more, or of less, that have tasks which are neither done nor on a
     * machine.
     */
    int waiting(Priority priority, boolean less) {
        return (int)
                accepted.keySet().stream()
                        .filter(
                                jobId ->
                                        !isOver(jobId)
                                                && submitted
                                                                        .get(jobId)
                                                                        .priority()
                                                                        .compareTo(priority)
                                                                < 0
                                                        == less
                                                && hasWaiting(submitted.get(jobId)))
                        .count();
    }

    private boolean hasWaiting(JobDescription job) {
        for (int i = 0; i < job.taskCount(); i++) {
            TaskId task = new TaskId(job.jobId(), i);
            if (!done.contains(task) && !on.containsKey(task)) {
                return true;
            }
        }
        return false;
    }

    /**
     * When all is well no job waits for long for a machine that is there and has room, below its
     * team's limit. What fetches its image counts for the limit here, and what ended a moment ago,
     * of which no leader may have heard yet: a team whose short tasks follow each other is at it.
     */
    void checkWaiting(Collection<SimulatedAgent> agents) {
        if (loop.now() < calmFrom) {
            return;
        }
        for (String jobId : accepted.keySet()) {
            JobDescription job = submitted.get(jobId);
            // Those whose tasks go together need more than room for one.
            boolean could =
                    !isOver(jobId)
                            && !askedToCancel.contains(jobId)
                            && cancelledBefore(jobId) == null
                            && !job.isGang()
                            && !job.sameZone()
                            && !job.spreadAcrossZones()
                            && job.dependencies().stream().allMatch(this::allDone)
                            && hasWaiting(job)
                            && heldOrJustFreed(job.team(), agents) + job.cpus()
                                    <= settings.team(job.team()).cpusMax()
                            && agents.stream().anyMatch(agent -> agent.takes(job));
            if (!could) {
                couldBegin.remove(jobId);
            } else if (loop.now() - couldBegin.computeIfAbsent(jobId, key -> loop.now())
                    > WAITING_MICROS) {
                throw new InvariantViolation(
                        "left_waiting",
                        jobId
                                + " has tasks that wait while there is room, since "
                                + couldBegin.get(jobId) / 1_000_000
                                + " s");
            }
        }
    }

    private double heldOrJustFreed(String team, Collection<SimulatedAgent> agents) {
        freed.removeIf(end -> loop.now() - end.micros > HEARD_MICROS);
        return agents.stream().mapToDouble(agent -> agent.held(team)).sum()
                + freed.stream().filter(end -> end.team.equals(team)).mapToDouble(End::cpus).sum();
    }

    /** How many teams have a task that waits and does not fit below their limit. */
    int teamsAtLimit() {
        return (int) settings.teams().stream().filter(this::atLimit).count();
    }

    private boolean atLimit(Team team) {
        double room = team.cpusMax() - used(team.name());
        for (String jobId : accepted.keySet()) {
            JobDescription job = submitted.get(jobId);
            if (job.team().equals(team.name())
                    && !isOver(jobId)
                    && job.cpus() > room
                    && hasWaiting(job)) {
                return true;
            }
        }
        return false;
    }

    /** The machine that has the task, or null. */
    SimulatedAgent machineOf(TaskId task) {
        return on.get(task);
    }

    double used(String team) {
        double cpus = 0;
        for (TaskId running : on.keySet()) {
            JobDescription job = submitted.get(running.jobId());
            cpus += job.team().equals(team) ? job.cpus() : 0;
        }
        return cpus;
    }

    int tasksIn(String zone) {
        return (int) on.values().stream().filter(agent -> agent.zone.equals(zone)).count();
    }

    /** A task of the job was started on some machine. */
    boolean ran(String jobId) {
        return ran.contains(jobId);
    }

    boolean isDone(TaskId task) {
        return done.contains(task);
    }

    private void cancelCheck(TaskId task) {
        Long told = toldCancelled.get(task.jobId());
        if (told != null && loop.now() - told > settings.agents().cancelMicros()) {
            throw new InvariantViolation(
                    "ran_cancelled", task + " is on a machine too long after the cancellation");
        }
    }

    /** What holds at all times. */
    void check() {
        if (!toldCancelled.isEmpty()) {
            on.keySet().forEach(this::cancelCheck);
        }
    }

    void submitting(JobDescription job) {
        submitted.put(job.jobId(), job);
    }

    void cancelling(String jobId) {
        askedToCancel.add(jobId);
    }

    /**
     * An answer to a request that was sent at the given time: it may be older than what was told
     * after that.
     */
    void answered(String request, String jobId, long sent, int status, Map<String, Object> body) {
        if ((status == 200 || status == 201) && unfit.contains(jobId)) {
            throw new InvariantViolation("accepted_unfit", request + " " + jobId + " " + status);
        }
        boolean known = submitted.containsKey(jobId);
        if (status == 200 && !known) {
            throw new InvariantViolation("invented", jobId);
        }
        if (accepted.getOrDefault(jobId, Long.MAX_VALUE) < sent
                && (status == 404
                        || request.equals("submit") && (status == 400 || status == 422))) {
            throw new InvariantViolation("forgotten", request + " " + jobId + " " + status);
        }
        if (request.equals("poll") && accepted.containsKey(jobId)) {
            long last = Math.max(calmFrom, pollAnswered.getOrDefault(jobId, accepted.get(jobId)));
            if (status == 200) {
                pollAnswered.put(jobId, loop.now());
            } else if (loop.now() - last > FORGOTTEN_MICROS) {
                throw new InvariantViolation(
                        "forgotten",
                        jobId + " gets no answer for " + (loop.now() - last) / 1_000_000 + " s");
            }
        }
        if (status != 200 && status != 201) {
            return;
        }
        // Whoever answers so has told that it is accepted, also if no answer to the submission ever
        // came.
        accepted.putIfAbsent(jobId, loop.now());
        String said = (String) body.get("status");
        String before = toldFinal.get(jobId);
        boolean end = said.equals("done") || said.equals("cancelled");
        // Only an answer that is not final may be older, and only to a request from before the end
        // was told.
        if (before != null && !before.equals(said) && (end || toldFinalAt.get(jobId) < sent)) {
            throw new InvariantViolation("went_back", jobId + " was " + before + " and is " + said);
        }
        if (said.equals("queued") || said.equals("running")) {
            Long told = cancelledBefore(jobId);
            if (told != null && told + settings.agents().cancelMicros() < sent) {
                throw new InvariantViolation("orphaned", jobId + " is " + said);
            }
        }
        if (said.equals("done")) {
            if (!allDone(jobId)) {
                throw new InvariantViolation("not_done", jobId);
            }
            toldFinal.put(jobId, said);
            toldFinalAt.putIfAbsent(jobId, loop.now());
        } else if (said.equals("cancelled")) {
            if (!mayBeCancelled(jobId)) {
                throw new InvariantViolation("went_back", jobId + " is called cancelled by itself");
            }
            toldFinal.put(jobId, said);
            toldFinalAt.putIfAbsent(jobId, loop.now());
            if (toldCancelled.putIfAbsent(jobId, loop.now()) == null && running().contains(jobId)) {
                cancelledWhileRunning++;
            }
        }
    }

    private boolean allDone(String jobId) {
        for (int i = 0; i < submitted.get(jobId).taskCount(); i++) {
            if (!done.contains(new TaskId(jobId, i))) {
                return false;
            }
        }
        return true;
    }

    /** When a user was told first that a job before this one is cancelled; null if none was. */
    private Long cancelledBefore(String jobId) {
        Long first = null;
        for (String before : submitted.get(jobId).dependencies()) {
            Long told = toldCancelled.get(before);
            if (told == null) {
                told = cancelledBefore(before);
            }
            // What names a cancelled job has its time from its own acceptance.
            told =
                    told == null
                            ? null
                            : (Long)
                                    Math.max(
                                            told, accepted.getOrDefault(jobId, Long.MAX_VALUE / 2));
            first = first == null || told != null && told < first ? told : first;
        }
        return first;
    }

    /** Jobs of which some tasks are done and others are on machines. */
    int partlyDone() {
        return (int)
                running().stream()
                        .filter(
                                jobId ->
                                        !submitted.get(jobId).isService()
                                                && done.stream()
                                                        .anyMatch(
                                                                task -> task.jobId().equals(jobId)))
                        .count();
    }

    /** Jobs of which users know no end yet, and that a job before them is cancelled. */
    int waitingForCancelled() {
        return (int)
                accepted.keySet().stream()
                        .filter(jobId -> !isOver(jobId) && cancelledBefore(jobId) != null)
                        .count();
    }

    /** True if its user, or the user of a job before it that is not done, asked for that. */
    private boolean mayBeCancelled(String jobId) {
        if (askedToCancel.contains(jobId)) {
            return true;
        }
        for (String before : submitted.get(jobId).dependencies()) {
            if (mayBeCancelled(before) && !"done".equals(toldFinal.get(before))) {
                return true;
            }
        }
        return false;
    }

    boolean isOver(String jobId) {
        return toldFinal.containsKey(jobId);
    }

    Set<String> acceptedJobs() {
        return accepted.keySet();
    }
}
