package org.woadloom.sim;

/** {@link ProtocolRule#INVENTED}: a node knows only jobs that a user submitted. */
final class KnownJobsInvariant extends Invariant {
    private final ObservedState observed;

    KnownJobsInvariant(ObservedState observed) {
        this.observed = observed;
    }

    @Override
    void onAnswer(UserAnswer answer) {
        if (answer.status() == 200 && !observed.isSubmitted(answer.jobId())) {
            throw new InvariantViolation(
                    ProtocolRule.INVENTED,
                    answer.jobId() + " was never submitted, but a request for it returned 200");
        }
    }
}
