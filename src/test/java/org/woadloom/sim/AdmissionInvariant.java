package org.woadloom.sim;

/**
 * {@link ProtocolRule#ACCEPTED_UNFIT}: a job that can never run or lacks a required field must be
 * rejected.
 */
final class AdmissionInvariant extends Invariant {
    private final ObservedState observed;

    AdmissionInvariant(ObservedState observed) {
        this.observed = observed;
    }

    @Override
    void onAnswer(UserAnswer answer) {
        if (answer.isSuccess() && observed.isInvalidJob(answer.jobId())) {
            throw new InvariantViolation(
                    ProtocolRule.ACCEPTED_UNFIT,
                    answer.request()
                            + " of invalid job "
                            + answer.jobId()
                            + " returned "
                            + answer.status()
                            + ", expected a rejection");
        }
    }
}
