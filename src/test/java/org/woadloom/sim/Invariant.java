package org.woadloom.sim;

import java.util.Collection;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.TaskId;

/**
 * Checks one rule of the protocol during a simulation. Subclasses override the callbacks they need
 * and throw an {@link InvariantViolation} if the rule is broken. {@link InvariantChecker} calls all
 * invariants in a fixed order. An invariant must not draw random numbers or schedule tasks, so that
 * it does not influence the simulation.
 */
abstract class Invariant {
    /** Called before the start of a task is recorded in {@link ObservedState}. */
    void beforeTaskStart(TaskId task, JobDescription job, SimulatedAgent agent) {}

    /** Called after the start of a task was recorded in {@link ObservedState}. */
    void afterTaskStart(TaskId task, JobDescription job) {}

    /** Called when a task of the job leaves its machine, for any reason. */
    void onTaskEnd(JobDescription job) {}

    /** Called for every answer to a user, before {@link ObservedState} is updated from it. */
    void onAnswer(UserAnswer answer) {}

    /** Called for an answer with a job's status, after the job was recorded as accepted. */
    void onJobStatus(UserAnswer answer) {}

    /** Called after every step of the event loop, so it must be cheap. */
    void afterStep() {}

    /** Called every two simulated seconds with the agents of all machines. */
    void checkProgress(Collection<SimulatedAgent> agents) {}
}
