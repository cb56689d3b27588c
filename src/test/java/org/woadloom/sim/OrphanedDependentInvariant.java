package org.woadloom.sim;

import org.woadloom.settings.ServiceSettings;

/**
 * {@link ProtocolRule#ORPHANED}: a job with a cancelled dependency is cancelled too, within the
 * cancellation time limit.
 */
final class OrphanedDependentInvariant extends Invariant {
    private final ObservedState observed;
    private final long cancelMicros;

    OrphanedDependentInvariant(ObservedState observed, ServiceSettings settings) {
        this.observed = observed;
        this.cancelMicros = settings.agents().cancelMicros();
    }

    @Override
    void onJobStatus(UserAnswer answer) {
        if (!answer.jobStatus().equals("queued") && !answer.jobStatus().equals("running")) {
            return;
        }
        Long reportedMicros = observed.dependencyCancelledMicros(answer.jobId());
        if (reportedMicros != null && reportedMicros + cancelMicros < answer.sentMicros()) {
            throw new InvariantViolation(
                    ProtocolRule.ORPHANED,
                    answer.jobId()
                            + " is "
                            + answer.jobStatus()
                            + ", expected cancelled: one of its dependencies was cancelled more"
                            + " than "
                            + cancelMicros
                            + " us before the request");
        }
    }
}
