package org.woadloom.core.machines;

import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.liveness.AgentLiveness;
import org.woadloom.protocol.Heartbeat;

/**
 * What a message from a machine's agent proves about an attempt that it does not list. No other
 * code concludes from a missing entry that an attempt is gone.
 */
enum LossProof {
    /** The agent had the task and no longer has it. */
    NO_LONGER_LISTED("no longer reported"),
    /** The start was not executed, and the agent refuses it if it still arrives. */
    START_NEVER_ARRIVED("start command never arrived"),
    /**
     * An earlier leader may have sent a start, but the agent has not executed it and no longer
     * accepts commands of that leader.
     */
    NOT_RECOVERED("not reported to the new leader"),
    /** The answer that carried the start was not executed, so the start may be sent again. */
    START_NOT_EXECUTED(null),
    /** The attempt may still exist, or may still be started. */
    NONE(null);

    private final String lossReason;

    LossProof(String lossReason) {
        this.lossReason = lossReason;
    }

    /** True if the attempt is proven to be gone. */
    boolean provesLoss() {
        return lossReason != null;
    }

    /** The reason to log for a proof of loss; null for other constants. */
    String lossReason() {
        return lossReason;
    }

    /**
     * @param heartbeat a message that is not a duplicate and does not list the attempt
     * @param isHeartbeat true for a heartbeat, false for the answer to a direct command
     */
    static LossProof of(TaskAttempt attempt, Heartbeat heartbeat, boolean isHeartbeat, long term) {
        return switch (attempt.stage()) {
            case CONFIRMED -> NO_LONGER_LISTED;
                // From now on the agent refuses the token under which the start was sent.
            case UNANSWERED ->
                    heartbeat.fencingToken() > attempt.directStartToken()
                            ? START_NEVER_ARRIVED
                            : NONE;
                // An agent has one heartbeat in flight at a time. Before the agent sent a later
                // heartbeat than the one whose response carried the start, the agent had therefore
                // executed or dropped that response.
            case SENT_IN_RESPONSE ->
                    isHeartbeat && heartbeat.sequence() > attempt.startHeartbeatSequence()
                            ? START_NOT_EXECUTED
                            : NONE;
            case RECOVERED ->
                    heartbeat.fencingToken() >> AgentLiveness.FENCE_BITS == term
                            ? NOT_RECOVERED
                            : NONE;
                // PLANNED and READY were never sent. The answer to the direct command, or its
                // absence, decides about SENT.
            default -> NONE;
        };
    }
}
