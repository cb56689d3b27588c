package org.woadloom.sim;

import java.util.Collection;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.TaskId;

/**
 * One rule of the protocol. A subclass overrides what it has to see, and throws an {@link
 * InvariantViolation} where its rule is broken. {@link InvariantChecker} calls all of them in a
 * fixed order. An invariant must not draw random numbers or schedule anything: the simulation runs
 * alike with it and without it.
 */
abstract class Invariant {
    /** A task is about to run on a machine; {@link ObservedState} does not have it there yet. */
    void beforeTaskStart(TaskId task, JobDescription job, SimulatedAgent agent) {}

    /** A task runs on a machine, and {@link ObservedState} has it there. */
    void afterTaskStart(TaskId task, JobDescription job) {}

    /** A task is no longer on its machine, for whatever reason. */
    void onTaskEnd(JobDescription job) {}

    /** Any answer to a user, before {@link ObservedState} learns from it. */
    void onAnswer(UserAnswer answer) {}

    /** An answer with a job's status; the job counts as accepted already. */
    void onJobStatus(UserAnswer answer) {}

    /** One step of the event loop is over. Called very often. */
    void afterStep() {}

    /** Called every two simulated seconds with all machines. */
    void checkProgress(Collection<SimulatedAgent> agents) {}
}
