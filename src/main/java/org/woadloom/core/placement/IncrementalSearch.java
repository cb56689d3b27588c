package org.woadloom.core.placement;

import java.util.HashSet;
import java.util.Set;
import org.woadloom.core.jobs.Job;

/**
 * A search on behalf of many jobs that is spread over steps: each step examines a bounded number of
 * machines, and the next one goes on with the jobs that were not visited.
 */
public final class IncrementalSearch {
    private final int maxMachinesPerStep;
    private final Set<Job> visited = new HashSet<>();
    private long machinesExamined;
    private long examinedBeforeStep;

    /**
     * @param maxMachinesPerStep how many machines one step examines at most, each counted anew for
     *     each job
     */
    public IncrementalSearch(int maxMachinesPerStep) {
        this.maxMachinesPerStep = maxMachinesPerStep;
    }

    /** A step begins. */
    public void beginStep() {
        examinedBeforeStep = machinesExamined;
    }

    /** True if this search was made for the job already. */
    public boolean isVisited(Job job) {
        return visited.contains(job);
    }

    /** True if this step may examine so many more machines, or has not examined any yet. */
    public boolean mayExamine(long machines) {
        long examinedInStep = machinesExamined - examinedBeforeStep;
        return examinedInStep == 0 || examinedInStep + machines <= maxMachinesPerStep;
    }

    /** The search for the job is made now. */
    public void markVisited(Job job) {
        visited.add(job);
    }

    /** So many machines are examined. */
    public void addExamined(int machines) {
        machinesExamined += machines;
    }

    /** The search was made for every job: what follows is another one. */
    public void reset() {
        visited.clear();
    }

    /** How many machines were examined since this was made. */
    public long machinesExamined() {
        return machinesExamined;
    }
}
