package org.woadloom.invariant;

import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What must always hold. A violation throws where {@link #THROW_PROPERTY} is set, as in tests; in
 * service it is logged and counted, and the caller refuses what it was about to do.
 */
public final class Invariants {
    /** The system property that makes violations throw. */
    public static final String THROW_PROPERTY = "woadloom.invariants.throw";

    private static final Logger LOG = LoggerFactory.getLogger(Invariants.class);
    private static final AtomicLong VIOLATIONS = new AtomicLong();

    /** Of a violation that repeats, one line in so many is logged after the first ones. */
    private static final long LOGGED_EVERY = 1_000;

    private static final long ALWAYS_LOGGED = 20;

    /** The invariants that are asserted, by their names in the log. */
    public enum Invariant {
        /** An answer rests on a read that started after the question came. */
        ANSWER_READ_AFTER_QUESTION,
        /** A job that this node knew as accepted when it was asked is not called unknown. */
        ACCEPTED_JOB_KNOWN,
        /** Each page of a list begins after the end of the one before. */
        LIST_PAGES_ADVANCE
    }

    /** A violation in tests. */
    public static final class InvariantViolatedException extends IllegalStateException {
        private static final long serialVersionUID = 1;

        InvariantViolatedException(String message) {
            super(message);
        }
    }

    private Invariants() {}

    /**
     * Reports whether the condition holds. Where it does not, the caller must not go on as if it
     * did.
     *
     * @param subject what it is about, a job id or a key
     */
    public static boolean holds(boolean condition, Invariant invariant, String subject) {
        if (!condition) {
            onViolation(invariant, subject);
        }
        return condition;
    }

    private static void onViolation(Invariant invariant, String subject) {
        long count = VIOLATIONS.incrementAndGet();
        if (Boolean.getBoolean(THROW_PROPERTY)) {
            throw new InvariantViolatedException(invariant + ": " + subject);
        }
        if (count <= ALWAYS_LOGGED || count % LOGGED_EVERY == 0) {
            LOG.error(
                    "event=invariant_violated invariant={} subject={} count={}",
                    invariant,
                    subject,
                    count);
        }
    }

    /** How many violations there were since the process started. */
    public static long violations() {
        return VIOLATIONS.get();
    }
}
