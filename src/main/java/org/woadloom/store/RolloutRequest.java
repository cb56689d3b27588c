package org.woadloom.store;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/**
 * An operator's request for the rollout of a feature. It stays in effect until another request
 * replaces it.
 */
public record RolloutRequest(Verb verb, String operator, long requestedWallMicros) {
    /** Used while no operator has made a request. */
    public static final RolloutRequest AUTO = new RolloutRequest(Verb.AUTO, "", 0);

    private static final String VERB = "verb";
    private static final String OPERATOR = "by";
    private static final String REQUESTED_AT = "at";

    /** Requested handling of the rollout. */
    public enum Verb {
        /** The rollout advances automatically. */
        AUTO,
        /** The rollout stays in its current step. */
        HOLD,
        /**
         * The rollout advances without waiting periods, even after it was held because nodes kept
         * crashing.
         */
        GO,
        /**
         * The feature is rolled back. The request has no effect on a settled feature, one whose old
         * format no record has any more, nor on a feature that is on and does not support being
         * rolled back.
         */
        BACK;

        /** The stored form. */
        public String text() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** Returns the verb with the given stored name, or null if it is unknown. */
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

    /**
     * Decodes a stored request. A verb of a later release, whose effect is unknown, is treated as
     * {@link Verb#HOLD}.
     */
    public static RolloutRequest parse(Map<String, Object> map) throws MalformedMessageException {
        Fields fields = new Fields(map);
        Verb verb = Verb.of(fields.text(VERB));
        return new RolloutRequest(
                verb == null ? Verb.HOLD : verb,
                fields.textOr(OPERATOR, ""),
                fields.integerOr(REQUESTED_AT, 0));
    }
}
