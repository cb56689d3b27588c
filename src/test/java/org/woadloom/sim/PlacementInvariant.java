package org.woadloom.sim;

import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.TaskId;

/**
 * {@link ProtocolRule#WRONG_PLACE}: a task starts only on a machine that satisfies the placement
 * constraints of its job, given where the other tasks of the job run at that moment.
 */
final class PlacementInvariant extends Invariant {
    private final ObservedState observed;

    PlacementInvariant(ObservedState observed) {
        this.observed = observed;
    }

    @Override
    void beforeTaskStart(TaskId task, JobDescription job, SimulatedAgent agent) {
        if (!agent.fits(job)) {
            throw new InvariantViolation(
                    ProtocolRule.WRONG_PLACE,
                    task
                            + " starts on "
                            + agent.host
                            + ", which its job does not allow (type "
                            + agent.machineType
                            + ", zone "
                            + agent.zone
                            + ", spot "
                            + agent.spot
                            + ")");
        }
        int others = 0;
        int othersInZone = 0;
        for (SimulatedAgent machine : observed.machinesOfOtherTasks(task)) {
            others++;
            othersInZone += machine.zone.equals(agent.zone) ? 1 : 0;
        }
        if (job.sameZone() && othersInZone < others) {
            throw new InvariantViolation(
                    ProtocolRule.WRONG_PLACE,
                    task
                            + " starts in zone "
                            + agent.zone
                            + ", but tasks of its single-zone job run in another");
        }
        int inZone = othersInZone + 1;
        if (job.spreadAcrossZones() && inZone > (job.taskCount() + 1) / 2) {
            throw new InvariantViolation(
                    ProtocolRule.WRONG_PLACE,
                    task
                            + " starts as task "
                            + inZone
                            + " of its job in zone "
                            + agent.zone
                            + ", allowed are "
                            + (job.taskCount() + 1) / 2);
        }
    }
}
