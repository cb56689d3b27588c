package org.woadloom.core.autoscaling;

import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.machines.Machine;

/**
 * Decides which machines without contact are worth waiting for, and which are to be decommissioned.
 * Its decisions do not prove that a machine's tasks are gone; only the deletion of the machine
 * does.
 */
final class MachineLossDetector {
    private static final long SILENCE_MARGIN_MICROS = 1_000_000;

    /** How long an unreachable machine is kept after its lease has expired. */
    private static final long UNREACHABLE_GRACE_MICROS = 10_000_000;

    /** The same if many machines of its zone are unreachable at once. */
    private static final long MANY_UNREACHABLE_GRACE_MICROS = 60_000_000;

    /** How long a silent machine that was up is kept after its lease has expired. */
    private static final long LOST_GRACE_MICROS = 20_000_000;

    /** The same for a machine with recovered tasks that has not reported to this leader. */
    private static final long RECOVERED_TASKS_GRACE_MICROS = 2_000_000;

    /**
     * How much longer silent machines of a partitioned zone are kept, because replacing them costs
     * the minimum charge, a boot and the download of images.
     */
    private static final long PARTITION_EXTRA_GRACE_MICROS = 50_000_000;

    /**
     * A machine has failed to boot after this many times its type's boot time, plus {@link
     * #BOOT_MARGIN_MICROS}.
     */
    private static final int BOOT_TIMEOUT_FACTOR = 4;

    private static final long BOOT_MARGIN_MICROS = 30_000_000;

    private final SchedulerState state;
    private final MachineListing listing;
    private final PartitionedZones partitionedZones;

    MachineLossDetector(
            SchedulerState state, MachineListing listing, PartitionedZones partitionedZones) {
        this.state = state;
        this.listing = listing;
        this.partitionedZones = partitionedZones;
    }

    /**
     * Returns why the machine is to be decommissioned although it is not idle, or null if it is to
     * be kept.
     */
    DecommissionReason findReason(Machine machine) {
        if (isSilentAndMissing(machine)) {
            return DecommissionReason.MISSING_FROM_LIST;
        }
        if (isSilentWithTasks(machine)) {
            return DecommissionReason.SILENT_WITH_TASKS;
        }
        if (isUnreachableForTooLong(machine)) {
            return DecommissionReason.UNREACHABLE;
        }
        boolean spotTerminated = machine.spotTerminationMicros() >= 0 && machine.isEmpty();
        if (hasFailedToBoot(machine) || isLost(machine) || spotTerminated) {
            return DecommissionReason.FAILED_OR_LOST;
        }
        return null;
    }

    /**
     * True for a machine that is booting, whose agent has not yet acknowledged this leader, or that
     * will probably become reachable again.
     */
    boolean isExpectedToAcceptTasks(Machine machine) {
        if (!machine.isKnownAlive() && isProbablyGone(machine)) {
            return false;
        }
        if (!machine.isKnownAlive() || !machine.isRecorded() || !machine.hasAcknowledgedTerm()) {
            return !isUnreachableBeyondLease(machine, 0);
        }
        return machine.liveness.isSuspect(state.nowMicros())
                && machine.liveness.isSendingHeartbeats(state.nowMicros())
                && !isUnreachableBeyondLease(machine, 0);
    }

    /**
     * True for a machine that was up under an earlier leader, if its agent would have found this
     * leader by now or the cloud no longer lists the machine.
     */
    private boolean isProbablyGone(Machine machine) {
        return (machine.isHeartbeatRecorded()
                        && sinceAliveMicros(machine)
                                > state.delegationTimeouts().leaseExpiryMicros())
                || listing.isMissing(machine);
    }

    private boolean isSilentAndMissing(Machine machine) {
        return listing.isMissing(machine)
                && partitionedZones.silentForMicros(machine)
                        > 3 * state.settings().heartbeatIntervalMicros() + SILENCE_MARGIN_MICROS;
    }

    /**
     * True for a silent machine with tasks, which are probably lost. Deleting the machine proves
     * that they are gone long before its lease expires, so that they can start elsewhere earlier.
     */
    private boolean isSilentWithTasks(Machine machine) {
        return machine.isUp()
                && partitionedZones.silentForMicros(machine) >= silenceLimitMicros(machine)
                && hasTasks(machine)
                && !areManySilent(machine.zone);
    }

    private long silenceLimitMicros(Machine machine) {
        long limitMicros = 3 * state.settings().heartbeatIntervalMicros();
        boolean answersCommandsOnly =
                machine.liveness.lastAliveMicros() - machine.liveness.lastHeartbeatMicros()
                        > state.livenessTimeouts().maxFreshAgeMicros();
        if (answersCommandsOnly) {
            // The next probe follows half a lease after the last one.
            long probeMicros =
                    state.settings().leaseDurationMicros() / 2
                            + ScaleOutRequests.ANSWER_TIMEOUT_MICROS;
            limitMicros = Math.max(limitMicros, probeMicros);
        }
        return limitMicros + SILENCE_MARGIN_MICROS;
    }

    private static boolean hasTasks(Machine machine) {
        for (TaskAttempt attempt : machine.attempts()) {
            if (!attempt.isStopping()) {
                return true;
            }
        }
        return false;
    }

    /**
     * True if more than a third of a zone's machines are silent at once, which is not the fault of
     * the single machine.
     */
    private boolean areManySilent(String zone) {
        int up = 0;
        int silent = 0;
        for (Machine machine : state.machines().values()) {
            if (machine.zone.equals(zone) && machine.isUp() && !machine.isDeleted()) {
                up++;
                if (partitionedZones.silentForMicros(machine)
                        > 2 * state.settings().heartbeatIntervalMicros()) {
                    silent++;
                }
            }
        }
        return silent * 3 > up && silent != 1;
    }

    private boolean isUnreachableForTooLong(Machine machine) {
        return isUnreachableBeyondLease(machine, UNREACHABLE_GRACE_MICROS)
                && (isUnreachableBeyondLease(machine, MANY_UNREACHABLE_GRACE_MICROS)
                        || !areManyUnreachable(machine.zone));
    }

    /**
     * True for an unreachable machine whose lease expired more than the given time ago, so that
     * none of its tasks is left.
     */
    private boolean isUnreachableBeyondLease(Machine machine, long beyondMicros) {
        return machine.liveness.isUnreachable(state.nowMicros())
                && machine.liveness.unacknowledgedForMicros(state.nowMicros())
                        > state.delegationTimeouts().leaseExpiryMicros() + beyondMicros;
    }

    /**
     * True if more than a third of a zone's machines are unreachable at once. That is not the fault
     * of the single machine, and may be temporary.
     */
    private boolean areManyUnreachable(String zone) {
        int alive = 0;
        int unreachable = 0;
        for (Machine machine : state.machines().values()) {
            if (machine.zone.equals(zone) && machine.isKnownAlive() && !machine.isDeleted()) {
                alive++;
                if (machine.liveness.isUnreachable(state.nowMicros())) {
                    unreachable++;
                }
            }
        }
        return unreachable > 1 && unreachable * 3 > alive;
    }

    private boolean hasFailedToBoot(Machine machine) {
        if (machine.isKnownAlive() || machine.type() == null || !machine.isEmpty()) {
            return false;
        }
        long timeoutMicros = BOOT_TIMEOUT_FACTOR * machine.type().bootMicros() + BOOT_MARGIN_MICROS;
        if (machine.isRentalTimeRecorded() && !machine.isHeartbeatRecorded()) {
            // No leader has received a heartbeat since the machine was rented, and this leader has
            // waited for one that may be in transit.
            return state.nowMicros() - machine.rentedMicros() > timeoutMicros
                    && sinceAliveMicros(machine) > 3 * state.settings().heartbeatIntervalMicros();
        }
        long bootingSinceMicros = Math.max(machine.rentedMicros(), state.termStartMicros());
        return state.nowMicros() - bootingSinceMicros > timeoutMicros;
    }

    /**
     * True for a machine whose agent has been silent for longer than a lease plus a grace period,
     * and so has stopped its tasks.
     */
    private boolean isLost(Machine machine) {
        // In a partitioned zone a node may renew leases by delegation, and the machines come back
        // with their tasks.
        long leaseOverMicros =
                state.delegationTimeouts().leaseExpiryMicros()
                        + state.delegations()
                                .extraSilenceAllowanceMicros(machine.zone, state.nowMicros());
        long silentMicros = sinceAliveMicros(machine);
        boolean wasUp =
                machine.isKnownAlive() || (machine.isEmpty() && machine.isHeartbeatRecorded());
        if (!wasUp) {
            return !machine.isEmpty()
                    && silentMicros > leaseOverMicros + RECOVERED_TASKS_GRACE_MICROS;
        }
        long partitionedMicros =
                partitionedZones.isPartitioned(machine.zone) ? PARTITION_EXTRA_GRACE_MICROS : 0;
        return silentMicros > leaseOverMicros + LOST_GRACE_MICROS + partitionedMicros;
    }

    /**
     * Time since the machine was last proven alive, or since the start of this term if that is
     * later.
     */
    private long sinceAliveMicros(Machine machine) {
        return state.nowMicros()
                - Math.max(machine.liveness.lastAliveMicros(), state.termStartMicros());
    }
}
