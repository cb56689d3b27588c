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
            RuleChecker.Violations violations) {
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

    void onAnswer(UserAnswer answer) {
        checkers.forEach(checker -> checker.onAnswer(answer));
        SoakJob job = jobs.get(answer.jobId());
        if (job == null || !answer.isSuccess()) {
            return;
        }
        job.lastAnsweredMicros = answer.answeredMicros();
        if (!job.isAccepted()) {
            job.acceptedMicros = answer.answeredMicros();
        }
        boolean over = "done".equals(answer.jobStatus()) || "cancelled".equals(answer.jobStatus());
        if (over && !job.isOver()) {
            job.toldStatus = answer.jobStatus();
            job.toldOverMicros = answer.answeredMicros();
        }
    }

    void onTaskStarted(TaskStart start) {
        checkers.forEach(checker -> checker.onTaskStarted(start));
    }

    void onTaskGone(String machine, String taskId) {
        checkers.forEach(checker -> checker.onTaskGone(machine, taskId));
    }

    void onTick(long nowMicros) {
        checkers.forEach(checker -> checker.onTick(nowMicros));
    }

    void onFaultsOver(long nowMicros) {
        unanswered.onFaultsOver(nowMicros);
    }

    /** {@code forgotten}: an accepted job is unknown or refused. */
    static final class KnownJobChecker extends RuleChecker {
        KnownJobChecker(Map<String, SoakJob> jobs, Violations violations) {
            super("forgotten", jobs, violations);
        }

        @Override
        void onAnswer(UserAnswer answer) {
            SoakJob job = jobs.get(answer.jobId());
            if (job != null && job.acceptedMicros <= answer.askedMicros()) {
                boolean unknown = answer.status() == UserAnswer.NOT_FOUND;
                boolean refused =
                        answer.status() == UserAnswer.BAD_REQUEST
                                || answer.status() == UserAnswer.NEVER_RUNNABLE;
                check(!unknown && !refused, answer.toString());
            }
        }
    }

    /** {@code invented}: a job that nobody submitted is known. */
    static final class InventedJobChecker extends RuleChecker {
        InventedJobChecker(Map<String, SoakJob> jobs, Violations violations) {
            super("invented", jobs, violations);
        }

        @Override
        void onAnswer(UserAnswer answer) {
            if (!jobs.containsKey(answer.jobId())) {
                check(!answer.isSuccess(), answer.toString());
            }
        }
    }

    /** {@code unanswered}: 75 s after all faults an accepted job has had no answer. */
    static final class UnansweredChecker extends RuleChecker {
        static final long MAX_MICROS = 75_000_000;
        private long faultsOverMicros = SoakJob.NEVER;
        private boolean checked;

        UnansweredChecker(Map<String, SoakJob> jobs, Violations violations) {
            super("unanswered", jobs, violations);
        }

        void onFaultsOver(long nowMicros) {
            faultsOverMicros = nowMicros;
        }

        boolean isAnsweredSinceFaults(SoakJob job) {
            return job.lastAnsweredMicros > faultsOverMicros;
        }

        private boolean isDue(SoakJob job) {
            return job.acceptedMicros < faultsOverMicros;
        }

        @Override
        void onTick(long nowMicros) {
            if (checked || faultsOverMicros == SoakJob.NEVER) {
                return;
            }
            List<SoakJob> due = jobs.values().stream().filter(this::isDue).toList();
            boolean allAnswered = due.stream().allMatch(this::isAnsweredSinceFaults);
            if (allAnswered || nowMicros - faultsOverMicros >= MAX_MICROS) {
                checked = true;
                due.forEach(
                        job ->
                                check(
                                        isAnsweredSinceFaults(job),
                                        job.jobId + " has had no answer for 75 s"));
            }
        }

        boolean isChecked() {
            return checked;
        }
    }

    /** {@code went_back}: a status is older than what was told before the question came. */
    static final class FinalStatusChecker extends RuleChecker {
        FinalStatusChecker(Map<String, SoakJob> jobs, Violations violations) {
            super("went_back", jobs, violations);
        }

        @Override
        void onAnswer(UserAnswer answer) {
            SoakJob job = jobs.get(answer.jobId());
            if (job == null || !answer.isSuccess() || answer.jobStatus() == null) {
                return;
            }
            if (job.toldOverMicros <= answer.askedMicros()) {
                check(job.toldStatus.equals(answer.jobStatus()), "was over: " + answer);
            }
            if (answer.jobStatus().equals("cancelled")) {
                check(
                        job.cancelAskedMicros <= answer.answeredMicros(),
                        "nobody cancelled it: " + answer);
            }
        }
    }

    /** {@code not_done}: a job is called done before all of its tasks are. */
    static final class CompletionChecker extends RuleChecker {
        CompletionChecker(Map<String, SoakJob> jobs, Violations violations) {
            super("not_done", jobs, violations);
        }

        @Override
        void onAnswer(UserAnswer answer) {
            SoakJob job = jobs.get(answer.jobId());
            if (job != null && answer.isSuccess() && "done".equals(answer.jobStatus())) {
                check(
                        job.isComplete(),
                        job.completedTasks.cardinality() + " of " + job.tasks + ": " + answer);
            }
        }
    }

    /** {@code ran_twice}: a task starts on one machine while it is on another. */
    static final class SingleExecutionChecker extends RuleChecker {
        private final Map<String, String> machineOfTask = new HashMap<>();

        SingleExecutionChecker(Map<String, SoakJob> jobs, Violations violations) {
            super("ran_twice", jobs, violations);
        }

        @Override
        void onTaskStarted(TaskStart start) {
            String other = machineOfTask.put(start.taskId(), start.machine().name());
            check(other == null, start.taskId() + " on " + start.machine() + " and " + other);
        }

        @Override
        void onTaskGone(String machine, String taskId) {
            machineOfTask.remove(taskId, machine);
        }
    }

    /** {@code ran_cancelled}: a task is on a machine too long after its cancellation was told. */
    static final class CancelledTaskChecker extends RuleChecker {
        private final long cancelMicros;
        private final Map<String, TaskStart> running = new HashMap<>();

        CancelledTaskChecker(Map<String, SoakJob> jobs, long cancelMicros, Violations violations) {
            super("ran_cancelled", jobs, violations);
            this.cancelMicros = cancelMicros;
        }

        private boolean isOverdue(SoakJob job, long nowMicros) {
            return "cancelled".equals(job.toldStatus)
                    && nowMicros - job.toldOverMicros > cancelMicros;
        }

        @Override
        void onTaskStarted(TaskStart start) {
            running.put(start.taskId(), start);
            check(!isOverdue(start.job(), start.micros()), start.toString());
        }

        @Override
        void onTaskGone(String machine, String taskId) {
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
        private static final double ROUNDING = 1e-6;
        private final Map<String, Double> limits;
        private final Map<String, TaskStart> running = new HashMap<>();

        QuotaChecker(Map<String, SoakJob> jobs, Map<String, Double> limits, Violations violations) {
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
            check(used <= limits.get(team) + ROUNDING, team + " uses " + used);
        }

        @Override
        void onTaskGone(String machine, String taskId) {
            running.remove(machine + " " + taskId);
        }
    }

    /** {@code wrong_place}: a task starts where its job does not allow it. */
    static final class PlacementChecker extends RuleChecker {
        PlacementChecker(Map<String, SoakJob> jobs, Violations violations) {
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
    boolean isUnansweredRuleChecked() {
        return unanswered.isChecked();
    }
}
