package org.woadloom.core.autoscaling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.woadloom.core.SchedulerState;
import org.woadloom.protocol.MachineType;

/** The kinds of machine that the cloud had too few of, and when it last said so. */
final class RefusedKinds {
    /** For how long a kind is not requested after it was refused. */
    private static final long RETRY_MICROS = 15_000_000;

    /** For how long after a refusal a kind counts as scarce. */
    private static final long SCARCE_MICROS = 60_000_000;

    private final SchedulerState state;
    private final Map<MachineKind, Long> lastRefusedMicros = new HashMap<>();

    RefusedKinds(SchedulerState state) {
        this.state = state;
    }

    void onRefused(MachineKind kind) {
        lastRefusedMicros.put(kind, state.nowMicros());
    }

    /** True for a kind that is not worth a request yet. */
    boolean isRefused(MachineKind kind) {
        return wasRefusedWithin(RETRY_MICROS, kind);
    }

    private boolean wasRefusedWithin(long micros, MachineKind kind) {
        Long refused = lastRefusedMicros.get(kind);
        return refused != null && state.nowMicros() - refused < micros;
    }

    /**
     * Recomputes the scheduler's scarce zones: those where every type was refused on demand lately.
     * The machines that are there are kept for work that can run nowhere else.
     */
    void updateScarceZones() {
        Set<String> scarce = new HashSet<>();
        Set<String> open = new HashSet<>();
        for (MachineType type : state.machineTypes().values()) {
            for (String zone : type.zones()) {
                if (wasRefusedWithin(SCARCE_MICROS, new MachineKind(type, zone, false))) {
                    scarce.add(zone);
                } else {
                    open.add(zone);
                }
            }
        }
        scarce.removeAll(open);
        // Where every zone is scarce, work has nowhere else to go.
        state.setScarceZones(open.isEmpty() ? Set.of() : scarce);
    }
}
