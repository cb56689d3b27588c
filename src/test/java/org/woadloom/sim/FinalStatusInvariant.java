package org.woadloom.sim;

/**
 * {@link ProtocolRule#WENT_BACK}: a final status never changes, and a job is reported as cancelled
 * only if a user cancelled it or a job that it depends on.
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
        // A non-final status is allowed if the request was sent before the final one was reported.
        if (changed
                && (answer.isFinal()
                        || observed.finalStatusReportedMicros(jobId) < answer.sentMicros())) {
            throw new InvariantViolation(
                    ProtocolRule.WENT_BACK,
                    jobId + " changed from final status " + before + " to " + answer.jobStatus());
        }
        if (answer.isCancelled() && !mayBeCancelled(jobId)) {
            throw new InvariantViolation(
                    ProtocolRule.WENT_BACK,
                    jobId + " is reported as cancelled, but no user cancelled it or a dependency");
        }
    }

    /** A user cancelled the job, or one of its direct or indirect dependencies that is not done. */
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
