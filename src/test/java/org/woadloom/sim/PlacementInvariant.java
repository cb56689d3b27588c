package org.woadloom.sim;

import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.TaskId;

/**
 * {@link ProtocolRule#WRONG_PLACE}: a task starts on a machine that its job allows, given where the
 * job's other tasks are at that moment.
 */
final class PlacementInvariant extends Invariant {
    private final ObservedState observed;

    PlacementInvariant(ObservedState observed) {
        this.observed = observed;
    }

    @Override
    void beforeTaskStart(TaskId task, JobDescription job, SimulatedAgent agent) {
        if (!agent.fits(job)) {
            throw new InvariantViolation(ProtocolRule.WRONG_PLACE, task + " on " + agent.host);
        }
        int others = 0;
        int othersInZone = 0;
        for (SimulatedAgent machine : observed.machinesOfOtherTasks(task)) {
            others++;
            othersInZone += machine.zone.equals(agent.zone) ? 1 : 0;
        }
        if (job.sameZone() && othersInZone < others) {
            throw new InvariantViolation(
                    ProtocolRule.WRONG_PLACE, task + " starts apart from its job");
        }
        int inZone = othersInZone + 1;
        if (job.spreadAcrossZones() && inZone > (job.taskCount() + 1) / 2) {
            throw new InvariantViolation(
                    ProtocolRule.WRONG_PLACE, task + " makes " + inZone + " in " + agent.zone);
        }
    }
}
