package org.woadloom.core.autoscaling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.machines.Machine;
import org.woadloom.protocol.ListedMachine;

/** When each machine was last in the cloud's list of machines, and when the last list arrived. */
final class MachineListing {
    private static final long MARGIN_MICROS = 1_000_000;

    private final SchedulerState state;
    private final Map<String, Long> lastListedMicros = new HashMap<>();

    /** Half the range of a long, so that differences do not overflow before the first list. */
    private long lastListMicros = Long.MIN_VALUE / 2;

    MachineListing(SchedulerState state) {
        this.state = state;
    }

    void onMachinesListed(List<ListedMachine> machines) {
        lastListMicros = state.nowMicros();
        for (ListedMachine machine : machines) {
            lastListedMicros.put(machine.host(), lastListMicros);
        }
        lastListedMicros.keySet().retainAll(state.machines().keySet());
    }

    /**
     * True if the last list lacks a machine that it would contain if the machine existed. A list is
     * up to twice the list lag old, and a machine that was listed once stays listed until it is
     * deleted. This does not prove that the machine's tasks are gone; only its deletion does. A
     * machine that was never up is never missing: it may be too new for a list that lags even
     * further behind.
     */
    boolean isMissing(Machine machine) {
        if (!machine.isKnownAlive() && !machine.isHeartbeatRecorded()) {
            return false;
        }
        long existsSinceMicros = Math.max(machine.rentedMicros(), state.termStartMicros());
        return lastListMicros - lastListedMicros.getOrDefault(machine.host, existsSinceMicros)
                > 2 * state.settings().machineListLagMicros() + MARGIN_MICROS;
    }
}
