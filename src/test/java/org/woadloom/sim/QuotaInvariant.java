package org.woadloom.sim;

import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.TaskId;
import org.woadloom.settings.ServiceSettings;

/** {@link ProtocolRule#QUOTA}: a team's running tasks stay within the team's limit. */
final class QuotaInvariant extends Invariant {
    /** Allows for rounding errors in the sum. */
    private static final double TOLERANCE_CPUS = 1e-6;

    private final ObservedState observed;
    private final ServiceSettings settings;

    QuotaInvariant(ObservedState observed, ServiceSettings settings) {
        this.observed = observed;
        this.settings = settings;
    }

    @Override
    void afterTaskStart(TaskId task, JobDescription job) {
        double cpus = observed.cpusUsedBy(job.team());
        if (cpus > settings.team(job.team()).cpusMax() + TOLERANCE_CPUS) {
            throw new InvariantViolation(
                    ProtocolRule.QUOTA,
                    job.team()
                            + " uses "
                            + cpus
                            + " CPUs, its quota is "
                            + settings.team(job.team()).cpusMax());
        }
    }
}
