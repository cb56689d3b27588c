package org.woadloom.core.jobs;

import org.woadloom.core.machines.Machine;
import org.woadloom.protocol.TaskId;
import org.woadloom.protocol.TaskStatus;

/**
 * A task that is, or may be, on a machine under one attempt. It counts for everything from the
 * moment it is decided until there is proof that the attempt is not there and never will be.
 */
public final class TaskAttempt {
    /** How far the launch has come. */
    public enum Stage {
        /** Decided; the record that names it is not yet known to be durable. */
        PLANNED,
        /** Durable and not sent. */
        READY,
        /** Sent straight to the worker, with no answer yet. */
        SENT,
        /** Sent straight to the worker, and no answer came: it may be executed minutes late. */
        UNANSWERED,
        /** Sent in the answer to a report; that worker's next report settles it. */
        SENT_IN_ANSWER,
        /** The worker is known to have it. */
        CONFIRMED,
        /** Loaded from a record that an earlier leader wrote: anything may be true of it. */
        RECOVERED
    }

    public final Job job;
    public final int index;
    public final Machine machine;
    public final long attempt;

    /** The version of the job's record that first names this placement. */
    public final long version;

    public final long placedMicros;
    public Stage stage = Stage.PLANNED;

    /** The token under which the last launch was sent. */
    public long startToken;

    public long answeredSequence;
    public TaskStatus.State reportedState;

    /** The last message that listed it. */
    public long listedInMessage;

    public long runningSinceMicros = -1;
    private final TaskId task;
    private boolean isStopping;
    public long stopSentMicros = -1;
    public double gracePeriodSeconds;

    public TaskAttempt(
            Job job, int index, Machine machine, long attempt, long version, long nowMicros) {
        this.job = job;
        this.index = index;
        this.machine = machine;
        this.attempt = attempt;
        this.version = version;
        this.placedMicros = nowMicros;
        this.task = new TaskId(job.jobId(), index);
    }

    public TaskId task() {
        return task;
    }

    /** True for a task that is to stop; its launch is never sent again. */
    public boolean isStopping() {
        return isStopping;
    }

    /** The task is to stop, with this much time to save. */
    public void stop(double gracePeriod) {
        gracePeriodSeconds = gracePeriod;
        if (!isStopping) {
            isStopping = true;
            machine.onStopping(this);
        }
    }

    /** The launch may be sent, or sent again. */
    public void markReady() {
        stage = Stage.READY;
        machine.markPendingCommands();
    }

    /** True while no launch of this attempt can ever have left. */
    public boolean wasNeverSent() {
        return stage == Stage.PLANNED || stage == Stage.READY;
    }
}
