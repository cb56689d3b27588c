package org.woadloom.settings;

/** The operators' own settings, each with a default. Durations are microseconds. */
public record OperatorSettings(long reservationTtlMicros, long reservationRenewMicros, double bigTaskShare, double headroom,
        long idleReturnMicros, long quarantineMicros) {

    public static OperatorSettings defaults() {
        return new OperatorSettings(60_000_000, 20_000_000, 0.5, 0.25, 45_000_000, 120_000_000);
    }
}
