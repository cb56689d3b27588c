package org.woadloom.store;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/** What an operator requests for a feature. It holds until another request replaces it. */
public record RolloutRequest(Verb verb, String operator, long requestedWallMicros) {
    /** What holds while no operator has requested anything. */
    public static final RolloutRequest AUTO = new RolloutRequest(Verb.AUTO, "", 0);

    private static final String VERB = "verb";
    private static final String OPERATOR = "by";
    private static final String REQUESTED_AT = "at";

    /** What is to happen with the rollout. */
    public enum Verb {
        /** Advances by itself. */
        AUTO,
        /** Stays at its step. */
        HOLD,
        /** Advances without the waiting times, also after it was held because nodes kept ending. */
        GO,
        /** Is rolled back, as long as it is not settled. */
        BACK;

        /** The stored form. */
        public String text() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** The verb of a stored form, or null for an unknown one. */
        public static Verb of(String text) {
            for (Verb verb : values()) {
                if (verb.text().equals(text)) {
                    return verb;
                }
            }
            return null;
        }
    }

    /** The stored form. */
    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(VERB, verb.text());
        map.put(OPERATOR, operator);
        map.put(REQUESTED_AT, requestedWallMicros);
        return map;
    }

    /** A verb of a later version holds the feature at its step, as its effect is not known. */
    public static RolloutRequest parse(Map<String, Object> map) throws MalformedMessageException {
        Fields fields = new Fields(map);
        Verb verb = Verb.of(fields.text(VERB));
        return new RolloutRequest(
                verb == null ? Verb.HOLD : verb,
                fields.textOr(OPERATOR, ""),
                fields.integerOr(REQUESTED_AT, 0));
    }
}
