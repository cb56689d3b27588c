package org.woadloom.core.liveness;

import org.woadloom.protocol.Heartbeat;

/**
 * What is known of one agent's messages and of its receiving ours: which of its messages is the
 * newest, when it was certainly alive, and whether it has acknowledged the present token. Copies of
 * its heartbeats may come minutes late, and heartbeats may come from an agent that nothing reaches;
 * only the token that a message carries, and the command that it answers, tell when it was made.
 */
public final class AgentLiveness {
    /** A fencing token is the term, followed by so many bits that count within the term. */
    public static final int FENCE_BITS = 24;

    /**
     * A time that has not come or is not known; so far from the range's end that differences fit.
     */
    public static final long NEVER = Long.MIN_VALUE / 4;

    private final long term;
    private final LivenessTimeouts timeouts;
    private long incarnation;
    private long sequence;
    private long minIncarnation;
    private long acknowledgedToken;
    // The newest heartbeat, as opposed to answers to commands, and when it first arrived.
    private long heartbeatIncarnation;
    private long heartbeatSequence;
    private long heartbeatArrivedMicros = NEVER;

    /** Since when heartbeats have come without a gap that would make it unreachable. */
    private long reportingSinceMicros = NEVER;

    private long lastAliveMicros = NEVER;
    private long lastHeartbeatMicros = NEVER;
    private long fence;

    /** When the present token first went out, {@link #NEVER} before. */
    private long tokenIssuedMicros = NEVER;

    /**
     * Since when a token is issued that the agent has not acknowledged, {@link #NEVER} for none.
     */
    private long unacknowledgedSinceMicros = NEVER;

    /**
     * @param fence the first of the term's fences for this agent; none of its messages carries a
     *     token of this term from before this one
     */
    public AgentLiveness(long term, long fence, LivenessTimeouts timeouts) {
        this.term = term;
        this.fence = fence;
        this.timeouts = timeouts;
    }

    public long incarnation() {
        return incarnation;
    }

    /** Messages of incarnations before this one are obsolete: their lease is known to be over. */
    public long minIncarnation() {
        return minIncarnation;
    }

    /**
     * The lease of the agent's incarnation is known to be over, though the agent has not said so.
     */
    public void expireIncarnation() {
        minIncarnation = incarnation + 1;
    }

    /** The token that commands to this agent carry now. */
    public long fencingToken() {
        return (term << FENCE_BITS) | fence;
    }

    /** The part of the token that counts within the term. */
    public long fence() {
        return fence;
    }

    /** Returns the present token, which goes out with a command or an answer now. */
    public long issueToken(long nowMicros) {
        tokenIssuedMicros = tokenIssuedMicros == NEVER ? nowMicros : tokenIssuedMicros;
        if (unacknowledgedSinceMicros == NEVER && !hasAcknowledgedToken()) {
            unacknowledgedSinceMicros = nowMicros;
        }
        return fencingToken();
    }

    /** Voids every command that was sent under the present token and has not arrived. */
    public void incrementFence() {
        fence++;
        tokenIssuedMicros = NEVER;
    }

    /** Asks the agent to acknowledge a new token, unless one is unacknowledged already. */
    public void requireAcknowledgement() {
        if (hasAcknowledgedToken()) {
            incrementFence();
        }
    }

    /**
     * The same, where the agent has most likely been unreachable for a while: it gets no new tasks
     * until it has acknowledged.
     */
    public void markSuspect(long nowMicros) {
        requireAcknowledgement();
        unacknowledgedSinceMicros =
                Math.min(
                        unacknowledgedSinceMicros == NEVER ? nowMicros : unacknowledgedSinceMicros,
                        nowMicros - timeouts.maxFreshAgeMicros() - 1);
    }

    /**
     * A message carries a token of this term that is higher than ours: it was issued to a machine
     * of this name that was forgotten since. Such tokens must not be issued again.
     */
    public void advanceFencePast(long fencingToken) {
        fence = (fencingToken & ((1L << FENCE_BITS) - 1)) + 1;
        tokenIssuedMicros = NEVER;
    }

    /** True if the agent has acknowledged the present token. */
    public boolean hasAcknowledgedToken() {
        return acknowledgedToken == fencingToken();
    }

    /**
     * True once the agent has acknowledged a token of this term: it accepts no command of an
     * earlier leader any more.
     */
    public boolean hasAcknowledgedTerm() {
        return acknowledgedToken >> FENCE_BITS == term;
    }

    /**
     * The last moment at which the agent was certainly alive; {@link #NEVER} while none is known.
     */
    public long lastAliveMicros() {
        return lastAliveMicros;
    }

    /** The last moment at which the agent is known to have sent a heartbeat. */
    public long lastHeartbeatMicros() {
        return lastHeartbeatMicros;
    }

    public boolean isKnownAlive() {
        return lastAliveMicros != NEVER;
    }

    /**
     * Decides what may follow from a message of this agent; nothing else does.
     *
     * @param commandSentMicros when the command was sent that the message answers, {@link #NEVER}
     *     for a heartbeat
     */
    public MessageAge classify(Heartbeat heartbeat, long commandSentMicros, long nowMicros) {
        if (heartbeat.incarnation() < minIncarnation
                || !heartbeat.isNewerThan(incarnation, sequence)) {
            return MessageAge.DUPLICATE;
        }
        return nowMicros - sentNotBefore(heartbeat, commandSentMicros)
                        <= timeouts.maxFreshAgeMicros()
                ? MessageAge.FRESH
                : MessageAge.POSSIBLY_DELAYED;
    }

    /**
     * The earliest moment at which a message that is newer than all before it can have been made:
     * after those, and after the token that it carries was issued.
     */
    private long sentNotBefore(Heartbeat heartbeat, long commandSentMicros) {
        long sentMicros = Math.max(commandSentMicros, lastAliveMicros);
        return heartbeat.fencingToken() == fencingToken()
                ? Math.max(sentMicros, tokenIssuedMicros)
                : sentMicros;
    }

    /**
     * Takes in a message that is no duplicate.
     *
     * @param commandSentMicros when the command was sent that it answers, {@link #NEVER} for a
     *     heartbeat
     */
    public void accept(
            Heartbeat heartbeat, MessageAge age, long commandSentMicros, long nowMicros) {
        long aliveAtMicros =
                age == MessageAge.FRESH ? nowMicros : sentNotBefore(heartbeat, commandSentMicros);
        incarnation = heartbeat.incarnation();
        minIncarnation = heartbeat.incarnation();
        sequence = heartbeat.sequence();
        lastAliveMicros = Math.max(lastAliveMicros, aliveAtMicros);
        if (commandSentMicros == NEVER) {
            lastHeartbeatMicros = Math.max(lastHeartbeatMicros, aliveAtMicros);
        } else if (age == MessageAge.FRESH
                && nowMicros - heartbeatArrivedMicros <= timeouts.maxFreshAgeMicros()) {
            // The heartbeat that arrived a moment ago was sent by an agent that is alive.
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
     * The last moment at which the agent may have been alive: at the latest when its last heartbeat
     * arrived, which may have been in transit for long.
     */
    public long lastPossiblyAliveMicros() {
        return Math.max(lastAliveMicros, heartbeatArrivedMicros);
    }

    /** The deletion of the machine was confirmed at this moment. */
    public void onMachineDeleted(long nowMicros) {
        lastAliveMicros = nowMicros;
    }

    /**
     * Whether an answer that is given now may renew the agent's lease. An agent has one heartbeat
     * in flight at a time and gives it up after a timeout: no agent waits for the answer to an
     * earlier one, whoever still delivers it.
     */
    public boolean recordHeartbeatArrival(Heartbeat heartbeat, long nowMicros) {
        if (heartbeat.isNewerThan(heartbeatIncarnation, heartbeatSequence)) {
            heartbeatIncarnation = heartbeat.incarnation();
            heartbeatSequence = heartbeat.sequence();
            reportingSinceMicros =
                    nowMicros - heartbeatArrivedMicros > timeouts.unreachableMicros()
                            ? nowMicros
                            : reportingSinceMicros;
            heartbeatArrivedMicros = nowMicros;
            return true;
        }
        return heartbeat.incarnation() == heartbeatIncarnation
                && heartbeat.sequence() == heartbeatSequence
                && nowMicros - heartbeatArrivedMicros <= timeouts.responseTimeoutMicros();
    }

    /** True while a token is unacknowledged for too long: the agent gets no new tasks. */
    public boolean isSuspect(long nowMicros) {
        return unacknowledgedSinceMicros != NEVER
                && nowMicros - unacknowledgedSinceMicros > timeouts.maxFreshAgeMicros();
    }

    /**
     * True for an agent that goes on sending heartbeats, though nothing that we send has reached it
     * for a while.
     */
    public boolean isUnreachable(long nowMicros) {
        return unacknowledgedSinceMicros != NEVER
                && heartbeatArrivedMicros
                                - Math.max(unacknowledgedSinceMicros, reportingSinceMicros)
                        > timeouts.unreachableMicros()
                && isSendingHeartbeats(nowMicros);
    }

    /** True while its heartbeats come, fresh or not. */
    public boolean isSendingHeartbeats(long nowMicros) {
        return nowMicros - heartbeatArrivedMicros <= timeouts.unreachableMicros();
    }

    /**
     * For how long it has sent heartbeats without acknowledging the token; 0 for an agent that is
     * reachable.
     */
    public long unacknowledgedForMicros(long nowMicros) {
        return unacknowledgedSinceMicros == NEVER
                ? 0
                : nowMicros - Math.max(unacknowledgedSinceMicros, reportingSinceMicros);
    }
}
