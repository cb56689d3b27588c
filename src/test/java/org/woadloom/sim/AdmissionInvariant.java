package org.woadloom.sim;

/** {@link ProtocolRule#ACCEPTED_UNFIT}: a job that can never run, or lacks a field, is refused. */
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
                    answer.request() + " " + answer.jobId() + " " + answer.status());
        }
    }
}
