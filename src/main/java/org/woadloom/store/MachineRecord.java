package org.woadloom.store;

import java.util.LinkedHashMap;
import java.util.Map;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/**
 * What a new leader must know of a machine before its first heartbeat.
 *
 * @param decommissioning written before the deletion is requested from the cloud: that request may
 *     be executed late, so nothing may be placed there any more
 * @param lifecycle null where the record has none: earlier versions neither write nor read it
 */
public record MachineRecord(
        String host,
        String machineType,
        String zone,
        boolean spot,
        boolean decommissioning,
        Lifecycle lifecycle) {
    private static final String MACHINE_TYPE = "hosttype";
    private static final String ZONE = "yard";
    private static final String SPOT = "reclaimable";
    private static final String DECOMMISSIONING = "leaving";
    private static final String RENTED_AT = "at";
    private static final String HAS_REPORTED = "up";

    /** When the machine was rented, by the time of day, and whether its agent ever reported. */
    public record Lifecycle(long rentedWallMicros, boolean hasReported) {}

    /** A machine whose lifecycle is not known. */
    public MachineRecord(
            String host, String machineType, String zone, boolean spot, boolean decommissioning) {
        this(host, machineType, zone, spot, decommissioning, null);
    }

    /** True for a stored record that has the machine's lifecycle. */
    public static boolean hasLifecycle(Map<String, Object> map) {
        return map.containsKey(RENTED_AT);
    }

    /** The stored form. */
    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(MACHINE_TYPE, machineType);
        map.put(ZONE, zone);
        map.put(SPOT, spot);
        if (decommissioning) {
            map.put(DECOMMISSIONING, true);
        }
        if (lifecycle != null) {
            map.put(RENTED_AT, lifecycle.rentedWallMicros);
            if (lifecycle.hasReported) {
                map.put(HAS_REPORTED, true);
            }
        }
        return map;
    }

    /** Reads the stored form. */
    public static MachineRecord parse(String host, Map<String, Object> map)
            throws MalformedMessageException {
        Fields fields = new Fields(map);
        return new MachineRecord(
                host,
                fields.text(MACHINE_TYPE),
                fields.text(ZONE),
                fields.flag(SPOT),
                fields.flagOr(DECOMMISSIONING, false),
                hasLifecycle(map)
                        ? new Lifecycle(
                                fields.integer(RENTED_AT), fields.flagOr(HAS_REPORTED, false))
                        : null);
    }
}
