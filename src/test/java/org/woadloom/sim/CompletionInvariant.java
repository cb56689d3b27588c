package org.woadloom.sim;

/** {@link ProtocolRule#NOT_DONE}: a job is reported as done only if all of its tasks are done. */
final class CompletionInvariant extends Invariant {
    private final ObservedState observed;

    CompletionInvariant(ObservedState observed) {
        this.observed = observed;
    }

    @Override
    void onJobStatus(UserAnswer answer) {
        if (answer.isDone() && !observed.areAllTasksDone(answer.jobId())) {
            throw new InvariantViolation(
                    ProtocolRule.NOT_DONE,
                    answer.jobId() + " is reported as done, but some of its tasks are not");
        }
    }
}
