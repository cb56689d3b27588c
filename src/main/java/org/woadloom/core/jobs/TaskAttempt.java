package org.woadloom.core.jobs;

import org.woadloom.core.machines.Machine;
import org.woadloom.protocol.TaskId;
import org.woadloom.protocol.TaskStatus;

/**
 * One attempt to run a task on a machine. It counts against the machine's resources and the team's
 * quota from when it is planned until there is proof that the agent does not have it and can no
 * longer start it.
 *
 * <p>The start command reaches the agent either as a direct command, that is, in a request from the
 * leader to the agent, or in the response to one of the agent's heartbeats.
 *
 * <p>Only the methods of this class change its {@link Stage}:
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
 *     <td>the start is sent as a direct command</td></tr>
 * <tr><td>{@link #onStartSentInResponse}</td><td>READY</td><td>SENT_IN_RESPONSE</td>
 *     <td>the start is sent in the response to a heartbeat</td></tr>
 * <tr><td>{@link #markReady}</td><td>SENT, SENT_IN_RESPONSE</td><td>READY</td>
 *     <td>the start command provably was not executed</td></tr>
 * <tr><td>{@link #onStartUnanswered}</td><td>SENT</td><td>UNANSWERED</td>
 *     <td>the direct command got no response</td></tr>
 * <tr><td>{@link #onConfirmed}</td><td>any but PLANNED</td><td>CONFIRMED</td>
 *     <td>the agent acknowledges or lists it</td></tr>
 * </table>
 *
 * <p>Whether the task is to stop is independent of the stage.
 */
public final class TaskAttempt {
    /** Progress of the start command. */
    public enum Stage {
        /** The task is placed; the record that names the attempt is not known to be durable. */
        PLANNED,
        /** A durable record names the attempt; the start command has not been sent. */
        READY,
        /** The start command was sent as a direct command; its response is awaited. */
        SENT,
        /**
         * The start command was sent as a direct command and got no response; the agent may still
         * execute the command minutes later.
         */
        UNANSWERED,
        /**
         * The start command was sent in the response to a heartbeat; the agent's next heartbeat
         * shows whether the command was executed.
         */
        SENT_IN_RESPONSE,
        /** The agent has acknowledged or listed the attempt. */
        CONFIRMED,
        /**
         * The attempt was loaded from a record that an earlier leader wrote. Its start command may
         * never have been sent, or the task may be running or have ended.
         */
        RECOVERED
    }

    /** Placeholder for the time of an event that has not happened. */
    private static final long NOT_YET_MICROS = -1;

    public final Job job;

    public final int taskIndex;

    public final Machine machine;

    /** Unique among the attempts of the task, also across leaders. */
    public final long attemptNumber;

    /** The first version of the job's record that names this attempt. */
    public final long recordVersion;

    public final long placedMicros;
    private final TaskId taskId;
    private Stage stage = Stage.PLANNED;
    private long directStartToken;
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

    /** True if no start command for this attempt can have been sent. */
    public boolean wasNeverSent() {
        return stage == Stage.PLANNED || stage == Stage.READY;
    }

    /** Marks the attempt as loaded from a record that an earlier leader wrote. */
    public void onRecovered() {
        stage = Stage.RECOVERED;
    }

    /** Allows the start command to be sent, or sent again. */
    public void markReady() {
        stage = Stage.READY;
        machine.markPendingCommands();
    }

    /** Records that the start was sent as a direct command with the given fencing token. */
    public void onStartSent(long token) {
        stage = Stage.SENT;
        directStartToken = token;
    }

    /**
     * Records that the start was sent in the response to the heartbeat with the given sequence
     * number.
     */
    public void onStartSentInResponse(long sequence) {
        stage = Stage.SENT_IN_RESPONSE;
        startHeartbeatSequence = sequence;
    }

    /** Records that the direct command with the start got no response. */
    public void onStartUnanswered() {
        stage = Stage.UNANSWERED;
    }

    /** Records that the agent has acknowledged or listed it. */
    public void onConfirmed() {
        stage = Stage.CONFIRMED;
    }

    /**
     * The fencing token of the last direct command that started it; 0 if this leader has sent none.
     */
    public long directStartToken() {
        return directStartToken;
    }

    /** The sequence number of the heartbeat whose response last carried the start command. */
    public long startHeartbeatSequence() {
        return startHeartbeatSequence;
    }

    /** The state last reported by the agent, or null before the first report. */
    public TaskStatus.State reportedState() {
        return reportedState;
    }

    public void onReported(TaskStatus.State state) {
        reportedState = state;
    }

    /** The number of the agent's latest message that listed this attempt. */
    public long lastListingMessage() {
        return lastListingMessage;
    }

    public void onListedInMessage(long messageNumber) {
        lastListingMessage = messageNumber;
    }

    /** When the agent first reported it as running; negative before that. */
    public long runningSinceMicros() {
        return runningSinceMicros;
    }

    public void onRunning(long nowMicros) {
        runningSinceMicros = nowMicros;
    }

    /** True once the task is to stop. Its start command is not sent again then. */
    public boolean isStopping() {
        return isStopping;
    }

    /** Requests that the task stops, with the given time to save a checkpoint. */
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

    /** When the stop command was last sent; negative while it has yet to be sent. */
    public long stopSentMicros() {
        return stopSentMicros;
    }

    public void onStopSent(long nowMicros) {
        stopSentMicros = nowMicros;
    }

    /** Requests that the stop command is sent again, because it may not have arrived. */
    public void resendStop() {
        stopSentMicros = NOT_YET_MICROS;
    }
}
