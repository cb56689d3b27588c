package org.woadloom.sim;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.TaskId;
import org.woadloom.settings.ServiceSettings;

/**
 * Takes what happens in a simulation, has every {@link Invariant} judge it, and keeps {@link
 * ObservedState}. Where several rules are broken at once, the first in the list is reported.
 */
final class InvariantChecker {
    private final ObservedState observed;
    private final Consumer<String> onLastTaskDone;
    private final List<Invariant> invariants;

    /**
     * @param onLastTaskDone is given each job whose last task has just been completed
     */
    InvariantChecker(
            SimulatedEventLoop loop,
            ServiceSettings settings,
            ObservedState observed,
            Consumer<String> onLastTaskDone) {
        this.observed = observed;
        this.onLastTaskDone = onLastTaskDone;
        this.invariants =
                List.of(
                        new DependencyOrderInvariant(observed),
                        new SingleExecutionInvariant(observed),
                        new PlacementInvariant(observed),
                        new QuotaInvariant(observed, settings),
                        new CancelledTasksInvariant(loop, observed, settings),
                        new AdmissionInvariant(observed),
                        new KnownJobsInvariant(observed),
                        new DurableAcceptanceInvariant(loop, observed),
                        new FinalStatusInvariant(observed),
                        new OrphanedDependentInvariant(observed, settings),
                        new CompletionInvariant(observed),
                        new ProgressInvariant(loop, observed, settings));
    }

    /** A task has its image and runs on a machine. */
    void onTaskStarted(TaskId task, SimulatedAgent agent) {
        JobDescription job = observed.job(task.jobId());
        invariants.forEach(invariant -> invariant.beforeTaskStart(task, job, agent));
        observed.recordTaskStart(task, agent);
        invariants.forEach(invariant -> invariant.afterTaskStart(task, job));
    }

    /** A task is no longer on its machine: completed, stopped, killed or lost. */
    void onTaskEnded(TaskId task, SimulatedAgent agent, boolean completed) {
        JobDescription job = observed.job(task.jobId());
        invariants.forEach(invariant -> invariant.onTaskEnd(job));
        observed.recordTaskEnd(task, agent);
        if (completed && observed.recordTaskDone(task)) {
            onLastTaskDone.accept(task.jobId());
        }
    }

    /**
     * A user gets an answer.
     *
     * @param sentMicros when the request was sent
     */
    void onAnswer(
            UserRequest request,
            String jobId,
            long sentMicros,
            int status,
            Map<String, Object> body) {
        UserAnswer answer =
                new UserAnswer(request, jobId, sentMicros, status, (String) body.get("status"));
        invariants.forEach(invariant -> invariant.onAnswer(answer));
        if (!answer.isSuccess()) {
            return;
        }
        observed.recordAccepted(jobId);
        invariants.forEach(invariant -> invariant.onJobStatus(answer));
        if (answer.isFinal()) {
            observed.recordFinalStatus(answer);
        }
    }

    /** Checks what must hold at all times. */
    void afterStep() {
        for (Invariant invariant : invariants) {
            invariant.afterStep();
        }
    }

    /** Checks that nothing waits without a reason; called every two simulated seconds. */
    void checkProgress(Collection<SimulatedAgent> agents) {
        invariants.forEach(invariant -> invariant.checkProgress(agents));
    }
}
