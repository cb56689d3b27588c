package org.woadloom.core.autoscaling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.machines.Machine;

/**
 * Zones of which hardly a machine is heard any more: most likely they are cut off. What is rented
 * there now would cost money and count as coming without ever reporting, and what is there comes
 * back with its images when the cut is over. A zone is dark until a third of its machines are
 * heard, or for a while where none is left to be heard of.
 */
final class PartitionedZones {
    private static final int MIN_MACHINES = 3;
    private static final long MAX_MICROS = 90_000_000;
    private static final long MARGIN_MICROS = 1_000_000;

    private final SchedulerState state;
    private final Predicate<Machine> missingFromList;
    private final Map<String, Long> sinceMicros = new HashMap<>();

    /**
     * @param unlisted true for machines of which the cloud tells that they are gone: their silence
     *     tells nothing of the zone
     */
    PartitionedZones(SchedulerState state, Predicate<Machine> missingFromList) {
        this.state = state;
        this.missingFromList = missingFromList;
    }

    void review() {
        Map<String, Integer> all = new HashMap<>();
        Map<String, Integer> silent = new HashMap<>();
        Set<String> connected = new HashSet<>();
        for (Machine machine : state.machines().values()) {
            if ((machine.isKnownAlive() || machine.isReportedRecorded())
                    && !machine.isDeleted()
                    && !machine.isDecommissioning()) {
                if (missingFromList.test(machine) && isSilent(machine)) {
                    connected.add(machine.zone);
                    continue;
                }
                all.merge(machine.zone, 1, Integer::sum);
                silent.merge(machine.zone, isSilent(machine) ? 1 : 0, Integer::sum);
            }
        }
        connected.removeAll(all.keySet());
        all.forEach(
                (zone, count) -> {
                    if (count >= MIN_MACHINES && silent.get(zone) * 3 > count * 2) {
                        if (sinceMicros.putIfAbsent(zone, state.nowMicros()) == null) {
                            state.log(
                                    LogEntry.info(LogEvent.ZONE_PARTITIONED)
                                            .with("zone", zone)
                                            .with("silent", silent.get(zone))
                                            .with("machines", count));
                        }
                    } else if (silent.get(zone) < count) {
                        connected.add(zone);
                    }
                });
        sinceMicros
                .entrySet()
                .removeIf(
                        partition -> {
                            boolean over =
                                    connected.contains(partition.getKey())
                                            || !all.containsKey(partition.getKey())
                                                    && state.nowMicros() - partition.getValue()
                                                            > MAX_MICROS;
                            if (over) {
                                state.log(
                                        LogEntry.info(LogEvent.ZONE_RECONNECTED)
                                                .with("zone", partition.getKey()));
                            }
                            return over;
                        });
    }

    private boolean isSilent(Machine machine) {
        // A worker finds a new leader within a lease.
        return silentForMicros(machine)
                > (machine.isKnownAlive()
                        ? 3 * state.settings().heartbeatMicros() + MARGIN_MICROS
                        : state.delegationTimeouts().leaseExpiryMicros());
    }

    /**
     * For how long. A deaf worker's reports are rare and may be old, but its work runs on until its
     * lease is over.
     */
    long silentForMicros(Machine machine) {
        return state.nowMicros()
                - Math.max(machine.liveness.possiblyAliveMicros(), state.startedMicros());
    }

    boolean isPartitioned(String zone) {
        return sinceMicros.containsKey(zone);
    }
}
