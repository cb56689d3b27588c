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
 * Zones most of whose machines are silent: most likely the network to them is partitioned. What is
 * rented there now would cost money and count as booting without ever reporting, and the machines
 * that are there come back with their images when the partition heals. A zone counts as partitioned
 * until a third of its machines report, or for a while where no machine is left to report.
 */
final class PartitionedZones {
    /** With fewer machines a zone's silence may be theirs. */
    private static final int MIN_MACHINES = 3;

    /** For how long a zone without machines counts as partitioned. */
    private static final long MAX_MICROS_WITHOUT_MACHINES = 90_000_000;

    private static final long MARGIN_MICROS = 1_000_000;

    private final SchedulerState state;
    private final MachineListing listing;
    private final Map<String, Long> partitionedSinceMicros = new HashMap<>();

    /** The machines of each zone as this review finds them. */
    private static final class ZoneCounts {
        private final Map<String, Integer> machines = new HashMap<>();
        private final Map<String, Integer> silent = new HashMap<>();
        private final Set<String> connected = new HashSet<>();
    }

    /**
     * @param listing tells of machines that the cloud no longer has: their silence says nothing of
     *     the zone
     */
    PartitionedZones(SchedulerState state, MachineListing listing) {
        this.state = state;
        this.listing = listing;
    }

    void review() {
        ZoneCounts counts = count();
        counts.machines.forEach((zone, machines) -> judge(zone, machines, counts));
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
        // A zone whose machines are all gone from the list is connected; one with others is judged.
        counts.connected.removeAll(counts.machines.keySet());
        return counts;
    }

    private void judge(String zone, int machines, ZoneCounts counts) {
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
     * For how long nothing has come from the machine. An unreachable agent's heartbeats are rare
     * and may be old, but its tasks run on until its lease is over, so those count as well.
     */
    long silentForMicros(Machine machine) {
        return state.nowMicros()
                - Math.max(machine.liveness.lastPossiblyAliveMicros(), state.termStartMicros());
    }

    boolean isPartitioned(String zone) {
        return partitionedSinceMicros.containsKey(zone);
    }
}
