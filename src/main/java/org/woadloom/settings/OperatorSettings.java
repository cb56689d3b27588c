package org.woadloom.settings;

import java.util.Locale;

/**
 * Settings that the operators may change. Each has a default.
 *
 * @param reservationTtlMicros time after which a reservation expires unless it is renewed
 * @param reservationRenewMicros interval at which reservations are renewed
 * @param largeTaskShare jobs get reservations if a task needs at least this share of the CPUs,
 *     memory or GPUs of every machine type that they may use
 * @param headroom idle CPUs to keep for load fluctuations, as a share of the used CPUs
 * @param idleReturnMicros maximum time for which a machine stays idle before it is returned
 * @param quarantineMicros how long a machine on which tasks of several jobs failed gets no tasks
 * @param leaseDelegation whether nodes renew the leases of agents in their zone during a partition
 * @param rolloutSoakMicros how long a rollout must run without trouble before it advances
 * @param migrationWriteShare share of the store's write rate that may be spent on rewriting records
 *     in a new format
 */
public record OperatorSettings(
        long reservationTtlMicros,
        long reservationRenewMicros,
        double largeTaskShare,
        double headroom,
        long idleReturnMicros,
        long quarantineMicros,
        boolean leaseDelegation,
        long rolloutSoakMicros,
        double migrationWriteShare) {

    public static OperatorSettings defaults() {
        return new OperatorSettings(
                60_000_000, 20_000_000, 0.5, 0.25, 45_000_000, 120_000_000, true, 10_000_000, 0.1);
    }

    /** Returns one line for each setting, with its key in the file and its value. */
    public String describe() {
        return String.format(
                Locale.ROOT,
                "reservation.ttl_s = %s%nreservation.renew_s = %s%nreservation.big_task_share ="
                        + " %s%ncapacity.headroom = %s%ncapacity.idle_return_s ="
                        + " %s%nmachines.quarantine_s = %s%nzones.care = %s%nrollout.soak_s ="
                        + " %s%nrollout.rewrite_share = %s%n",
                reservationTtlMicros / 1e6,
                reservationRenewMicros / 1e6,
                largeTaskShare,
                headroom,
                idleReturnMicros / 1e6,
                quarantineMicros / 1e6,
                leaseDelegation,
                rolloutSoakMicros / 1e6,
                migrationWriteShare);
    }
}
