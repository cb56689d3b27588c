package org.woadloom.sim;

import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.TaskId;

/**
 * {@link ProtocolRule#TOO_EARLY}: a job starts only after all of its dependencies are done. A
 * cancelled job is not done, even if all of its tasks are.
 */
final class DependencyOrderInvariant extends Invariant {
    private final ObservedState observed;

    DependencyOrderInvariant(ObservedState observed) {
        this.observed = observed;
    }

    @Override
    void beforeTaskStart(TaskId task, JobDescription job, SimulatedAgent agent) {
        for (String dependency : job.dependencies()) {
            boolean isCancelled = observed.cancellationReportedMicros(dependency) != null;
            if (isCancelled || !observed.areAllTasksDone(dependency)) {
                throw new InvariantViolation(
                        ProtocolRule.TOO_EARLY,
                        task + " starts before its dependency " + dependency + " is done");
            }
        }
    }
}
