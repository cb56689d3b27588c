package org.woadloom.sim;

import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.TaskId;

/** {@link ProtocolRule#RAN_TWICE}: a task runs on at most one machine at a time. */
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
                    task + " starts on " + agent.host + " while it runs on " + other.host);
        }
    }
}
