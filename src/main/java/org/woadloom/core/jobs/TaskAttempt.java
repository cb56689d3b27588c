package org.woadloom.core.jobs;

import org.woadloom.core.machines.Machine;
import org.woadloom.protocol.TaskId;
import org.woadloom.protocol.TaskStatus;

/**
 * One attempt to run a task on a machine. It counts against machine and quota from the moment it is
 * planned until there is proof that it is not on the machine and never will be.
 *
 * <p>Its {@link Stage} changes only in the methods of this class:
 *
 * <table>
 * <caption>Transitions</caption>
 * <tr><th>method</th><th>from</th><th>to</th><th>when</th></tr>
 * <tr><td>constructor</td><td></td><td>PLANNED</td><td>the task is placed</td></tr>
 * <tr><td>{@link #onRecovered}</td><td>PLANNED</td><td>RECOVERED</td>
 *     <td>a new leader loads it from a record</td></tr>
 * <tr><td>{@link #markReady}</td><td>PLANNED</td><td>READY</td>
 *     <td>the record that names it is durable</td></tr>
 * <tr><td>{@link #onStartSent}</td><td>READY</td><td>SENT</td>
 *     <td>a direct command leaves</td></tr>
 * <tr><td>{@link #onStartSentInResponse}</td><td>READY</td><td>SENT_IN_RESPONSE</td>
 *     <td>a heartbeat is answered</td></tr>
 * <tr><td>{@link #markReady}</td><td>SENT, SENT_IN_RESPONSE</td><td>READY</td>
 *     <td>the command is proven not to have been executed</td></tr>
 * <tr><td>{@link #onStartUnanswered}</td><td>SENT</td><td>UNANSWERED</td>
 *     <td>no answer came to the direct command</td></tr>
 * <tr><td>{@link #onConfirmed}</td><td>any but PLANNED</td><td>CONFIRMED</td>
 *     <td>the agent answers or lists it</td></tr>
 * </table>
 *
 * <p>That a task is to stop is independent of the stage.
 */
public final class TaskAttempt {
    /** How far the start has come. */
    public enum Stage {
        /** Decided; the record that names it is not yet known to be durable. */
        PLANNED,
        /** Durable and not sent. */
        READY,
        /** Sent directly to the agent, with no answer yet. */
        SENT,
        /** Sent directly to the agent without an answer: it may be executed minutes late. */
        UNANSWERED,
        /** Sent in the answer to a heartbeat; that agent's next heartbeat settles it. */
        SENT_IN_RESPONSE,
        /** The agent is known to have it. */
        CONFIRMED,
        /** Loaded from a record that an earlier leader wrote: anything may be true of it. */
        RECOVERED
    }

    /** In place of a time: it has not happened. */
    private static final long NOT_YET_MICROS = -1;

    public final Job job;

    /** The task's index in its job. */
    public final int taskIndex;

    public final Machine machine;

    /** The attempt's number, which no other attempt of the task has. */
    public final long attemptNumber;

    /** The version of the job's record that first names this attempt. */
    public final long recordVersion;

    public final long placedMicros;
    private final TaskId taskId;
    private Stage stage = Stage.PLANNED;
    private long startToken;
    private long startHeartbeatSequence;
    private TaskStatus.State reportedState;
    private long lastListingMessage;
    private long runningSinceMicros = NOT_YET_MICROS;
    private boolean isStopping;
    private long stopSentMicros = NOT_YET_MICROS;
    private double gracePeriodSeconds;

    public TaskAttempt(
            Job job, int index, Machine machine, long attempt, long version, long nowMicros) {
        this.job = job;
        this.taskIndex = index;
        this.machine = machine;
        this.attemptNumber = attempt;
        this.recordVersion = version;
        this.placedMicros = nowMicros;
        this.taskId = new TaskId(job.jobId(), index);
    }

    public TaskId taskId() {
        return taskId;
    }

    public Stage stage() {
        return stage;
    }

    /** True while no start command of this attempt can ever have left. */
    public boolean wasNeverSent() {
        return stage == Stage.PLANNED || stage == Stage.READY;
    }

    /** The attempt was read from a record that an earlier leader wrote. */
    public void onRecovered() {
        stage = Stage.RECOVERED;
    }

    /** The start command may be sent, or sent again. */
    public void markReady() {
        stage = Stage.READY;
        machine.markPendingCommands();
    }

    /** The start command leaves, directly, under the given token. */
    public void onStartSent(long token) {
        stage = Stage.SENT;
        startToken = token;
    }

    /** The start command leaves in the answer to the heartbeat of the given sequence. */
    public void onStartSentInResponse(long sequence, long token) {
        stage = Stage.SENT_IN_RESPONSE;
        startHeartbeatSequence = sequence;
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

    /** The fencing token under which the last start command was sent. */
    public long startToken() {
        return startToken;
    }

    /** The sequence of the heartbeat in whose answer the start command was last sent. */
    public long startHeartbeatSequence() {
        return startHeartbeatSequence;
    }

    /** The state that the agent last reported, null before the first. */
    public TaskStatus.State reportedState() {
        return reportedState;
    }

    public void onReported(TaskStatus.State state) {
        reportedState = state;
    }

    /** The number of the last message of the agent that listed it. */
    public long lastListingMessage() {
        return lastListingMessage;
    }

    public void onListedInMessage(long messageNumber) {
        lastListingMessage = messageNumber;
    }

    /** When it was first seen running, negative before that. */
    public long runningSinceMicros() {
        return runningSinceMicros;
    }

    public void onRunning(long nowMicros) {
        runningSinceMicros = nowMicros;
    }

    /** True for a task that is to stop; its start command is never sent again. */
    public boolean isStopping() {
        return isStopping;
    }

    /** The task is to stop within the given time, in which it may save a checkpoint. */
    public void requestStop(double gracePeriod) {
        gracePeriodSeconds = gracePeriod;
        if (!isStopping) {
            isStopping = true;
            machine.onStopping(this);
        }
    }

    public double gracePeriodSeconds() {
        return gracePeriodSeconds;
    }

    /** When the stop command was last sent, negative while it has to be sent. */
    public long stopSentMicros() {
        return stopSentMicros;
    }

    public void onStopSent(long nowMicros) {
        stopSentMicros = nowMicros;
    }

    /** A stop command that was sent may not have arrived: it has to be sent again. */
    public void resendStop() {
        stopSentMicros = NOT_YET_MICROS;
    }
}
