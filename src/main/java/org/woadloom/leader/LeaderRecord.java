package org.woadloom.leader;

import java.util.LinkedHashMap;
import java.util.Map;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/** The value of the leader key: the label of the leader and its term. */
public record LeaderRecord(String label, long term) {
    private static final String LABEL = "label";
    private static final String TERM = "term";

    Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(LABEL, label);
        map.put(TERM, term);
        return map;
    }

    static LeaderRecord parse(Map<String, Object> map) throws MalformedMessageException {
        Fields fields = new Fields(map);
        return new LeaderRecord(fields.text(LABEL), fields.integer(TERM));
    }
}
