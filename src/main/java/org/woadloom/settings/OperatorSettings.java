package org.woadloom.settings;

import java.util.Locale;

/** The operators' own settings, each with a default. Durations are microseconds. */
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

    /** The settings as lines of the file that would set them. */
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
