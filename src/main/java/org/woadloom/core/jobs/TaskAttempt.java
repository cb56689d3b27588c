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
    Stage stage = Stage.PLANNED;

    /** The token under which the last launch was sent. */
    long startToken;

    long answeredSequence;
    TaskStatus.State reportedState;

    /** The last message that listed it. */
    long listedInMessage;

    long runningSinceMicros = -1;
    private final TaskId task;
    private boolean isStopping;
    long stopSentMicros = -1;
    double gracePeriodSeconds;

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

    public Stage stage() {
        return stage;
    }

    /** The token under which the last launch was sent. */
    public long startToken() {
        return startToken;
    }

    public long answeredSequence() {
        return answeredSequence;
    }

    public TaskStatus.State reportedState() {
        return reportedState;
    }

    /** The last message that listed it. */
    public long listedInMessage() {
        return listedInMessage;
    }

    public long runningSinceMicros() {
        return runningSinceMicros;
    }

    public long stopSentMicros() {
        return stopSentMicros;
    }

    public double gracePeriodSeconds() {
        return gracePeriodSeconds;
    }

    /** The attempt was read from a record that an earlier leader wrote. */
    public void onRecovered() {
        stage = Stage.RECOVERED;
    }

    /** The start command leaves, directly, under the given token. */
    public void onStartSent(long token) {
        stage = Stage.SENT;
        startToken = token;
    }

    /** The start command leaves in the answer to the heartbeat of the given sequence. */
    public void onStartSentInAnswer(long sequence, long token) {
        stage = Stage.SENT_IN_ANSWER;
        answeredSequence = sequence;
        startToken = token;
    }

    /** No answer came to the direct command that started it. */
    public void onStartUnanswered() {
        stage = Stage.UNANSWERED;
    }

    /** The agent is known to have it. */
    public void onConfirmed() {
        stage = Stage.CONFIRMED;
    }

    /** The message of this number lists it. */
    public void onListed(long messageNumber) {
        listedInMessage = messageNumber;
    }

    /** It was first seen running at the given time. */
    public void onRunning(long nowMicros) {
        runningSinceMicros = nowMicros;
    }

    /** The agent reports it in this state. */
    public void onReported(TaskStatus.State state) {
        reportedState = state;
    }

    /** The stop command leaves. */
    public void onStopSent(long nowMicros) {
        stopSentMicros = nowMicros;
    }

    /** A stop command that was sent may not have arrived: it has to be sent again. */
    public void requireStopAgain() {
        stopSentMicros = -1;
    }
}
