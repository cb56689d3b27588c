package org.woadloom.store;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/** What an operator asks for a feature. It stands until another takes its place. */
public record RolloutRequest(Verb verb, String by, long wallMicros) {
    public static final RolloutRequest AUTO = new RolloutRequest(Verb.AUTO, "", 0);

    public enum Verb {
        /** Goes on by itself. */
        AUTO,
        /** Stays where it is. */
        HOLD,
        /**
         * Goes on without waiting for time to pass, also after it was held because nodes kept
         * ending.
         */
        GO,
        /** Is taken back, as long as it is not settled. */
        BACK;

        public String text() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** The verb, or null for any other word. */
        public static Verb of(String text) {
            for (Verb verb : values()) {
                if (verb.text().equals(text)) {
                    return verb;
                }
            }
            return null;
        }
    }

    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("verb", verb.text());
        map.put("by", by);
        map.put("at", wallMicros);
        return map;
    }

    /**
     * A verb of a later version holds the feature where it is, as it is not known what it would do.
     */
    public static RolloutRequest parse(Map<String, Object> map) throws MalformedMessageException {
        Fields f = new Fields(map);
        Verb verb = Verb.of(f.text("verb"));
        return new RolloutRequest(
                verb == null ? Verb.HOLD : verb, f.textOr("by", ""), f.integerOr("at", 0));
    }
}
