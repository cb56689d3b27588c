package org.woadloom.core.autoscaling;

import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.machines.Machine;

/**
 * Judges machines that are out of touch: which of them are worth waiting for, and which are to be
 * deleted, as the deletion proves that their tasks are gone. It proves nothing itself.
 */
final class MachineLossDetector {
    private static final long SILENCE_MARGIN_MICROS = 1_000_000;

    /** For how long an unreachable machine is kept beyond the end of its lease. */
    private static final long UNREACHABLE_MICROS = 10_000_000;

    /** The same where many machines of its zone are unreachable at once. */
    private static final long MANY_UNREACHABLE_MICROS = 60_000_000;

    /** For how long beyond the lease's end a silent machine that was up is kept. */
    private static final long LOST_MICROS = 20_000_000;

    /** The same for a machine with recorded tasks that this leader has not heard from. */
    private static final long LOST_WITH_RECOVERED_TASKS_MICROS = 2_000_000;

    /**
     * For how much longer silent machines of a partitioned zone are kept: to replace them costs the
     * minimum charge, a boot and the images.
     */
    private static final long PARTITIONED_MICROS = 50_000_000;

    /** A machine has failed to boot after so many times its type's boot time, and the margin. */
    private static final int BOOT_TIMES = 4;

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

    /** Why the machine is to be decommissioned although it is not idle, or null if it is not. */
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
     * True for a machine that boots, whose agent has not yet acknowledged this leader, or that will
     * most likely be reachable again.
     */
    boolean isExpectedToAcceptTasks(Machine machine) {
        if (!machine.isKnownAlive() && wasUpUnderEarlierLeader(machine)) {
            return false;
        }
        if (!machine.isKnownAlive() || !machine.isRecorded() || !machine.hasAcknowledgedTerm()) {
            return !isUnreachableBeyondLease(machine, 0);
        }
        return machine.liveness.isSuspect(state.nowMicros())
                && machine.liveness.isSendingHeartbeats(state.nowMicros())
                && !isUnreachableBeyondLease(machine, 0);
    }

    /** Its agent would have found this leader by now. */
    private boolean wasUpUnderEarlierLeader(Machine machine) {
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
     * True for a silent machine with tasks, which are most likely lost. Deleting the machine proves
     * that they are gone long before its lease would, and they can start elsewhere.
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
            // It is probed again half a lease after the last probe.
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

    /** Where over a third of a zone is silent at once, the fault is not the machines'. */
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
        return isUnreachableBeyondLease(machine, UNREACHABLE_MICROS)
                && (isUnreachableBeyondLease(machine, MANY_UNREACHABLE_MICROS)
                        || !areManyUnreachable(machine.zone));
    }

    /**
     * True for an unreachable machine whose lease has been over for the given time: nothing of what
     * was on it is left.
     */
    private boolean isUnreachableBeyondLease(Machine machine, long beyondMicros) {
        return machine.liveness.isUnreachable(state.nowMicros())
                && machine.liveness.unacknowledgedForMicros(state.nowMicros())
                        > state.delegationTimeouts().leaseExpiryMicros() + beyondMicros;
    }

    /**
     * Where over a third of a zone is unreachable, the fault is not the machines', and may pass.
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
        long timeoutMicros = BOOT_TIMES * machine.type().bootMicros() + BOOT_MARGIN_MICROS;
        if (machine.isRentalTimeRecorded() && !machine.isHeartbeatRecorded()) {
            // No leader has heard from it since it was rented; this one has waited for a heartbeat
            // that may be under way.
            return state.nowMicros() - machine.rentedMicros() > timeoutMicros
                    && sinceAliveMicros(machine) > 3 * state.settings().heartbeatIntervalMicros();
        }
        long bootingSinceMicros = Math.max(machine.rentedMicros(), state.termStartMicros());
        return state.nowMicros() - bootingSinceMicros > timeoutMicros;
    }

    /**
     * True for a machine whose agent has been silent for longer than a lease and so has stopped its
     * tasks.
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
                    && silentMicros > leaseOverMicros + LOST_WITH_RECOVERED_TASKS_MICROS;
        }
        long partitionedMicros =
                partitionedZones.isPartitioned(machine.zone) ? PARTITIONED_MICROS : 0;
        return silentMicros > leaseOverMicros + LOST_MICROS + partitionedMicros;
    }

    /** How long ago the machine was certainly alive, no longer than this leader leads. */
    private long sinceAliveMicros(Machine machine) {
        return state.nowMicros()
                - Math.max(machine.liveness.lastAliveMicros(), state.termStartMicros());
    }
}
