package org.woadloom.core.autoscaling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.machines.Machine;
import org.woadloom.protocol.ListedMachine;

/** When each machine was last in the cloud's list of machines, and when the last list came. */
final class MachineListing {
    private static final long MARGIN_MICROS = 1_000_000;

    private final SchedulerState state;
    private final Map<String, Long> lastListedMicros = new HashMap<>();

    /** Half the range, so that differences do not overflow while no list has come. */
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
     * True where the last list lacks a machine that it would show if the machine existed. A list is
     * up to two lags old, and a machine that was listed once is listed until it is deleted. This is
     * no proof that the machine's tasks are gone; its deletion is. A machine that was never up is
     * left out: it may only be new to a list that lags further behind.
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
