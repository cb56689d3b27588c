package org.woadloom.core.autoscaling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.machines.Machine;

/**
 * Zones in which most machines are silent, probably because of a network partition. A machine
 * rented there would cost money and count as booting without ever reporting, while the existing
 * machines come back with their images when the partition heals. A zone counts as partitioned until
 * a third of its machines report, or for a limited time if no machine is left to report.
 */
final class PartitionedZones {
    /** With fewer machines, their silence may have causes of their own. */
    private static final int MIN_MACHINES = 3;

    /** How long a partitioned zone without machines still counts as partitioned. */
    private static final long MAX_MICROS_WITHOUT_MACHINES = 90_000_000;

    private static final long MARGIN_MICROS = 1_000_000;

    private final SchedulerState state;
    private final MachineListing listing;
    private final Map<String, Long> partitionedSinceMicros = new HashMap<>();

    /** What one review finds in each zone. */
    private static final class ZoneCounts {
        private final Map<String, Integer> machines = new HashMap<>();
        private final Map<String, Integer> silent = new HashMap<>();

        /** Zones that are not partitioned, or no longer. */
        private final Set<String> connected = new HashSet<>();
    }

    /**
     * @param listing identifies machines that the cloud no longer has; their silence says nothing
     *     about the zone
     */
    PartitionedZones(SchedulerState state, MachineListing listing) {
        this.state = state;
        this.listing = listing;
    }

    void review() {
        ZoneCounts counts = count();
        counts.machines.forEach((zone, machines) -> updateZone(zone, machines, counts));
        removeReconnected(counts);
    }

    private ZoneCounts count() {
        ZoneCounts counts = new ZoneCounts();
        for (Machine machine : state.machines().values()) {
            boolean wasUp = machine.isKnownAlive() || machine.isHeartbeatRecorded();
            if (!wasUp || machine.isDeleted() || machine.isDecommissioning()) {
                continue;
            }
            boolean silent = isSilent(machine);
            if (silent && listing.isMissing(machine)) {
                counts.connected.add(machine.zone);
                continue;
            }
            counts.machines.merge(machine.zone, 1, Integer::sum);
            counts.silent.merge(machine.zone, silent ? 1 : 0, Integer::sum);
        }
        // A zone is connected if all of its machines are missing from the list. Otherwise the
        // machines that are not missing decide.
        counts.connected.removeAll(counts.machines.keySet());
        return counts;
    }

    private void updateZone(String zone, int machines, ZoneCounts counts) {
        int silent = counts.silent.get(zone);
        if (machines >= MIN_MACHINES && silent * 3 > machines * 2) {
            if (partitionedSinceMicros.putIfAbsent(zone, state.nowMicros()) == null) {
                state.log(
                        LogEntry.info(LogEvent.ZONE_PARTITIONED)
                                .with("zone", zone)
                                .with("silent", silent)
                                .with("machines", machines));
            }
        } else if (silent < machines) {
            counts.connected.add(zone);
        }
    }

    private void removeReconnected(ZoneCounts counts) {
        partitionedSinceMicros
                .entrySet()
                .removeIf(
                        partition -> {
                            boolean over = isOver(partition.getKey(), partition.getValue(), counts);
                            if (over) {
                                state.log(
                                        LogEntry.info(LogEvent.ZONE_RECONNECTED)
                                                .with("zone", partition.getKey()));
                            }
                            return over;
                        });
    }

    private boolean isOver(String zone, long sinceMicros, ZoneCounts counts) {
        return counts.connected.contains(zone)
                || (!counts.machines.containsKey(zone)
                        && state.nowMicros() - sinceMicros > MAX_MICROS_WITHOUT_MACHINES);
    }

    private boolean isSilent(Machine machine) {
        // An agent finds a new leader within a lease.
        long limitMicros =
                machine.isKnownAlive()
                        ? 3 * state.settings().heartbeatIntervalMicros() + MARGIN_MICROS
                        : state.delegationTimeouts().leaseExpiryMicros();
        return silentForMicros(machine) > limitMicros;
    }

    /**
     * How long no message has arrived from the machine. Heartbeats that may have been delayed count
     * too: those of an unreachable agent are rare and may be old, but its tasks run until its lease
     * expires.
     */
    long silentForMicros(Machine machine) {
        return state.nowMicros()
                - Math.max(machine.liveness.lastPossiblyAliveMicros(), state.termStartMicros());
    }

    boolean isPartitioned(String zone) {
        return partitionedSinceMicros.containsKey(zone);
    }
}
