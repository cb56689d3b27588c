package org.woadloom.core.placement;

import java.util.HashSet;
import java.util.Set;
import org.woadloom.core.jobs.Job;

/**
 * A search over many jobs that is split into steps. Each step examines a bounded number of
 * machines, and the next step continues with the jobs not visited yet.
 */
public final class IncrementalSearch {
    private final int maxMachinesPerStep;
    private final Set<Job> visited = new HashSet<>();
    private long machinesExamined;
    private long examinedBeforeStep;

    /**
     * @param maxMachinesPerStep maximum number of machines that one step examines; a machine counts
     *     once for each job
     */
    public IncrementalSearch(int maxMachinesPerStep) {
        this.maxMachinesPerStep = maxMachinesPerStep;
    }

    /** Starts a step with a new budget. */
    public void beginStep() {
        examinedBeforeStep = machinesExamined;
    }

    public boolean isVisited(Job job) {
        return visited.contains(job);
    }

    /**
     * True if this step may examine this many more machines. The first search of a step is always
     * allowed, or a job that needs more than a step's budget would block all others.
     */
    public boolean mayExamine(long machines) {
        long examinedInStep = machinesExamined - examinedBeforeStep;
        return examinedInStep == 0 || examinedInStep + machines <= maxMachinesPerStep;
    }

    public void markVisited(Job job) {
        visited.add(job);
    }

    public void addExamined(int machines) {
        machinesExamined += machines;
    }

    /** Ends the search, after it has visited every job; the next one starts with no job visited. */
    public void reset() {
        visited.clear();
    }

    /** Total number of machines examined so far, over all steps. */
    public long machinesExamined() {
        return machinesExamined;
    }
}
