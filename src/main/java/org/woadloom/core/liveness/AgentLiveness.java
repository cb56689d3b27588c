package org.woadloom.core.liveness;

import org.woadloom.protocol.Heartbeat;

/**
 * What is known of one worker's messages and of its hearing ours: which of its messages is the
 * newest, when it was certainly alive, and whether it has shown that it heard the present token.
 * Copies of its reports may come minutes late, and reports may arrive of a worker that nothing
 * reaches; only the token that a message carries, and the command that it answers, tell when it was
 * made.
 */
public final class AgentLiveness {
    public static final int FENCE_BITS = 24;

    /** For what is not known, or was never. */
    public static final long NEVER = Long.MIN_VALUE / 4;

    private final long term;
    private final LivenessTimeouts timeouts;
    private long incarnation;
    private long sequence;
    private long minIncarnation;
    private long acknowledgedToken;
    // The last report of its own, and when that first came.
    private long heartbeatIncarnation;
    private long heartbeatSequence;
    private long heartbeatArrivedMicros = NEVER;

    /** Since when they have come without a long gap. */
    private long reportingSinceMicros = NEVER;

    private long lastAliveMicros = NEVER;
    private long lastHeartbeatMicros = NEVER;
    private long fence;

    /** When the present token first went out, {@link #NEVER} before. */
    private long tokenIssuedMicros = NEVER;

    /**
     * Since when a token is out that the worker has not shown to have heard, {@link #NEVER} for
     * none.
     */
    private long unacknowledgedSinceMicros = NEVER;

    /**
     * @param fence no message of this worker carries a token of this term from before this one
     */
    public AgentLiveness(long term, long fence, LivenessTimeouts rules) {
        this.term = term;
        this.fence = fence;
        this.timeouts = rules;
    }

    public long incarnation() {
        return incarnation;
    }

    /** Reports of sessions before this one are of the past: their lease is known to be over. */
    public long minIncarnation() {
        return minIncarnation;
    }

    /** The worker's session is known to be over, though it has not said so. */
    public void expireSession() {
        minIncarnation = incarnation + 1;
    }

    /** The token that this worker's commands carry now. */
    public long fencingToken() {
        return (term << FENCE_BITS) | fence;
    }

    public long fence() {
        return fence;
    }

    /** The present token goes out with a command or an answer. */
    public long issueToken(long nowMicros) {
        tokenIssuedMicros = tokenIssuedMicros == NEVER ? nowMicros : tokenIssuedMicros;
        if (unacknowledgedSinceMicros == NEVER && !hasAcknowledgedToken()) {
            unacknowledgedSinceMicros = nowMicros;
        }
        return fencingToken();
    }

    /** Voids every command that was sent under the present token and has not arrived. */
    public void raiseFence() {
        fence++;
        tokenIssuedMicros = NEVER;
    }

    /** The worker is to show that it hears, unless it is already to show that. */
    public void requireAcknowledgement() {
        if (hasAcknowledgedToken()) {
            raiseFence();
        }
    }

    /**
     * The same, where it has most likely not heard for a while: no new work until it has shown it.
     */
    public void suspect(long nowMicros) {
        requireAcknowledgement();
        unacknowledgedSinceMicros =
                Math.min(
                        unacknowledgedSinceMicros == NEVER ? nowMicros : unacknowledgedSinceMicros,
                        nowMicros - timeouts.freshMicros() - 1);
    }

    /**
     * A message carries a token of this term that is higher than ours: of a machine of this name
     * that was forgotten. What it says is of the past, so its numbers must not come back.
     */
    public void advanceFencePast(long fencingToken) {
        fence = (fencingToken & ((1L << FENCE_BITS) - 1)) + 1;
        tokenIssuedMicros = NEVER;
    }

    public boolean hasAcknowledgedToken() {
        return acknowledgedToken == fencingToken();
    }

    /**
     * True once the worker has acknowledged a token of this term: no earlier leader can reach it
     * any more.
     */
    public boolean hasAcknowledgedTerm() {
        return acknowledgedToken >> FENCE_BITS == term;
    }

    /**
     * The last moment at which the worker certainly lived; {@link #NEVER} while that is not known
     * of any.
     */
    public long lastAliveMicros() {
        return lastAliveMicros;
    }

    /** The last moment at which it made a report that arrived. */
    public long lastHeartbeatMicros() {
        return lastHeartbeatMicros;
    }

    public boolean isKnownAlive() {
        return lastAliveMicros != NEVER;
    }

    /** What is to follow from a message of this worker is for this to say, and only for this. */
    public MessageAge classify(Heartbeat heartbeat, long sinceMicros, long nowMicros) {
        if (heartbeat.incarnation() < minIncarnation
                || !heartbeat.isNewerThan(incarnation, sequence)) {
            return MessageAge.DUPLICATE;
        }
        return nowMicros - sentNotBefore(heartbeat, sinceMicros) <= timeouts.freshMicros()
                ? MessageAge.FRESH
                : MessageAge.POSSIBLY_DELAYED;
    }

    /**
     * A message that is newer than all before it was made after those, and after the token that it
     * carries went out.
     */
    private long sentNotBefore(Heartbeat heartbeat, long sinceMicros) {
        long sentMicros = Math.max(sinceMicros, lastAliveMicros);
        return heartbeat.fencingToken() == fencingToken()
                ? Math.max(sentMicros, tokenIssuedMicros)
                : sentMicros;
    }

    /**
     * Takes in a message that is no copy.
     *
     * @param sinceMicros when the command was sent that it answers, {@link #NEVER} for a report of
     *     its own
     */
    public void accept(Heartbeat heartbeat, MessageAge age, long sinceMicros, long nowMicros) {
        long aliveAtMicros =
                age == MessageAge.FRESH ? nowMicros : sentNotBefore(heartbeat, sinceMicros);
        incarnation = heartbeat.incarnation();
        minIncarnation = heartbeat.incarnation();
        sequence = heartbeat.sequence();
        lastAliveMicros = Math.max(lastAliveMicros, aliveAtMicros);
        if (sinceMicros == NEVER) {
            lastHeartbeatMicros = Math.max(lastHeartbeatMicros, aliveAtMicros);
        } else if (age == MessageAge.FRESH
                && nowMicros - heartbeatArrivedMicros <= timeouts.freshMicros()) {
            // The report that came a moment ago is of a worker that lives.
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
     * The last moment at which it may have lived: when a report came that may have been under way
     * for long, at most.
     */
    public long possiblyAliveMicros() {
        return Math.max(lastAliveMicros, heartbeatArrivedMicros);
    }

    /** The end of the machine was confirmed at this moment. */
    public void onMachineDeleted(long nowMicros) {
        lastAliveMicros = nowMicros;
    }

    /**
     * Whether an answer that is given now may renew the worker's lease. It has one report under way
     * at a time, and waits for its answer for four seconds: whoever still sends an earlier one,
     * nobody waits for that answer.
     */
    public boolean awaitsAnswerTo(Heartbeat heartbeat, long nowMicros) {
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
                && nowMicros - heartbeatArrivedMicros <= timeouts.answerTimeoutMicros();
    }

    /** True while a token is out that the worker should have heard by now: it gets no new work. */
    public boolean isSuspect(long nowMicros) {
        return unacknowledgedSinceMicros != NEVER
                && nowMicros - unacknowledgedSinceMicros > timeouts.freshMicros();
    }

    /**
     * True for a worker that goes on reporting, though nothing that we say has reached it for a
     * while.
     */
    public boolean isUnreachable(long nowMicros) {
        return unacknowledgedSinceMicros != NEVER
                && heartbeatArrivedMicros
                                - Math.max(unacknowledgedSinceMicros, reportingSinceMicros)
                        > timeouts.unreachableMicros()
                && isReporting(nowMicros);
    }

    /** True while reports of its own come, fresh or not. */
    public boolean isReporting(long nowMicros) {
        return nowMicros - heartbeatArrivedMicros <= timeouts.unreachableMicros();
    }

    /**
     * For how long it has reported without having heard what it should have; 0 for a worker that
     * hears.
     */
    public long unacknowledgedForMicros(long nowMicros) {
        return unacknowledgedSinceMicros == NEVER
                ? 0
                : nowMicros - Math.max(unacknowledgedSinceMicros, reportingSinceMicros);
    }
}
