package org.woadloom.core.placement;

import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.machines.Machine;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;

/** Where a job's tasks are allowed at all, and which machines take new tasks now. */
public final class PlacementConstraints {
    private final SchedulerState state;

    public PlacementConstraints(SchedulerState state) {
        this.state = state;
    }

    /**
     * True if a machine of this type, zone and kind may run the job's tasks, whatever its other
     * tasks do.
     */
    public boolean allows(JobDescription job, MachineType type, String zone, boolean spot) {
        return type != null
                && type.fits(job)
                && (job.machineTypes() == null || job.machineTypes().contains(type.name()))
                && (job.zone() == null || job.zone().equals(zone))
                && (!spot || job.spotAllowed());
    }

    /** The same for a machine, with the zone rules. */
    public boolean allows(Job job, Machine machine) {
        return allows(job.description, machine.type(), machine.zone, machine.spot)
                && allowsZone(job, machine.zone);
    }

    /** Zone rules, given every task of the job that is or may be somewhere. */
    public boolean allowsZone(Job job, String zone) {
        if (job.description.sameZone()
                && !job.occupiedZones().isEmpty()
                && !(job.occupiedZones().size() == 1 && job.occupiedZones().contains(zone))) {
            return false;
        }
        return !job.description.spreadAcrossZones()
                || job.attemptCountInZone(zone) < maxTasksPerZone(job.description);
    }

    /** How many tasks of a job may be in one zone: half of them, rounded up, if they spread. */
    public static int maxTasksPerZone(JobDescription job) {
        return job.spreadAcrossZones() ? (job.taskCount() + 1) / 2 : Integer.MAX_VALUE;
    }

    /** True if the machine's agent is reachable and new tasks may go there. */
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
     * True for a machine whose heartbeats are overdue, though its agent may still answer commands:
     * its lease is running out.
     */
    public boolean isHeartbeatOverdue(Machine machine) {
        return state.nowMicros() - machine.liveness.lastHeartbeatMicros()
                > state.livenessTimeouts().maxFreshAgeMicros();
    }
}
