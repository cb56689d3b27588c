package org.woadloom.sim;

import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.TaskId;
import org.woadloom.settings.ServiceSettings;

/**
 * {@link ProtocolRule#RAN_CANCELLED}: no task of a cancelled job runs, and none starts, once the
 * cancellation time limit has passed since a user was first told that the job is cancelled.
 */
final class CancelledTasksInvariant extends Invariant {
    private final SimulatedEventLoop loop;
    private final ObservedState observed;
    private final long cancelMicros;

    CancelledTasksInvariant(
            SimulatedEventLoop loop, ObservedState observed, ServiceSettings settings) {
        this.loop = loop;
        this.observed = observed;
        this.cancelMicros = settings.agents().cancelMicros();
    }

    @Override
    void afterTaskStart(TaskId task, JobDescription job) {
        check(task);
    }

    @Override
    void afterStep() {
        if (observed.hasCancelledJobs()) {
            observed.runningTasks().forEach(this::check);
        }
    }

    private void check(TaskId task) {
        Long reportedMicros = observed.cancellationReportedMicros(task.jobId());
        if (reportedMicros != null && loop.now() - reportedMicros > cancelMicros) {
            throw new InvariantViolation(
                    ProtocolRule.RAN_CANCELLED,
                    task
                            + " is on a machine "
                            + (loop.now() - reportedMicros)
                            + " us after its cancellation was reported, allowed are "
                            + cancelMicros
                            + " us");
        }
    }
}
