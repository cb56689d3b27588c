package org.woadloom.core.placement;

import java.util.List;
import org.woadloom.core.jobs.Job;

/**
 * What a search for a machine requires. If no machine satisfies a request, none satisfies one that
 * needs at least as much and has no more choice of machines, until resources are freed.
 */
record ResourceRequest(Resources resources, List<String> machineTypes, String zone, boolean spot) {
    static ResourceRequest of(Job job) {
        return new ResourceRequest(
                job.taskResources,
                job.description.machineTypes(),
                job.description.zone(),
                job.description.spotAllowed());
    }

    /**
     * True if the failure of this request implies that the job's tasks fit on no machine either.
     */
    boolean covers(Job job) {
        return job.taskResources.contains(resources)
                && (spot || !job.description.spotAllowed())
                && (machineTypes == null || machineTypes.equals(job.description.machineTypes()))
                && (zone == null || zone.equals(job.description.zone()));
    }

    /**
     * True if nothing but the request limits where the job's tasks may go, so that a failed search
     * for it applies to other jobs.
     */
    static boolean isRepresentative(Job job) {
        return !job.description.spreadAcrossZones()
                && !job.description.sameZone()
                && job.failedOnHosts.isEmpty();
    }
}
