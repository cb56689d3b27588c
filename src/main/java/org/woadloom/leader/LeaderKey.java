package org.woadloom.leader;

import java.util.LinkedHashMap;
import java.util.Map;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/** The value of the leader key. */
public record LeaderKey(String label, long term) {
    Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("label", label);
        map.put("term", term);
        return map;
    }

    static LeaderKey parse(Map<String, Object> map) throws MalformedMessageException {
        Fields f = new Fields(map);
        return new LeaderKey(f.text("label"), f.integer("term"));
    }
}
