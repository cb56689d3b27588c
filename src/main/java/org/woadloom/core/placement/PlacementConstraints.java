package org.woadloom.core.placement;

import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.machines.Machine;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;

/**
 * Decides which machines and zones a job's tasks may use, and which machines accept new tasks now.
 */
public final class PlacementConstraints {
    private final SchedulerState state;

    public PlacementConstraints(SchedulerState state) {
        this.state = state;
    }

    /**
     * True if the job may use a machine of this type, in this zone and of this kind, whatever other
     * tasks it has.
     */
    public boolean allows(JobDescription job, MachineType type, String zone, boolean spot) {
        return type != null
                && type.fits(job)
                && (job.machineTypes() == null || job.machineTypes().contains(type.name()))
                && (job.zone() == null || job.zone().equals(zone))
                && (!spot || job.spotAllowed());
    }

    /**
     * Like {@link #allows(JobDescription, MachineType, String, boolean)}, also given where the
     * job's other tasks are.
     */
    public boolean allows(Job job, Machine machine) {
        return allows(job.description, machine.type(), machine.zone, machine.spot)
                && allowsZone(job, machine.zone);
    }

    /**
     * Applies the rules on spreading over zones and on a single zone to the zones of the job's
     * current attempts.
     */
    public boolean allowsZone(Job job, String zone) {
        if (job.description.sameZone()
                && !job.occupiedZones().isEmpty()
                && !(job.occupiedZones().size() == 1 && job.occupiedZones().contains(zone))) {
            return false;
        }
        return !job.description.spreadAcrossZones()
                || job.attemptCountInZone(zone) < maxTasksPerZone(job.description);
    }

    /**
     * Maximum number of the job's tasks in one zone: half of them, rounded up, if they must spread.
     */
    public static int maxTasksPerZone(JobDescription job) {
        return job.spreadAcrossZones() ? (job.taskCount() + 1) / 2 : Integer.MAX_VALUE;
    }

    /** True if the machine accepts new tasks and its agent is reachable. */
    public boolean acceptsTasks(Machine machine) {
        return machine.type() != null
                && machine.isRecorded()
                && !machine.isDecommissioning()
                && !machine.isDeleted()
                && machine.isUp()
                && machine.spotTerminationMicros() < 0
                && machine.quarantinedUntilMicros() <= state.nowMicros()
                && machine.placementPausedUntilMicros() <= state.nowMicros()
                && !isHeartbeatOverdue(machine)
                && !machine.liveness.isSuspect(state.nowMicros());
    }

    /**
     * True if the machine's heartbeats are overdue, so that its lease is about to expire. Its agent
     * may still respond to direct commands.
     */
    public boolean isHeartbeatOverdue(Machine machine) {
        return state.nowMicros() - machine.liveness.lastHeartbeatMicros()
                > state.livenessTimeouts().maxFreshAgeMicros();
    }
}
