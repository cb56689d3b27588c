package org.woadloom.state;

import java.util.LinkedHashMap;
import java.util.Map;
import org.woadloom.wire.Fields;
import org.woadloom.wire.WireException;

/**
 * What a new leader must know of a machine before it has heard from it. {@code leaving} is written before the deletion
 * is asked for: that request may be executed late, so nothing may be placed there again.
 */
public record MachineRecord(String host, String hosttype, String yard, boolean reclaimable, boolean leaving) {
    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("hosttype", hosttype);
        map.put("yard", yard);
        map.put("reclaimable", reclaimable);
        if (leaving) {
            map.put("leaving", true);
        }
        return map;
    }

    public static MachineRecord parse(String host, Map<String, Object> map) throws WireException {
        Fields f = new Fields(map);
        return new MachineRecord(host, f.text("hosttype"), f.text("yard"), f.flag("reclaimable"),
                f.flagOr("leaving", false));
    }
}
