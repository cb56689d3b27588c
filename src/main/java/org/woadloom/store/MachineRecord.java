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
        String hosttype,
        String yard,
        boolean reclaimable,
        boolean leaving,
        Lifecycle life) {
    private static final String RENTED = "at";

    /** When the machine was rented, by the time of day, and whether its worker was ever heard. */
    public record Lifecycle(long rentedWallMicros, boolean up) {}

    /** A machine of whose life nothing is known. */
    public MachineRecord(
            String host, String hosttype, String yard, boolean reclaimable, boolean leaving) {
        this(host, hosttype, yard, reclaimable, leaving, null);
    }

    /** True for a stored record that tells of the machine's life. */
    public static boolean tellsLife(Map<String, Object> map) {
        return map.containsKey(RENTED);
    }

    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("hosttype", hosttype);
        map.put("yard", yard);
        map.put("reclaimable", reclaimable);
        if (leaving) {
            map.put("leaving", true);
        }
        if (life != null) {
            map.put(RENTED, life.rentedWallMicros);
            if (life.up) {
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
                tellsLife(map) ? new Lifecycle(f.integer(RENTED), f.flagOr("up", false)) : null);
    }
}
