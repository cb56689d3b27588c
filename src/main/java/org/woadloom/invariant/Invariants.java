package org.woadloom.invariant;

import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runtime checks of conditions that must always hold. A violation throws if {@link #THROW_PROPERTY}
 * is set, as in tests. In production it is logged and counted, and the caller must refuse the
 * operation that it was about to perform.
 */
public final class Invariants {
    /** The system property that makes violations throw. */
    public static final String THROW_PROPERTY = "woadloom.invariants.throw";

    private static final Logger LOG = LoggerFactory.getLogger(Invariants.class);
    private static final AtomicLong VIOLATIONS = new AtomicLong();

    /** After the first {@link #ALWAYS_LOGGED} violations, only one in this many is logged. */
    private static final long LOG_INTERVAL = 1_000;

    private static final long ALWAYS_LOGGED = 20;

    /** The invariants that are asserted, by their names in the log. */
    public enum Invariant {
        /** An answer is based on a read that started after the request arrived. */
        ANSWER_READ_AFTER_QUESTION,
        /**
         * A job that this node knew as accepted when the request arrived is not reported as
         * unknown.
         */
        ACCEPTED_JOB_KNOWN,
        /** Each page of a list begins after the end of the previous page. */
        LIST_PAGES_ADVANCE,
        /**
         * The exit of a task attempt is acknowledged only under a higher fencing token than any
         * direct command that started the attempt.
         */
        ACKNOWLEDGED_START_FENCED
    }

    /** Thrown on a violation if {@link #THROW_PROPERTY} is set. */
    public static final class InvariantViolatedException extends IllegalStateException {
        private static final long serialVersionUID = 1;

        InvariantViolatedException(String message) {
            super(message);
        }
    }

    private Invariants() {}

    /**
     * Returns the condition, and reports a violation if it is false. The caller must then not
     * continue as if the condition held.
     *
     * @param subject the job id or key that the check is about
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
            throw new InvariantViolatedException(
                    "invariant " + invariant + " violated for " + subject);
        }
        if (count <= ALWAYS_LOGGED || count % LOG_INTERVAL == 0) {
            LOG.error(
                    "event=invariant_violated invariant={} subject={} count={}",
                    invariant,
                    subject,
                    count);
        }
    }

    /** Number of violations since the process started. */
    public static long violations() {
        return VIOLATIONS.get();
    }
}
