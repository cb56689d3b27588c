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
    private static final int FEWEST = 3;
    private static final long MOST_MICROS = 90_000_000;
    private static final long MARGIN_MICROS = 1_000_000;

    private final SchedulerState world;
    private final Predicate<Machine> unlisted;
    private final Map<String, Long> sinceMicros = new HashMap<>();

    /**
     * @param unlisted true for machines of which the cloud tells that they are gone: their silence
     *     tells nothing of the zone
     */
    PartitionedZones(SchedulerState world, Predicate<Machine> unlisted) {
        this.world = world;
        this.unlisted = unlisted;
    }

    void review() {
        Map<String, Integer> all = new HashMap<>();
        Map<String, Integer> silent = new HashMap<>();
        Set<String> light = new HashSet<>();
        for (Machine machine : world.machines.values()) {
            if ((machine.heard() || machine.upRecorded) && !machine.deleted && !machine.leaving) {
                if (unlisted.test(machine) && silent(machine)) {
                    light.add(machine.zone);
                    continue;
                }
                all.merge(machine.zone, 1, Integer::sum);
                silent.merge(machine.zone, silent(machine) ? 1 : 0, Integer::sum);
            }
        }
        light.removeAll(all.keySet());
        all.forEach(
                (zone, count) -> {
                    if (count >= FEWEST && silent.get(zone) * 3 > count * 2) {
                        if (sinceMicros.putIfAbsent(zone, world.nowMicros) == null) {
                            world.log(
                                    LogEntry.info(LogEvent.ZONE_PARTITIONED)
                                            .with("zone", zone)
                                            .with("silent", silent.get(zone))
                                            .with("machines", count));
                        }
                    } else if (silent.get(zone) < count) {
                        light.add(zone);
                    }
                });
        sinceMicros
                .entrySet()
                .removeIf(
                        dark -> {
                            boolean over =
                                    light.contains(dark.getKey())
                                            || !all.containsKey(dark.getKey())
                                                    && world.nowMicros - dark.getValue()
                                                            > MOST_MICROS;
                            if (over) {
                                world.log(
                                        LogEntry.info(LogEvent.ZONE_RECONNECTED)
                                                .with("zone", dark.getKey()));
                            }
                            return over;
                        });
    }

    private boolean silent(Machine machine) {
        // A worker finds a new leader within a lease.
        return saysNothing(machine)
                > (machine.heard()
                        ? 3 * world.settings.reportMicros() + MARGIN_MICROS
                        : world.care.leaseOverMicros());
    }

    /**
     * For how long. A deaf worker's reports are rare and may be old, but its work runs on until its
     * lease is over.
     */
    long saysNothing(Machine machine) {
        return world.nowMicros
                - Math.max(machine.hearing.perhapsAliveMicros(), world.startedMicros);
    }

    boolean dark(String zone) {
        return sinceMicros.containsKey(zone);
    }
}
