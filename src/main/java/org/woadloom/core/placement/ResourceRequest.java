package org.woadloom.core.placement;

import java.util.List;
import org.woadloom.core.jobs.Job;

/**
 * What a search for machines looks for. Once no machine satisfies a request, none satisfies one
 * that needs at least as much and may go to no other machines, until resources are freed.
 */
record ResourceRequest(Resources resources, List<String> machineTypes, String zone, boolean spot) {
    static ResourceRequest of(Job job) {
        return new ResourceRequest(
                job.taskResources,
                job.description.machineTypes(),
                job.description.zone(),
                job.description.spotAllowed());
    }

    /** True if the job's tasks find no machine where this request found none. */
    boolean covers(Job job) {
        return job.taskResources.contains(resources)
                && (spot || !job.description.spotAllowed())
                && (machineTypes == null || machineTypes.equals(job.description.machineTypes()))
                && (zone == null || zone.equals(job.description.zone()));
    }

    /**
     * True for jobs whose failed search speaks for others: nothing but the request kept their tasks
     * from the machines.
     */
    static boolean isRepresentative(Job job) {
        return !job.description.spreadAcrossZones()
                && !job.description.sameZone()
                && job.failedOnHosts.isEmpty();
    }
}
