package org.woadloom.core.machines;

import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.liveness.AgentLiveness;
import org.woadloom.protocol.Heartbeat;

/**
 * What follows for an attempt from a message of its machine's agent that does not list it. This is
 * the only place that decides from a missing entry that an attempt is gone.
 */
enum LossProof {
    /** The agent had the task and has it no longer. */
    NO_LONGER_LISTED("no longer reported"),
    /** The start was not executed, and the agent will refuse it when it arrives late. */
    START_NEVER_ARRIVED("the launch never arrived"),
    /**
     * A task that an earlier leader may have started; no command of that leader is accepted now.
     */
    NOT_RECOVERED("not found by the new leader"),
    /** The answer that carried the start was not executed, so the start may be sent again. */
    START_NOT_EXECUTED(null),
    /** The attempt may still be there, or may still be started. */
    NONE(null);

    private final String lossReason;

    LossProof(String lossReason) {
        this.lossReason = lossReason;
    }

    /** True if the attempt is proven to be gone. */
    boolean provesLoss() {
        return lossReason != null;
    }

    /** The reason for the log, of a proof of loss. */
    String lossReason() {
        return lossReason;
    }

    /**
     * @param heartbeat a message without the attempt, which is no duplicate
     * @param ownHeartbeat the message is a heartbeat that the agent sent of its own, and no answer
     *     to a direct command
     */
    static LossProof of(TaskAttempt attempt, Heartbeat heartbeat, boolean ownHeartbeat, long term) {
        return switch (attempt.stage()) {
            case CONFIRMED -> NO_LONGER_LISTED;
                // The agent refuses the token under which the start was sent from here on.
            case UNANSWERED ->
                    heartbeat.fencingToken() > attempt.startToken() ? START_NEVER_ARRIVED : NONE;
                // An agent has one heartbeat in flight: this one was made after the answer was
                // executed
                // or dropped.
            case SENT_IN_RESPONSE ->
                    ownHeartbeat && heartbeat.sequence() > attempt.startHeartbeatSequence()
                            ? START_NOT_EXECUTED
                            : NONE;
            case RECOVERED ->
                    heartbeat.fencingToken() >> AgentLiveness.FENCE_BITS == term
                            ? NOT_RECOVERED
                            : NONE;
                // PLANNED and READY were never sent; SENT is settled by the answer to the direct
                // command.
            default -> NONE;
        };
    }
}
