package org.woadloom.sim;

/**
 * {@link ProtocolRule#WENT_BACK}: a final status never changes, and a job is called cancelled only
 * if a user cancelled it or a job that it depends on.
 */
final class FinalStatusInvariant extends Invariant {
    private final ObservedState observed;

    FinalStatusInvariant(ObservedState observed) {
        this.observed = observed;
    }

    @Override
    void onJobStatus(UserAnswer answer) {
        String jobId = answer.jobId();
        String before = observed.finalStatus(jobId);
        boolean changed = before != null && !before.equals(answer.jobStatus());
        // A status that is not final may be older than the final one, if the request is.
        if (changed && (answer.isFinal() || observed.finalStatusReportedMicros(jobId) < answer.sentMicros())) {
            throw new InvariantViolation(
                    ProtocolRule.WENT_BACK,
                    jobId + " was " + before + " and is " + answer.jobStatus());
        }
        if (answer.isCancelled() && !mayBeCancelled(jobId)) {
            throw new InvariantViolation(
                    ProtocolRule.WENT_BACK, jobId + " is called cancelled by itself");
        }
    }

    /** A user asked for it, or for that of a job that it depends on and that is not done. */
    private boolean mayBeCancelled(String jobId) {
        if (observed.isCancelRequested(jobId)) {
            return true;
        }
        for (String dependency : observed.job(jobId).dependencies()) {
            if (mayBeCancelled(dependency) && !"done".equals(observed.finalStatus(dependency))) {
                return true;
            }
        }
        return false;
    }
}
