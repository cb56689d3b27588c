package org.woadloom.store;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Record that a running controller process publishes about itself. Its key is attached to a store
 * lease that the process renews, so the store deletes the key after the process has stopped.
 *
 * @param processId unique id of the process
 * @param supportedFeatures features whose stored formats the process can read
 * @param usableFeatures features that the process can use, according to its release and its
 *     operator's settings
 * @param members nodes listed in the process's settings, including its own
 * @param consecutiveStarts number of starts of this node in a row, each within a minute of the
 *     previous one
 * @param startedWallMicros wall-clock time at which the process started
 */
public record NodeAnnouncement(
        long processId,
        Set<String> supportedFeatures,
        Set<String> usableFeatures,
        Set<String> members,
        int consecutiveStarts,
        long startedWallMicros) {
    private static final String PROCESS_ID = "life";
    private static final String SUPPORTED_FEATURES = "reads";
    private static final String USABLE_FEATURES = "can";
    private static final String MEMBERS = "members";
    private static final String CONSECUTIVE_STARTS = "starts";
    private static final String SINCE = "at";

    /** Copies and sorts the sets. */
    public NodeAnnouncement {
        supportedFeatures = new TreeSet<>(supportedFeatures);
        usableFeatures = new TreeSet<>(usableFeatures);
        members = new TreeSet<>(members);
    }

    /** Encodes the record for the store. */
    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(PROCESS_ID, processId);
        map.put(SUPPORTED_FEATURES, List.copyOf(supportedFeatures));
        map.put(USABLE_FEATURES, List.copyOf(usableFeatures));
        map.put(MEMBERS, List.copyOf(members));
        map.put(CONSECUTIVE_STARTS, (long) consecutiveStarts);
        map.put(SINCE, startedWallMicros);
        return map;
    }

    /** Decodes a stored record. */
    public static NodeAnnouncement parse(Map<String, Object> map) throws MalformedMessageException {
        Fields fields = new Fields(map);
        return new NodeAnnouncement(
                fields.integer(PROCESS_ID),
                Set.copyOf(fields.textList(SUPPORTED_FEATURES)),
                Set.copyOf(fields.textList(USABLE_FEATURES)),
                Set.copyOf(fields.textList(MEMBERS)),
                (int) fields.integerOr(CONSECUTIVE_STARTS, 1),
                fields.integerOr(SINCE, 0));
    }
}
