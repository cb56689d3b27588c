package org.woadloom.sim;

import java.util.HashMap;
import java.util.Map;

/**
 * {@link ProtocolRule#FORGOTTEN}: after a user was told that a job is accepted, no later request
 * may be answered as if the job were unknown, and polls for it succeed while no fault is active.
 */
final class DurableAcceptanceInvariant extends Invariant {
    /** Stricter than the limit in the protocol, which is 90 s. */
    private static final long MAX_UNANSWERED_MICROS = 75_000_000;

    private final SimulatedEventLoop loop;
    private final ObservedState observed;
    private final Map<String, Long> lastAnsweredPollMicros = new HashMap<>();

    DurableAcceptanceInvariant(SimulatedEventLoop loop, ObservedState observed) {
        this.loop = loop;
        this.observed = observed;
    }

    @Override
    void onAnswer(UserAnswer answer) {
        checkStillKnown(answer);
        if (answer.request() == UserRequest.POLL && observed.isAccepted(answer.jobId())) {
            checkAnswered(answer);
        }
    }

    private void checkStillKnown(UserAnswer answer) {
        boolean refused =
                answer.request() == UserRequest.SUBMIT
                        && (answer.status() == 400 || answer.status() == 422);
        boolean unknown = answer.status() == 404 || refused;
        if (unknown && observed.acceptedMicros(answer.jobId()) < answer.sentMicros()) {
            throw new InvariantViolation(
                    ProtocolRule.FORGOTTEN,
                    answer.request()
                            + " of accepted job "
                            + answer.jobId()
                            + " returned "
                            + answer.status());
        }
    }

    private void checkAnswered(UserAnswer answer) {
        String jobId = answer.jobId();
        if (answer.status() == 200) {
            lastAnsweredPollMicros.put(jobId, loop.now());
            return;
        }
        long answeredMicros =
                lastAnsweredPollMicros.getOrDefault(jobId, observed.acceptedMicros(jobId));
        long unansweredMicros = loop.now() - Math.max(observed.faultFreeFromMicros, answeredMicros);
        if (unansweredMicros > MAX_UNANSWERED_MICROS) {
            throw new InvariantViolation(
                    ProtocolRule.FORGOTTEN,
                    jobId
                            + " got no answer to a poll for "
                            + unansweredMicros / 1_000_000
                            + " s, allowed are "
                            + MAX_UNANSWERED_MICROS / 1_000_000
                            + " s");
        }
    }
}
