package org.woadloom.store;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/**
 * What a running process says of itself. It hangs on a grant that the process renews, so the word
 * of one that is gone goes with it.
 *
 * @param life tells this process from any other
 * @param reads the features of which it understands what is written
 * @param can the features that it can act upon, by its program and its operators' settings
 * @param members the nodes that its settings name, itself among them
 * @param starts how many processes of this node began in a row, each within a minute of the one
 *     before
 */
public record NodeAnnouncement(
        long processId,
        Set<String> supportedFeatures,
        Set<String> usableFeatures,
        Set<String> members,
        int consecutiveStarts,
        long sinceWallMicros) {

    public NodeAnnouncement {
        supportedFeatures = new TreeSet<>(supportedFeatures);
        usableFeatures = new TreeSet<>(usableFeatures);
        members = new TreeSet<>(members);
    }

    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("life", processId);
        map.put("reads", List.copyOf(supportedFeatures));
        map.put("can", List.copyOf(usableFeatures));
        map.put("members", List.copyOf(members));
        map.put("starts", (long) consecutiveStarts);
        map.put("at", sinceWallMicros);
        return map;
    }

    public static NodeAnnouncement parse(Map<String, Object> map) throws MalformedMessageException {
        Fields f = new Fields(map);
        return new NodeAnnouncement(
                f.integer("life"),
                Set.copyOf(f.texts("reads")),
                Set.copyOf(f.texts("can")),
                Set.copyOf(f.texts("members")),
                (int) f.integerOr("starts", 1),
                f.integerOr("at", 0));
    }
}
