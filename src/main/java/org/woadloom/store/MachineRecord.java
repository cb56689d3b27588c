package org.woadloom.store;

import java.util.LinkedHashMap;
import java.util.Map;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Durable record of a machine; a new leader loads it before the machine's first heartbeat arrives.
 *
 * @param decommissioning set before the cloud is asked to delete the machine. The cloud may execute
 *     the deletion late, so no task may be placed on the machine from then on
 * @param lifecycle null if the record has none; earlier versions neither write nor read it
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

    /**
     * Wall-clock time at which the machine was rented, and whether its agent has ever sent a
     * heartbeat.
     */
    public record Lifecycle(long rentedWallMicros, boolean hasReported) {}

    /** Creates a record with an unknown lifecycle. */
    public MachineRecord(
            String host, String machineType, String zone, boolean spot, boolean decommissioning) {
        this(host, machineType, zone, spot, decommissioning, null);
    }

    /** Returns true if the stored record contains the machine's lifecycle. */
    public static boolean hasLifecycle(Map<String, Object> map) {
        return map.containsKey(RENTED_AT);
    }

    /** Encodes the record for the store. */
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

    /** Decodes a stored record. */
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
