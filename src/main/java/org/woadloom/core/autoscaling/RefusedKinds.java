package org.woadloom.core.autoscaling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.woadloom.core.SchedulerState;
import org.woadloom.protocol.MachineType;

/** The kinds of machine that the cloud could not provide, with the time of the last refusal. */
final class RefusedKinds {
    /** How long a kind is not requested after a refusal. */
    private static final long RETRY_MICROS = 15_000_000;

    /** How long a kind counts as scarce after a refusal. */
    private static final long SCARCE_MICROS = 60_000_000;

    private final SchedulerState state;
    private final Map<MachineKind, Long> lastRefusedMicros = new HashMap<>();

    RefusedKinds(SchedulerState state) {
        this.state = state;
    }

    void onRefused(MachineKind kind) {
        lastRefusedMicros.put(kind, state.nowMicros());
    }

    /** True for a kind that was refused too recently to be requested again. */
    boolean isRefused(MachineKind kind) {
        return wasRefusedWithin(RETRY_MICROS, kind);
    }

    private boolean wasRefusedWithin(long micros, MachineKind kind) {
        Long refused = lastRefusedMicros.get(kind);
        return refused != null && state.nowMicros() - refused < micros;
    }

    /**
     * Recomputes the scheduler's scarce zones, in which every on-demand machine type was refused
     * recently. Machines in these zones are kept for jobs that can run nowhere else.
     */
    void updateScarceZones() {
        Set<String> scarce = new HashSet<>();
        Set<String> available = new HashSet<>();
        for (MachineType type : state.machineTypes().values()) {
            for (String zone : type.zones()) {
                if (wasRefusedWithin(SCARCE_MICROS, new MachineKind(type, zone, false))) {
                    scarce.add(zone);
                } else {
                    available.add(zone);
                }
            }
        }
        scarce.removeAll(available);
        // If every zone is scarce, jobs have no other zone to go to.
        state.setScarceZones(available.isEmpty() ? Set.of() : scarce);
    }
}
