package org.woadloom.sim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.Priority;
import org.woadloom.protocol.TaskId;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.Team;

/**
 * What really happens in a simulation, seen from outside of the nodes: what users submitted and
 * were told, and which tasks are on which machines. The {@linkplain Invariant invariants} compare
 * the nodes' behaviour with it; {@link InvariantChecker} keeps it up to date.
 */
final class ObservedState {
    private final SimulatedEventLoop loop;
    private final ServiceSettings settings;
    private final Map<String, JobDescription> submitted = new LinkedHashMap<>();
    private final Map<String, Long> acceptedMicros = new LinkedHashMap<>();
    private final Map<String, Long> cancellationReportedMicros = new HashMap<>();
    private final Set<String> cancelRequested = new HashSet<>();
    private final Map<String, String> finalStatus = new HashMap<>();
    private final Map<String, Long> finalStatusReportedMicros = new HashMap<>();
    private final Map<TaskId, SimulatedAgent> machineOfTask = new LinkedHashMap<>();
    private final Set<TaskId> doneTasks = new HashSet<>();
    private final Set<String> startedJobs = new HashSet<>();
    private final Set<String> invalidJobs = new HashSet<>();

    /** No fault is active from this moment on; the far future while that is not known. */
    long faultFreeFromMicros = Long.MAX_VALUE / 2;

    /** Starts of tasks after a user was told that their job is cancelled. */
    int taskStartsAfterCancellation;

    /** Starts of tasks. */
    int taskStarts;

    /** Running tasks that were killed because their agent's lease expired. */
    int killedByLease;

    /** Jobs that ran when a user was told first that they are cancelled. */
    int cancelledWhileRunning;

    /** Dependencies that were met when a task of the dependent job started. */
    int satisfiedDependencies;

    ObservedState(SimulatedEventLoop loop, ServiceSettings settings) {
        this.loop = loop;
        this.settings = settings;
    }

    // What happens.

    void recordSubmission(JobDescription job) {
        submitted.put(job.jobId(), job);
    }

    /** The job can't run, or lacks a field: it must not be accepted. */
    void recordInvalidJob(String jobId) {
        invalidJobs.add(jobId);
    }

    void recordCancelRequest(String jobId) {
        cancelRequested.add(jobId);
    }

    void recordTaskStart(TaskId task, SimulatedAgent agent) {
        taskStarts++;
        satisfiedDependencies += job(task.jobId()).dependencies().size();
        startedJobs.add(task.jobId());
        taskStartsAfterCancellation += cancellationReportedMicros.containsKey(task.jobId()) ? 1 : 0;
        machineOfTask.put(task, agent);
    }

    void recordTaskEnd(TaskId task, SimulatedAgent agent) {
        machineOfTask.remove(task, agent);
    }

    /** Whether the task was the last one of its job that was not done. */
    boolean recordTaskDone(TaskId task) {
        return doneTasks.add(task) && areAllTasksDone(task.jobId());
    }

    /** An answer with the job's status tells that it is accepted, whatever the request was. */
    void recordAccepted(String jobId) {
        acceptedMicros.putIfAbsent(jobId, loop.now());
    }

    void recordFinalStatus(UserAnswer answer) {
        String jobId = answer.jobId();
        finalStatus.put(jobId, answer.jobStatus());
        finalStatusReportedMicros.putIfAbsent(jobId, loop.now());
        if (answer.isCancelled()
                && cancellationReportedMicros.putIfAbsent(jobId, loop.now()) == null
                && runningJobs().contains(jobId)) {
            cancelledWhileRunning++;
        }
    }

    // Jobs.

    /** The job as its user submitted it; null if nobody did. */
    JobDescription job(String jobId) {
        return submitted.get(jobId);
    }

    boolean isSubmitted(String jobId) {
        return submitted.containsKey(jobId);
    }

    boolean isInvalidJob(String jobId) {
        return invalidJobs.contains(jobId);
    }

    boolean isAccepted(String jobId) {
        return acceptedMicros.containsKey(jobId);
    }

    /** When a user was told first that the job is accepted; the far future if none was. */
    long acceptedMicros(String jobId) {
        return acceptedMicros.getOrDefault(jobId, Long.MAX_VALUE);
    }

    /** Accepted jobs, in the order of their acceptance. */
    Set<String> acceptedJobs() {
        return acceptedMicros.keySet();
    }

    /** A user was told that the job is done or cancelled. */
    boolean hasFinalStatus(String jobId) {
        return finalStatus.containsKey(jobId);
    }

    /** The final status that users were told, or null. */
    String finalStatus(String jobId) {
        return finalStatus.get(jobId);
    }

    /** When users were told the final status first; only for a job that {@link #hasFinalStatus}. */
    long finalStatusReportedMicros(String jobId) {
        return finalStatusReportedMicros.get(jobId);
    }

    boolean isCancelRequested(String jobId) {
        return cancelRequested.contains(jobId);
    }

    boolean hasCancelledJobs() {
        return !cancellationReportedMicros.isEmpty();
    }

    /** When a user was told first that the job is cancelled; null if none was. */
    Long cancellationReportedMicros(String jobId) {
        return cancellationReportedMicros.get(jobId);
    }

    /**
     * When a user was told first that a job is cancelled that this one depends on, directly or not,
     * and this one was accepted; null if that has not happened.
     */
    Long dependencyCancelledMicros(String jobId) {
        Long firstMicros = null;
        for (String dependency : job(jobId).dependencies()) {
            Long reportedMicros = cancellationReportedMicros.get(dependency);
            if (reportedMicros == null) {
                reportedMicros = dependencyCancelledMicros(dependency);
            }
            if (reportedMicros == null) {
                continue;
            }
            // A job that names a cancelled one has its time from its own acceptance.
            long fromMicros = Math.max(reportedMicros, acceptedMicros.getOrDefault(jobId, Long.MAX_VALUE / 2));
            firstMicros = firstMicros == null ? fromMicros : Math.min(firstMicros, fromMicros);
        }
        return firstMicros;
    }

    /** How many jobs are not over though a job that they depend on is cancelled. */
    int openJobsWithCancelledDependency() {
        int count = 0;
        for (String jobId : acceptedMicros.keySet()) {
            count += !hasFinalStatus(jobId) && dependencyCancelledMicros(jobId) != null ? 1 : 0;
        }
        return count;
    }

    /** A task of the job was started on some machine. */
    boolean wasStarted(String jobId) {
        return startedJobs.contains(jobId);
    }

    /** The jobs that have tasks on machines. */
    Set<String> runningJobs() {
        Set<String> jobs = new LinkedHashSet<>();
        machineOfTask.keySet().forEach(task -> jobs.add(task.jobId()));
        return jobs;
    }

    /** How many jobs that are no services have tasks that are done and tasks on machines. */
    int partlyDoneJobs() {
        Set<String> jobsWithDoneTasks = new HashSet<>();
        doneTasks.forEach(task -> jobsWithDoneTasks.add(task.jobId()));
        int count = 0;
        for (String jobId : runningJobs()) {
            count += !job(jobId).isService() && jobsWithDoneTasks.contains(jobId) ? 1 : 0;
        }
        return count;
    }

    /** How many jobs of this priority or a higher one have waiting tasks. */
    int waitingJobsAtOrAbove(Priority priority) {
        return countWaitingJobs(priority, false);
    }

    /** How many jobs of a lower priority have waiting tasks. */
    int waitingJobsBelow(Priority priority) {
        return countWaitingJobs(priority, true);
    }

    private int countWaitingJobs(Priority priority, boolean below) {
        int count = 0;
        for (String jobId : acceptedMicros.keySet()) {
            JobDescription job = job(jobId);
            boolean isBelow = job.priority().compareTo(priority) < 0;
            count += !hasFinalStatus(jobId) && isBelow == below && hasWaitingTask(job) ? 1 : 0;
        }
        return count;
    }

    // Tasks and machines.

    /** The machine that has the task, or null. */
    SimulatedAgent machineOf(TaskId task) {
        return machineOfTask.get(task);
    }

    Set<TaskId> runningTasks() {
        return machineOfTask.keySet();
    }

    /** The machines that have tasks of these jobs. */
    Set<SimulatedAgent> machinesOf(Collection<String> jobs) {
        Set<SimulatedAgent> machines = new LinkedHashSet<>();
        machineOfTask.forEach(
                (task, agent) -> {
                    if (jobs.contains(task.jobId())) {
                        machines.add(agent);
                    }
                });
        return machines;
    }

    /** For each other task of the same job that is on a machine, that machine. */
    List<SimulatedAgent> machinesOfOtherTasks(TaskId task) {
        List<SimulatedAgent> machines = new ArrayList<>();
        machineOfTask.forEach(
                (other, agent) -> {
                    if (other.jobId().equals(task.jobId()) && !other.equals(task)) {
                        machines.add(agent);
                    }
                });
        return machines;
    }

    boolean isDone(TaskId task) {
        return doneTasks.contains(task);
    }

    boolean areAllTasksDone(String jobId) {
        for (int i = 0; i < job(jobId).taskCount(); i++) {
            if (!doneTasks.contains(new TaskId(jobId, i))) {
                return false;
            }
        }
        return true;
    }

    /** The job has a task that is neither done nor on a machine. */
    boolean hasWaitingTask(JobDescription job) {
        for (int i = 0; i < job.taskCount(); i++) {
            TaskId task = new TaskId(job.jobId(), i);
            if (!doneTasks.contains(task) && !machineOfTask.containsKey(task)) {
                return true;
            }
        }
        return false;
    }

    int runningTasksInZone(String zone) {
        int count = 0;
        for (SimulatedAgent agent : machineOfTask.values()) {
            count += agent.zone.equals(zone) ? 1 : 0;
        }
        return count;
    }

    // Teams.

    double cpusUsedBy(String team) {
        double cpus = 0;
        for (TaskId running : machineOfTask.keySet()) {
            JobDescription job = job(running.jobId());
            cpus += job.team().equals(team) ? job.cpus() : 0;
        }
        return cpus;
    }

    /** How many teams have a task that waits and does not fit below their limit. */
    int teamsAtLimit() {
        return (int) settings.teams().stream().filter(this::isAtLimit).count();
    }

    private boolean isAtLimit(Team team) {
        double freeCpus = team.cpusMax() - cpusUsedBy(team.name());
        for (String jobId : acceptedMicros.keySet()) {
            JobDescription job = job(jobId);
            if (job.team().equals(team.name())
                    && !hasFinalStatus(jobId)
                    && job.cpus() > freeCpus
                    && hasWaitingTask(job)) {
                return true;
            }
        }
        return false;
    }
}
