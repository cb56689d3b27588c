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
    private final LivenessTimeouts rules;
    private long incarnation;
    private long sequence;
    private long leastTenure;
    private long epochSeen;
    // The last report of its own, and when that first came.
    private long ownTenure;
    private long ownTick;
    private long ownMicros = NEVER;

    /** Since when they have come without a long gap. */
    private long reportingMicros = NEVER;

    private long aliveMicros = NEVER;
    private long reportedMicros = NEVER;
    private long fence;

    /** When the present token first went out, {@link #NEVER} before. */
    private long issuedMicros = NEVER;

    /**
     * Since when a token is out that the worker has not shown to have heard, {@link #NEVER} for
     * none.
     */
    private long unheardMicros = NEVER;

    /**
     * @param fence no message of this worker carries a token of this term from before this one
     */
    public AgentLiveness(long term, long fence, LivenessTimeouts rules) {
        this.term = term;
        this.fence = fence;
        this.rules = rules;
    }

    public long incarnation() {
        return incarnation;
    }

    /** Reports of sessions before this one are of the past: their lease is known to be over. */
    public long leastTenure() {
        return leastTenure;
    }

    /** The worker's session is known to be over, though it has not said so. */
    public void sessionOver() {
        leastTenure = incarnation + 1;
    }

    /** The token that this worker's commands carry now. */
    public long token() {
        return (term << FENCE_BITS) | fence;
    }

    public long fence() {
        return fence;
    }

    /** The present token goes out with a command or an answer. */
    public long issue(long nowMicros) {
        issuedMicros = issuedMicros == NEVER ? nowMicros : issuedMicros;
        if (unheardMicros == NEVER && !heardToken()) {
            unheardMicros = nowMicros;
        }
        return token();
    }

    /** Voids every command that was sent under the present token and has not arrived. */
    public void raiseFence() {
        fence++;
        issuedMicros = NEVER;
    }

    /** The worker is to show that it hears, unless it is already to show that. */
    public void challenge() {
        if (heardToken()) {
            raiseFence();
        }
    }

    /**
     * The same, where it has most likely not heard for a while: no new work until it has shown it.
     */
    public void mistrust(long nowMicros) {
        challenge();
        unheardMicros =
                Math.min(
                        unheardMicros == NEVER ? nowMicros : unheardMicros,
                        nowMicros - rules.freshMicros() - 1);
    }

    /**
     * A message carries a token of this term that is higher than ours: of a machine of this name
     * that was forgotten. What it says is of the past, so its numbers must not come back.
     */
    public void passOver(long fencingToken) {
        fence = (fencingToken & ((1L << FENCE_BITS) - 1)) + 1;
        issuedMicros = NEVER;
    }

    public boolean heardToken() {
        return epochSeen == token();
    }

    /**
     * True once the worker has acknowledged a token of this term: no earlier leader can reach it
     * any more.
     */
    public boolean acknowledged() {
        return epochSeen >> FENCE_BITS == term;
    }

    /**
     * The last moment at which the worker certainly lived; {@link #NEVER} while that is not known
     * of any.
     */
    public long aliveMicros() {
        return aliveMicros;
    }

    /** The last moment at which it made a report that arrived. */
    public long reportedMicros() {
        return reportedMicros;
    }

    public boolean heard() {
        return aliveMicros != NEVER;
    }

    /** What is to follow from a message of this worker is for this to say, and only for this. */
    public MessageAge judge(Heartbeat report, long sinceMicros, long nowMicros) {
        if (report.incarnation() < leastTenure || !report.isNewerThan(incarnation, sequence)) {
            return MessageAge.COPY;
        }
        return nowMicros - madeAfter(report, sinceMicros) <= rules.freshMicros()
                ? MessageAge.FRESH
                : MessageAge.PERHAPS_OLD;
    }

    /**
     * A message that is newer than all before it was made after those, and after the token that it
     * carries went out.
     */
    private long madeAfter(Heartbeat report, long sinceMicros) {
        long made = Math.max(sinceMicros, aliveMicros);
        return report.fencingToken() == token() ? Math.max(made, issuedMicros) : made;
    }

    /**
     * Takes in a message that is no copy.
     *
     * @param sinceMicros when the command was sent that it answers, {@link #NEVER} for a report of
     *     its own
     */
    public void take(Heartbeat report, MessageAge age, long sinceMicros, long nowMicros) {
        long alive = age == MessageAge.FRESH ? nowMicros : madeAfter(report, sinceMicros);
        incarnation = report.incarnation();
        leastTenure = report.incarnation();
        sequence = report.sequence();
        aliveMicros = Math.max(aliveMicros, alive);
        if (sinceMicros == NEVER) {
            reportedMicros = Math.max(reportedMicros, alive);
        } else if (age == MessageAge.FRESH && nowMicros - ownMicros <= rules.freshMicros()) {
            // The report that came a moment ago is of a worker that lives.
            reportedMicros = Math.max(reportedMicros, ownMicros);
        }
        if (report.fencingToken() > epochSeen) {
            epochSeen = report.fencingToken();
            unheardMicros = heardToken() || unheardMicros == NEVER ? NEVER : nowMicros;
        }
    }

    /**
     * The last moment at which it may have lived: when a report came that may have been under way
     * for long, at most.
     */
    public long perhapsAliveMicros() {
        return Math.max(aliveMicros, ownMicros);
    }

    /** The end of the machine was confirmed at this moment. */
    public void gone(long nowMicros) {
        aliveMicros = nowMicros;
    }

    /**
     * Whether an answer that is given now may renew the worker's lease. It has one report under way
     * at a time, and waits for its answer for four seconds: whoever still sends an earlier one,
     * nobody waits for that answer.
     */
    public boolean mayWaitFor(Heartbeat report, long nowMicros) {
        if (report.isNewerThan(ownTenure, ownTick)) {
            ownTenure = report.incarnation();
            ownTick = report.sequence();
            reportingMicros =
                    nowMicros - ownMicros > rules.deafMicros() ? nowMicros : reportingMicros;
            ownMicros = nowMicros;
            return true;
        }
        return report.incarnation() == ownTenure
                && report.sequence() == ownTick
                && nowMicros - ownMicros <= rules.answerMicros();
    }

    /** True while a token is out that the worker should have heard by now: it gets no new work. */
    public boolean inDoubt(long nowMicros) {
        return unheardMicros != NEVER && nowMicros - unheardMicros > rules.freshMicros();
    }

    /**
     * True for a worker that goes on reporting, though nothing that we say has reached it for a
     * while.
     */
    public boolean deaf(long nowMicros) {
        return unheardMicros != NEVER
                && ownMicros - Math.max(unheardMicros, reportingMicros) > rules.deafMicros()
                && reports(nowMicros);
    }

    /** True while reports of its own come, fresh or not. */
    public boolean reports(long nowMicros) {
        return nowMicros - ownMicros <= rules.deafMicros();
    }

    /**
     * For how long it has reported without having heard what it should have; 0 for a worker that
     * hears.
     */
    public long unheardFor(long nowMicros) {
        return unheardMicros == NEVER ? 0 : nowMicros - Math.max(unheardMicros, reportingMicros);
    }
}
