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

    private record End(long micros, String crew, double vcpus) {}

    /** Hears of each job whose last task has just been completed. */
    Consumer<String> lastTaskEnded = uid -> {};

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

    void started(TaskId task, SimulatedAgent worker) {
        starts++;
        ran.add(task.uid());
        JobDescription job = submitted.get(task.uid());
        for (String before : job.awaits()) {
            if (!allDone(before)) {
                throw new InvariantViolation(
                        "too_early", task + " starts before " + before + " is done");
            }
            releases++;
        }
        SimulatedAgent other = on.get(task);
        if (other != null && other != worker) {
            throw new InvariantViolation(
                    "ran_twice", task + " starts on " + worker.host + " while on " + other.host);
        }
        if (!worker.fits(job)) {
            throw new InvariantViolation("wrong_place", task + " on " + worker.host);
        }
        int sameYard = 1;
        for (Map.Entry<TaskId, SimulatedAgent> entry : on.entrySet()) {
            if (!entry.getKey().uid().equals(task.uid()) || entry.getKey().equals(task)) {
                continue;
            }
            if (entry.getValue().yard.equals(worker.yard)) {
                sameYard++;
            } else if (job.samePlace()) {
                throw new InvariantViolation("wrong_place", task + " starts apart from its job");
            }
        }
        if (job.apart() && sameYard > (job.shards() + 1) / 2) {
            throw new InvariantViolation(
                    "wrong_place", task + " makes " + sameYard + " in " + worker.yard);
        }
        startsAfterCancellation += toldCancelled.containsKey(task.uid()) ? 1 : 0;
        on.put(task, worker);
        Team team = settings.team(job.crew());
        double cpus = used(job.crew());
        if (cpus > team.cpusMax() + 1e-6) {
            throw new InvariantViolation("quota", job.crew() + " uses " + cpus);
        }
        cancelCheck(task);
    }

    void ended(TaskId task, SimulatedAgent worker, boolean completed) {
        freed.add(
                new End(
                        loop.now(),
                        submitted.get(task.uid()).crew(),
                        submitted.get(task.uid()).vcpus()));
        on.remove(task, worker);
        if (completed && done.add(task) && allDone(task.uid())) {
            lastTaskEnded.accept(task.uid());
        }
    }

    /** The jobs of which tasks are on machines. */
    Set<String> running() {
        Set<String> jobs = new LinkedHashSet<>();
        on.keySet().forEach(task -> jobs.add(task.uid()));
        return jobs;
    }

    /** The machines that have tasks of these jobs. */
    Set<SimulatedAgent> machinesOf(Collection<String> jobs) {
        Set<SimulatedAgent> machines = new LinkedHashSet<>();
        on.forEach(
                (task, worker) -> {
                    if (jobs.contains(task.uid())) {
                        machines.add(worker);
                    }
                });
        return machines;
    }

    /**
     * Jobs of this importance or more, or of less, that have tasks which are neither done nor on a
     * machine.
     */
    int waiting(Priority rank, boolean less) {
        return (int)
                accepted.keySet().stream()
                        .filter(
                                uid ->
                                        !isOver(uid)
                                                && submitted.get(uid).rank().compareTo(rank) < 0
                                                        == less
                                                && hasWaiting(submitted.get(uid)))
                        .count();
    }

    private boolean hasWaiting(JobDescription job) {
        for (int i = 0; i < job.shards(); i++) {
            TaskId task = new TaskId(job.uid(), i);
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
    void checkWaiting(Collection<SimulatedAgent> workers) {
        if (loop.now() < calmFrom) {
            return;
        }
        for (String uid : accepted.keySet()) {
            JobDescription job = submitted.get(uid);
            // Those whose tasks go together need more than room for one.
            boolean could =
                    !isOver(uid)
                            && !askedToCancel.contains(uid)
                            && cancelledBefore(uid) == null
                            && !job.gang()
                            && !job.samePlace()
                            && !job.apart()
                            && job.awaits().stream().allMatch(this::allDone)
                            && hasWaiting(job)
                            && heldOrJustFreed(job.crew(), workers) + job.vcpus()
                                    <= settings.team(job.crew()).cpusMax()
                            && workers.stream().anyMatch(worker -> worker.takes(job));
            if (!could) {
                couldBegin.remove(uid);
            } else if (loop.now() - couldBegin.computeIfAbsent(uid, key -> loop.now())
                    > WAITING_MICROS) {
                throw new InvariantViolation(
                        "left_waiting",
                        uid
                                + " has tasks that wait while there is room, since "
                                + couldBegin.get(uid) / 1_000_000
                                + " s");
            }
        }
    }

    private double heldOrJustFreed(String crew, Collection<SimulatedAgent> workers) {
        freed.removeIf(end -> loop.now() - end.micros > HEARD_MICROS);
        return workers.stream().mapToDouble(worker -> worker.held(crew)).sum()
                + freed.stream().filter(end -> end.crew.equals(crew)).mapToDouble(End::vcpus).sum();
    }

    /** How many teams have a task that waits and does not fit below their limit. */
    int teamsAtLimit() {
        return (int) settings.teams().stream().filter(this::atLimit).count();
    }

    private boolean atLimit(Team team) {
        double room = team.cpusMax() - used(team.name());
        for (String uid : accepted.keySet()) {
            JobDescription job = submitted.get(uid);
            if (job.crew().equals(team.name())
                    && !isOver(uid)
                    && job.vcpus() > room
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

    double used(String crew) {
        double cpus = 0;
        for (TaskId running : on.keySet()) {
            JobDescription job = submitted.get(running.uid());
            cpus += job.crew().equals(crew) ? job.vcpus() : 0;
        }
        return cpus;
    }

    int tasksIn(String yard) {
        return (int) on.values().stream().filter(worker -> worker.yard.equals(yard)).count();
    }

    /** A task of the job was started on some machine. */
    boolean ran(String uid) {
        return ran.contains(uid);
    }

    boolean isDone(TaskId task) {
        return done.contains(task);
    }

    private void cancelCheck(TaskId task) {
        Long told = toldCancelled.get(task.uid());
        if (told != null && loop.now() - told > settings.workers().cancelMicros()) {
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
        submitted.put(job.uid(), job);
    }

    void cancelling(String uid) {
        askedToCancel.add(uid);
    }

    /**
     * An answer to a request that was sent at the given time: it may be older than what was told
     * after that.
     */
    void answered(String request, String uid, long sent, int status, Map<String, Object> body) {
        if ((status == 200 || status == 201) && unfit.contains(uid)) {
            throw new InvariantViolation("accepted_unfit", request + " " + uid + " " + status);
        }
        boolean known = submitted.containsKey(uid);
        if (status == 200 && !known) {
            throw new InvariantViolation("invented", uid);
        }
        if (accepted.getOrDefault(uid, Long.MAX_VALUE) < sent
                && (status == 404
                        || request.equals("submit") && (status == 400 || status == 422))) {
            throw new InvariantViolation("forgotten", request + " " + uid + " " + status);
        }
        if (request.equals("poll") && accepted.containsKey(uid)) {
            long last = Math.max(calmFrom, pollAnswered.getOrDefault(uid, accepted.get(uid)));
            if (status == 200) {
                pollAnswered.put(uid, loop.now());
            } else if (loop.now() - last > FORGOTTEN_MICROS) {
                throw new InvariantViolation(
                        "forgotten",
                        uid + " gets no answer for " + (loop.now() - last) / 1_000_000 + " s");
            }
        }
        if (status != 200 && status != 201) {
            return;
        }
        // Whoever answers so has told that it is accepted, also if no answer to the submission ever
        // came.
        accepted.putIfAbsent(uid, loop.now());
        String said = (String) body.get("status");
        String before = toldFinal.get(uid);
        boolean end = said.equals("done") || said.equals("cancelled");
        // Only an answer that is not final may be older, and only to a request from before the end
        // was told.
        if (before != null && !before.equals(said) && (end || toldFinalAt.get(uid) < sent)) {
            throw new InvariantViolation("went_back", uid + " was " + before + " and is " + said);
        }
        if (said.equals("queued") || said.equals("running")) {
            Long told = cancelledBefore(uid);
            if (told != null && told + settings.workers().cancelMicros() < sent) {
                throw new InvariantViolation("orphaned", uid + " is " + said);
            }
        }
        if (said.equals("done")) {
            if (!allDone(uid)) {
                throw new InvariantViolation("not_done", uid);
            }
            toldFinal.put(uid, said);
            toldFinalAt.putIfAbsent(uid, loop.now());
        } else if (said.equals("cancelled")) {
            if (!mayBeCancelled(uid)) {
                throw new InvariantViolation("went_back", uid + " is called cancelled by itself");
            }
            toldFinal.put(uid, said);
            toldFinalAt.putIfAbsent(uid, loop.now());
            if (toldCancelled.putIfAbsent(uid, loop.now()) == null && running().contains(uid)) {
                cancelledWhileRunning++;
            }
        }
    }

    private boolean allDone(String uid) {
        for (int i = 0; i < submitted.get(uid).shards(); i++) {
            if (!done.contains(new TaskId(uid, i))) {
                return false;
            }
        }
        return true;
    }

    /** When a user was told first that a job before this one is cancelled; null if none was. */
    private Long cancelledBefore(String uid) {
        Long first = null;
        for (String before : submitted.get(uid).awaits()) {
            Long told = toldCancelled.get(before);
            if (told == null) {
                told = cancelledBefore(before);
            }
            // What names a cancelled job has its time from its own acceptance.
            told =
                    told == null
                            ? null
                            : (Long) Math.max(told, accepted.getOrDefault(uid, Long.MAX_VALUE / 2));
            first = first == null || told != null && told < first ? told : first;
        }
        return first;
    }

    /** Jobs of which some tasks are done and others are on machines. */
    int partlyDone() {
        return (int)
                running().stream()
                        .filter(
                                uid ->
                                        !submitted.get(uid).service()
                                                && done.stream()
                                                        .anyMatch(task -> task.uid().equals(uid)))
                        .count();
    }

    /** Jobs of which users know no end yet, and that a job before them is cancelled. */
    int waitingForCancelled() {
        return (int)
                accepted.keySet().stream()
                        .filter(uid -> !isOver(uid) && cancelledBefore(uid) != null)
                        .count();
    }

    /** True if its user, or the user of a job before it that is not done, asked for that. */
    private boolean mayBeCancelled(String uid) {
        if (askedToCancel.contains(uid)) {
            return true;
        }
        for (String before : submitted.get(uid).awaits()) {
            if (mayBeCancelled(before) && !"done".equals(toldFinal.get(before))) {
                return true;
            }
        }
        return false;
    }

    boolean isOver(String uid) {
        return toldFinal.containsKey(uid);
    }

    Set<String> acceptedJobs() {
        return accepted.keySet();
    }
}
