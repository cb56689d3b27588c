package org.woadloom.core.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.placement.PlacementConstraints;
import org.woadloom.core.placement.Resources;
import org.woadloom.core.placement.TaskPlacer;
import org.woadloom.core.reservation.Reservations;

/** Decommissions lost machines, and idle machines beyond the headroom that is kept free. */
final class ScaleInPlanner {
    /**
     * The cloud charges each machine for at least about this long, so deleting it earlier saves
     * nothing.
     */
    private static final long MIN_CHARGE_MICROS = 55_000_000;

    private final SchedulerState state;
    private final PlacementConstraints constraints;
    private final TaskPlacer placer;
    private final Reservations reservations;
    private final MachineLossDetector losses;

    ScaleInPlanner(
            SchedulerState state,
            PlacementConstraints constraints,
            TaskPlacer placer,
            Reservations reservations,
            MachineLossDetector losses) {
        this.state = state;
        this.constraints = constraints;
        this.placer = placer;
        this.reservations = reservations;
        this.losses = losses;
    }

    void review() {
        Resources free = Resources.NONE;
        Resources used = Resources.NONE;
        for (Machine machine : state.machines().values()) {
            if (constraints.acceptsTasks(machine)) {
                free = free.plus(machine.free());
                used = used.plus(machine.used());
            }
        }
        // The headroom and the free resources are computed before any machine is decommissioned.
        long headroomCpu = headroomCpu(used);
        removeIdle(removeLost(), free, headroomCpu);
    }

    /**
     * Returns how many CPUs are kept free. A small fleet must have room for one large job, a large
     * fleet for the fluctuations of many jobs. None are kept while no jobs arrive and none are
     * queued; with a queue they are, because a queued gang needs all of its machines at once.
     */
    private long headroomCpu(Resources used) {
        boolean quiet =
                state.demandEstimator().isQuiet(state.nowMicros())
                        && state.dependencies().blockedCount() == 0
                        && placer.placementQueue().isEmpty();
        if (quiet) {
            return 0;
        }
        long fluctuationCpu = (long) (used.cpu() * state.settings().operator().headroom());
        return Math.max(fluctuationCpu, state.demandEstimator().largeJobCpu());
    }

    /** Decommissions lost machines and returns the idle ones. */
    List<Machine> removeLost() {
        List<Machine> idle = new ArrayList<>();
        for (Machine machine : state.machines().values()) {
            if (machine.isDecommissioning()
                    || machine.isDeleted()
                    || !machine.isConfirmed()
                    || reservations.hasReservations(machine)) {
                continue;
            }
            DecommissionReason reason = losses.findReason(machine);
            if (reason != null) {
                decommission(machine, reason);
            } else if (machine.isKnownAlive()
                    && machine.isEmpty()
                    && constraints.acceptsTasks(machine)) {
                idle.add(machine);
            }
        }
        return idle;
    }

    /**
     * Decommissions idle machines, the most expensive first, as long as the headroom stays free.
     */
    private void removeIdle(List<Machine> idle, Resources free, long headroomCpu) {
        idle.sort(Comparator.comparingDouble((Machine machine) -> -machine.pricePerCpu()));
        Resources left = free;
        for (Machine machine : idle) {
            Resources without = left.minus(machine.capacity());
            long idleMicros = state.nowMicros() - machine.idleSinceMicros();
            if (without.cpu() > headroomCpu
                    && idleMicros > maxIdleMicros(machine, without.cpu(), headroomCpu)
                    && state.nowMicros() - machine.rentedMicros() > MIN_CHARGE_MICROS) {
                decommission(machine, DecommissionReason.IDLE);
                left = without;
            }
        }
    }

    /**
     * Returns how long a machine may be idle. Renting it again costs its boot time, so it is kept
     * idle for no longer than that, and for a shorter time if far more than the headroom is free.
     */
    private long maxIdleMicros(Machine machine, long freeCpu, long headroomCpu) {
        long maxMicros =
                Math.min(
                        state.settings().operator().idleReturnMicros(),
                        machine.type().bootMicros());
        return freeCpu > 2 * headroomCpu ? maxMicros / 4 : maxMicros;
    }

    private void decommission(Machine machine, DecommissionReason reason) {
        if (reason.abandons()) {
            machine.abandon();
        } else {
            machine.decommission();
        }
        state.log(
                LogEntry.info(LogEvent.MACHINE_DECOMMISSIONED)
                        .with("machine", machine.host)
                        .with("zone", machine.zone)
                        .with("reason", reason.logText()));
    }
}
