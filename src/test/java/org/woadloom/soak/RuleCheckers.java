package org.woadloom.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The rules, a class each, and the facts about jobs that they share. */
final class RuleCheckers {
    private final Map<String, SoakJob> jobs;
    private final List<RuleChecker> checkers = new ArrayList<>();
    private final UnansweredChecker unanswered;

    RuleCheckers(
            Map<String, SoakJob> jobs,
            Map<String, Double> limits,
            long cancelMicros,
            RuleChecker.ViolationLog violations) {
        this.jobs = jobs;
        unanswered = new UnansweredChecker(jobs, violations);
        checkers.add(new KnownJobChecker(jobs, violations));
        checkers.add(new InventedJobChecker(jobs, violations));
        checkers.add(unanswered);
        checkers.add(new FinalStatusChecker(jobs, violations));
        checkers.add(new CompletionChecker(jobs, violations));
        checkers.add(new SingleExecutionChecker(jobs, violations));
        checkers.add(new CancelledTaskChecker(jobs, cancelMicros, violations));
        checkers.add(new QuotaChecker(jobs, limits, violations));
        checkers.add(new PlacementChecker(jobs, violations));
    }

    List<RuleChecker> all() {
        return checkers;
    }

    void onResponse(UserResponse response) {
        checkers.forEach(checker -> checker.onResponse(response));
        SoakJob job = jobs.get(response.jobId());
        if (job == null || !response.isSuccess()) {
            return;
        }
        job.lastResponseMicros = response.receivedMicros();
        if (!job.isAccepted()) {
            job.acceptedMicros = response.receivedMicros();
        }
        boolean isFinal =
                "done".equals(response.jobStatus()) || "cancelled".equals(response.jobStatus());
        if (isFinal && !job.hasFinalStatus()) {
            job.finalStatus = response.jobStatus();
            job.finalStatusMicros = response.receivedMicros();
        }
    }

    void onTaskStarted(TaskStart start) {
        checkers.forEach(checker -> checker.onTaskStarted(start));
    }

    void onTaskStopped(String machine, String taskId) {
        checkers.forEach(checker -> checker.onTaskStopped(machine, taskId));
    }

    void onTick(long nowMicros) {
        checkers.forEach(checker -> checker.onTick(nowMicros));
    }

    void onFaultsEnded(long nowMicros) {
        unanswered.onFaultsEnded(nowMicros);
    }

    /** {@code forgotten}: an accepted job is unknown or refused. */
    static final class KnownJobChecker extends RuleChecker {
        KnownJobChecker(Map<String, SoakJob> jobs, ViolationLog violations) {
            super("forgotten", jobs, violations);
        }

        @Override
        void onResponse(UserResponse response) {
            SoakJob job = jobs.get(response.jobId());
            if (job != null && job.acceptedMicros <= response.sentMicros()) {
                boolean unknown = response.status() == UserResponse.NOT_FOUND;
                boolean refused =
                        response.status() == UserResponse.BAD_REQUEST
                                || response.status() == UserResponse.UNPROCESSABLE;
                check(!unknown && !refused, response.toString());
            }
        }
    }

    /** {@code invented}: a job that nobody submitted is known. */
    static final class InventedJobChecker extends RuleChecker {
        InventedJobChecker(Map<String, SoakJob> jobs, ViolationLog violations) {
            super("invented", jobs, violations);
        }

        @Override
        void onResponse(UserResponse response) {
            if (!jobs.containsKey(response.jobId())) {
                check(!response.isSuccess(), response.toString());
            }
        }
    }

    /** {@code unanswered}: 75 s after all faults an accepted job has had no answer. */
    static final class UnansweredChecker extends RuleChecker {
        static final long RESPONSE_DEADLINE_MICROS = 75_000_000;
        private long faultsEndedMicros = SoakJob.NEVER;
        private boolean complete;

        UnansweredChecker(Map<String, SoakJob> jobs, ViolationLog violations) {
            super("unanswered", jobs, violations);
        }

        void onFaultsEnded(long nowMicros) {
            faultsEndedMicros = nowMicros;
        }

        boolean isAnsweredSinceFaults(SoakJob job) {
            return job.lastResponseMicros > faultsEndedMicros;
        }

        private boolean isDue(SoakJob job) {
            return job.acceptedMicros < faultsEndedMicros;
        }

        @Override
        void onTick(long nowMicros) {
            if (complete || faultsEndedMicros == SoakJob.NEVER) {
                return;
            }
            List<SoakJob> due = jobs.values().stream().filter(this::isDue).toList();
            boolean allAnswered = due.stream().allMatch(this::isAnsweredSinceFaults);
            if (allAnswered || nowMicros - faultsEndedMicros >= RESPONSE_DEADLINE_MICROS) {
                complete = true;
                due.forEach(
                        job ->
                                check(
                                        isAnsweredSinceFaults(job),
                                        job.jobId + " has had no answer for 75 s"));
            }
        }

        boolean isComplete() {
            return complete;
        }
    }

    /** {@code went_back}: a status is older than what was told before the question came. */
    static final class FinalStatusChecker extends RuleChecker {
        FinalStatusChecker(Map<String, SoakJob> jobs, ViolationLog violations) {
            super("went_back", jobs, violations);
        }

        @Override
        void onResponse(UserResponse response) {
            SoakJob job = jobs.get(response.jobId());
            if (job == null || !response.isSuccess() || response.jobStatus() == null) {
                return;
            }
            if (job.finalStatusMicros <= response.sentMicros()) {
                check(job.finalStatus.equals(response.jobStatus()), "was over: " + response);
            }
            if (response.jobStatus().equals("cancelled")) {
                check(
                        job.cancelRequestedMicros <= response.receivedMicros(),
                        "nobody cancelled it: " + response);
            }
        }
    }

    /** {@code not_done}: a job is called done before all of its tasks are. */
    static final class CompletionChecker extends RuleChecker {
        CompletionChecker(Map<String, SoakJob> jobs, ViolationLog violations) {
            super("not_done", jobs, violations);
        }

        @Override
        void onResponse(UserResponse response) {
            SoakJob job = jobs.get(response.jobId());
            if (job != null && response.isSuccess() && "done".equals(response.jobStatus())) {
                check(
                        job.isComplete(),
                        job.completedTasks.cardinality() + " of " + job.tasks + ": " + response);
            }
        }
    }

    /** {@code ran_twice}: a task starts on one machine while it is on another. */
    static final class SingleExecutionChecker extends RuleChecker {
        private final Map<String, String> machineOfTask = new HashMap<>();

        SingleExecutionChecker(Map<String, SoakJob> jobs, ViolationLog violations) {
            super("ran_twice", jobs, violations);
        }

        @Override
        void onTaskStarted(TaskStart start) {
            String otherMachine = machineOfTask.put(start.taskId(), start.machine().name());
            check(
                    otherMachine == null,
                    start.taskId() + " on " + start.machine() + " and " + otherMachine);
        }

        @Override
        void onTaskStopped(String machine, String taskId) {
            machineOfTask.remove(taskId, machine);
        }
    }

    /** {@code ran_cancelled}: a task is on a machine too long after its cancellation was told. */
    static final class CancelledTaskChecker extends RuleChecker {
        private final long cancelMicros;
        private final Map<String, TaskStart> running = new HashMap<>();

        CancelledTaskChecker(
                Map<String, SoakJob> jobs, long cancelMicros, ViolationLog violations) {
            super("ran_cancelled", jobs, violations);
            this.cancelMicros = cancelMicros;
        }

        private boolean isOverdue(SoakJob job, long nowMicros) {
            return "cancelled".equals(job.finalStatus)
                    && nowMicros - job.finalStatusMicros > cancelMicros;
        }

        @Override
        void onTaskStarted(TaskStart start) {
            running.put(start.taskId(), start);
            check(!isOverdue(start.job(), start.startedMicros()), start.toString());
        }

        @Override
        void onTaskStopped(String machine, String taskId) {
            TaskStart start = running.get(taskId);
            if (start != null && start.machine().name().equals(machine)) {
                running.remove(taskId);
            }
        }

        @Override
        void onTick(long nowMicros) {
            running.values()
                    .forEach(start -> check(!isOverdue(start.job(), nowMicros), start.toString()));
        }
    }

    /** {@code quota}: a team's tasks use more than its limit. */
    static final class QuotaChecker extends RuleChecker {
        private static final double ROUNDING_TOLERANCE = 1e-6;
        private final Map<String, Double> limits;
        private final Map<String, TaskStart> running = new HashMap<>();

        QuotaChecker(
                Map<String, SoakJob> jobs, Map<String, Double> limits, ViolationLog violations) {
            super("quota", jobs, violations);
            this.limits = limits;
        }

        @Override
        void onTaskStarted(TaskStart start) {
            running.put(start.machine().name() + " " + start.taskId(), start);
            String team = start.job().team;
            double used =
                    running.values().stream()
                            .filter(other -> other.job().team.equals(team))
                            .mapToDouble(other -> other.job().cpus)
                            .sum();
            check(used <= limits.get(team) + ROUNDING_TOLERANCE, team + " uses " + used);
        }

        @Override
        void onTaskStopped(String machine, String taskId) {
            running.remove(machine + " " + taskId);
        }
    }

    /** {@code wrong_place}: a task starts where its job does not allow it. */
    static final class PlacementChecker extends RuleChecker {
        PlacementChecker(Map<String, SoakJob> jobs, ViolationLog violations) {
            super("wrong_place", jobs, violations);
        }

        @Override
        void onTaskStarted(TaskStart start) {
            SoakJob job = start.job();
            boolean zoneFits = job.zone == null || job.zone.equals(start.machine().zone());
            boolean kindFits = job.spotAllowed || !start.machine().spot();
            check(zoneFits && kindFits, start.toString());
        }
    }

    /** Whether every job that was accepted before the end of the faults was answered or judged. */
    boolean isUnansweredCheckComplete() {
        return unanswered.isComplete();
    }
}
