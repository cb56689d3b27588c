package org.woadloom.reads;

import java.util.List;
import org.woadloom.protocol.JobStatus;

/**
 * State of a job as reported to a user.
 *
 * @param status null for a job that was never accepted
 * @param dependencies ids of the jobs that it still waits for
 * @param isService whether the job is known to be a service
 */
public record JobView(JobStatus status, List<String> dependencies, boolean isService) {
    /** Returns the view of a job as it was read from the store. */
    public static JobView of(JobLookup lookup) {
        boolean isWaiting = lookup.record() != null && !lookup.record().cancelled();
        return new JobView(
                lookup.status(),
                isWaiting ? lookup.record().description().dependencies() : List.of(),
                lookup.isService());
    }

    /** Returns true for a job that is cancelled. */
    boolean isCancelled() {
        return status != null && status.isCancelled();
    }
}
