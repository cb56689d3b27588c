package org.woadloom.store;

import java.util.LinkedHashMap;
import java.util.Map;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/**
 * What a new leader must know of a machine before it has heard from it. {@code leaving} is written
 * before the deletion is asked for: that request may be executed late, so nothing may be placed
 * there again. {@code life} is null where the record does not tell it: earlier versions pass over
 * it.
 */
public record MachineRecord(
        String host,
        String machineType,
        String zone,
        boolean spot,
        boolean decommissioning,
        Lifecycle lifecycle) {
    private static final String RENTED = "at";

    /** When the machine was rented, by the time of day, and whether its worker was ever heard. */
    public record Lifecycle(long rentedWallMicros, boolean hasReported) {}

    /** A machine of whose life nothing is known. */
    public MachineRecord(
            String host, String machineType, String zone, boolean spot, boolean decommissioning) {
        this(host, machineType, zone, spot, decommissioning, null);
    }

    /** True for a stored record that tells of the machine's life. */
    public static boolean hasLifecycle(Map<String, Object> map) {
        return map.containsKey(RENTED);
    }

    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("hosttype", machineType);
        map.put("yard", zone);
        map.put("reclaimable", spot);
        if (decommissioning) {
            map.put("leaving", true);
        }
        if (lifecycle != null) {
            map.put(RENTED, lifecycle.rentedWallMicros);
            if (lifecycle.hasReported) {
                map.put("up", true);
            }
        }
        return map;
    }

    public static MachineRecord parse(String host, Map<String, Object> map)
            throws MalformedMessageException {
        Fields f = new Fields(map);
        return new MachineRecord(
                host,
                f.text("hosttype"),
                f.text("yard"),
                f.flag("reclaimable"),
                f.flagOr("leaving", false),
                hasLifecycle(map) ? new Lifecycle(f.integer(RENTED), f.flagOr("up", false)) : null);
    }
}
