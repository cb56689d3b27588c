package org.woadloom.store;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/**
 * What a running process announces of itself. The key depends on a store lease that the process
 * renews, so it is deleted when the process has ended.
 *
 * @param processId tells this process from any other
 * @param supportedFeatures the features whose stored forms it reads
 * @param usableFeatures the features that it can act upon, by its program and its operators'
 *     settings
 * @param members the nodes that its settings name, itself among them
 * @param consecutiveStarts how many processes of this node started in a row, each within a minute
 *     of the one before
 * @param startedWallMicros when it started, by the time of day
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

    /** Copies and sorts the names. */
    public NodeAnnouncement {
        supportedFeatures = new TreeSet<>(supportedFeatures);
        usableFeatures = new TreeSet<>(usableFeatures);
        members = new TreeSet<>(members);
    }

    /** The stored form. */
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

    /** Reads the stored form. */
    public static NodeAnnouncement parse(Map<String, Object> map) throws MalformedMessageException {
        Fields fields = new Fields(map);
        return new NodeAnnouncement(
                fields.integer(PROCESS_ID),
                Set.copyOf(fields.texts(SUPPORTED_FEATURES)),
                Set.copyOf(fields.texts(USABLE_FEATURES)),
                Set.copyOf(fields.texts(MEMBERS)),
                (int) fields.integerOr(CONSECUTIVE_STARTS, 1),
                fields.integerOr(SINCE, 0));
    }
}
