package org.woadloom.core.liveness;

import org.woadloom.protocol.Heartbeat;

/**
 * Tracks the liveness of one agent: which of its messages is the newest, when it was certainly
 * alive, and whether it has acknowledged the current fencing token.
 *
 * <p>Duplicates of its heartbeats may arrive minutes late, and an agent may send heartbeats while
 * nothing reaches it. When a message was created follows only from the token that it carries and
 * from the command to which it responds.
 */
public final class AgentLiveness {
    /**
     * A fencing token consists of the term and, in this many low bits, a counter within the term.
     */
    public static final int FENCE_BITS = 24;

    /**
     * Placeholder for a time that is unknown or has not come; far enough from the end of the range
     * that subtracting it does not overflow.
     */
    public static final long NEVER = Long.MIN_VALUE / 4;

    private final long term;
    private final LivenessTimeouts timeouts;
    private long incarnation;
    private long sequence;
    private long minIncarnation;
    private long acknowledgedToken;
    // The newest heartbeat, not counting responses to commands, and when it first arrived.
    private long heartbeatIncarnation;
    private long heartbeatSequence;
    private long heartbeatArrivedMicros = NEVER;

    /**
     * Start of the current series of heartbeats without a gap longer than the unreachable timeout.
     */
    private long heartbeatSeriesSinceMicros = NEVER;

    private long lastAliveMicros = NEVER;
    private long lastHeartbeatMicros = NEVER;
    private long fence;

    /** When the current token was first sent, or {@link #NEVER}. */
    private long tokenIssuedMicros = NEVER;

    /** Since when a sent token has been unacknowledged, or {@link #NEVER}. */
    private long unacknowledgedSinceMicros = NEVER;

    /**
     * @param fence the agent's first fence in the term; none of its messages carries a token of
     *     this term with a lower one
     */
    public AgentLiveness(long term, long fence, LivenessTimeouts timeouts) {
        this.term = term;
        this.fence = fence;
        this.timeouts = timeouts;
    }

    public long incarnation() {
        return incarnation;
    }

    /** Messages of earlier incarnations are obsolete, because their lease has expired. */
    public long minIncarnation() {
        return minIncarnation;
    }

    /**
     * Marks the current incarnation's lease as expired, before the agent itself reports a new
     * incarnation.
     */
    public void expireIncarnation() {
        minIncarnation = incarnation + 1;
    }

    /** The fencing token that commands to this agent carry now. */
    public long fencingToken() {
        return (term << FENCE_BITS) | fence;
    }

    /** The token's counter within the term. */
    public long fence() {
        return fence;
    }

    /** Returns the current token, and records that it is sent now. */
    public long issueToken(long nowMicros) {
        tokenIssuedMicros = tokenIssuedMicros == NEVER ? nowMicros : tokenIssuedMicros;
        if (unacknowledgedSinceMicros == NEVER && !hasAcknowledgedToken()) {
            unacknowledgedSinceMicros = nowMicros;
        }
        return fencingToken();
    }

    /**
     * Switches to a new token. The agent will refuse commands sent under earlier tokens once it has
     * seen this one.
     */
    public void incrementFence() {
        fence++;
        tokenIssuedMicros = NEVER;
    }

    /** Requires an acknowledgement of a new token, unless one is outstanding already. */
    public void requireAcknowledgement() {
        if (hasAcknowledgedToken()) {
            incrementFence();
        }
    }

    /**
     * Like {@link #requireAcknowledgement}, for an agent that most likely was unreachable for a
     * while: it counts as suspect at once, and gets no new tasks until it has acknowledged.
     */
    public void markSuspect(long nowMicros) {
        requireAcknowledgement();
        unacknowledgedSinceMicros =
                Math.min(
                        unacknowledgedSinceMicros == NEVER ? nowMicros : unacknowledgedSinceMicros,
                        nowMicros - timeouts.maxFreshAgeMicros() - 1);
    }

    /**
     * Handles a message whose token is of this term and higher than the current one. The token was
     * issued to a machine of the same name that has been removed since; such tokens must not be
     * issued again.
     */
    public void advanceFencePast(long fencingToken) {
        fence = (fencingToken & ((1L << FENCE_BITS) - 1)) + 1;
        tokenIssuedMicros = NEVER;
    }

    /** True if the agent has acknowledged the current token. */
    public boolean hasAcknowledgedToken() {
        return acknowledgedToken == fencingToken();
    }

    /**
     * True once the agent has acknowledged a token of this term, and so accepts no commands of
     * earlier leaders.
     */
    public boolean hasAcknowledgedTerm() {
        return acknowledgedToken >> FENCE_BITS == term;
    }

    /** The latest time at which the agent was certainly alive, or {@link #NEVER}. */
    public long lastAliveMicros() {
        return lastAliveMicros;
    }

    /** The latest time at which the agent is known to have sent a heartbeat, or {@link #NEVER}. */
    public long lastHeartbeatMicros() {
        return lastHeartbeatMicros;
    }

    public boolean isKnownAlive() {
        return lastAliveMicros != NEVER;
    }

    /**
     * Classifies a message of this agent by its age; no other code decides this.
     *
     * @param commandSentMicros when the command was sent to which the message responds, {@link
     *     #NEVER} for a heartbeat
     */
    public MessageAge classify(Heartbeat heartbeat, long commandSentMicros, long nowMicros) {
        if (heartbeat.incarnation() < minIncarnation
                || !heartbeat.isNewerThan(incarnation, sequence)) {
            return MessageAge.DUPLICATE;
        }
        return nowMicros - earliestCreationMicros(heartbeat, commandSentMicros)
                        <= timeouts.maxFreshAgeMicros()
                ? MessageAge.FRESH
                : MessageAge.POSSIBLY_DELAYED;
    }

    /**
     * Returns the earliest time at which a message that is newer than all before it can have been
     * created: after those messages, and after the token that it carries was issued.
     */
    private long earliestCreationMicros(Heartbeat heartbeat, long commandSentMicros) {
        long sentMicros = Math.max(commandSentMicros, lastAliveMicros);
        return heartbeat.fencingToken() == fencingToken()
                ? Math.max(sentMicros, tokenIssuedMicros)
                : sentMicros;
    }

    /**
     * Updates the state from a message that is not a duplicate.
     *
     * @param commandSentMicros when the command was sent to which the message responds, {@link
     *     #NEVER} for a heartbeat
     */
    public void accept(
            Heartbeat heartbeat, MessageAge age, long commandSentMicros, long nowMicros) {
        long aliveAtMicros =
                age == MessageAge.FRESH
                        ? nowMicros
                        : earliestCreationMicros(heartbeat, commandSentMicros);
        incarnation = heartbeat.incarnation();
        minIncarnation = heartbeat.incarnation();
        sequence = heartbeat.sequence();
        lastAliveMicros = Math.max(lastAliveMicros, aliveAtMicros);
        if (commandSentMicros == NEVER) {
            lastHeartbeatMicros = Math.max(lastHeartbeatMicros, aliveAtMicros);
        } else if (age == MessageAge.FRESH
                && nowMicros - heartbeatArrivedMicros <= timeouts.maxFreshAgeMicros()) {
            // A fresh response to a direct command proves that the agent is alive now, so the agent
            // was also alive when its last heartbeat arrived. If that was recently, the heartbeat
            // counts from its arrival, whatever its own age.
            lastHeartbeatMicros = Math.max(lastHeartbeatMicros, heartbeatArrivedMicros);
        }
        if (heartbeat.fencingToken() > acknowledgedToken) {
            acknowledgedToken = heartbeat.fencingToken();
            unacknowledgedSinceMicros =
                    hasAcknowledgedToken() || unacknowledgedSinceMicros == NEVER
                            ? NEVER
                            : nowMicros;
        }
    }

    /**
     * The latest time at which the agent may have been alive: the arrival of its last heartbeat,
     * which may have been in transit for long, counts too.
     */
    public long lastPossiblyAliveMicros() {
        return Math.max(lastAliveMicros, heartbeatArrivedMicros);
    }

    /** Records that the cloud confirmed the deletion of the machine. */
    public void onMachineDeleted(long nowMicros) {
        lastAliveMicros = nowMicros;
    }

    /**
     * Records the arrival of a heartbeat. Returns true if the agent may still be waiting for the
     * response, which then renews its lease. An agent has one heartbeat in flight at a time and
     * gives it up after a timeout, so no agent waits for the response to an earlier heartbeat,
     * whichever node delivers it.
     */
    public boolean recordHeartbeatArrival(Heartbeat heartbeat, long nowMicros) {
        if (heartbeat.isNewerThan(heartbeatIncarnation, heartbeatSequence)) {
            heartbeatIncarnation = heartbeat.incarnation();
            heartbeatSequence = heartbeat.sequence();
            heartbeatSeriesSinceMicros =
                    nowMicros - heartbeatArrivedMicros > timeouts.unreachableMicros()
                            ? nowMicros
                            : heartbeatSeriesSinceMicros;
            heartbeatArrivedMicros = nowMicros;
            return true;
        }
        return heartbeat.incarnation() == heartbeatIncarnation
                && heartbeat.sequence() == heartbeatSequence
                && nowMicros - heartbeatArrivedMicros <= timeouts.responseTimeoutMicros();
    }

    /**
     * True while a token has been unacknowledged for too long; the agent gets no new tasks then.
     */
    public boolean isSuspect(long nowMicros) {
        return unacknowledgedSinceMicros != NEVER
                && nowMicros - unacknowledgedSinceMicros > timeouts.maxFreshAgeMicros();
    }

    /**
     * True if the agent keeps sending heartbeats, but nothing sent to it has arrived for a while.
     */
    public boolean isUnreachable(long nowMicros) {
        return unacknowledgedSinceMicros != NEVER
                && heartbeatArrivedMicros
                                - Math.max(unacknowledgedSinceMicros, heartbeatSeriesSinceMicros)
                        > timeouts.unreachableMicros()
                && isSendingHeartbeats(nowMicros);
    }

    /** True while heartbeats of the agent arrive, fresh or delayed. */
    public boolean isSendingHeartbeats(long nowMicros) {
        return nowMicros - heartbeatArrivedMicros <= timeouts.unreachableMicros();
    }

    /**
     * How long the agent has sent heartbeats without acknowledging the current token; 0 if none is
     * outstanding.
     */
    public long unacknowledgedForMicros(long nowMicros) {
        return unacknowledgedSinceMicros == NEVER
                ? 0
                : nowMicros - Math.max(unacknowledgedSinceMicros, heartbeatSeriesSinceMicros);
    }
}
