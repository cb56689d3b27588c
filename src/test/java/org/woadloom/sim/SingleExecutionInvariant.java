package org.woadloom.sim;

import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.TaskId;

/** {@link ProtocolRule#RAN_TWICE}: a task is on one machine at most. */
final class SingleExecutionInvariant extends Invariant {
    private final ObservedState observed;

    SingleExecutionInvariant(ObservedState observed) {
        this.observed = observed;
    }

    @Override
    void beforeTaskStart(TaskId task, JobDescription job, SimulatedAgent agent) {
        SimulatedAgent other = observed.machineOf(task);
        if (other != null && other != agent) {
            throw new InvariantViolation(
                    ProtocolRule.RAN_TWICE,
                    task + " starts on " + agent.host + " while on " + other.host);
        }
    }
}
