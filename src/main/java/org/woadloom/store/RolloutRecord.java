package org.woadloom.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/**
 * How far each feature has been rolled out: the one record that says what may be written and acted
 * upon. Only a leader changes it. {@code number} counts its changes, so that of two readings the
 * later is known.
 *
 * <p>{@code requires} is for programs of the future and the past alike: whoever does not know a
 * name in it must not serve. That field and the number keep their form for ever.
 */
public record RolloutRecord(long number, Map<String, Standing> features) {
    public static final RolloutRecord NONE = new RolloutRecord(0, Map.of());
    private static final String NUMBER = "number";
    private static final String REQUIRES = "requires";

    /** How far a feature is. */
    public enum Step {
        /** Not every member understands it. */
        OFF,
        /** Every member reads what it writes; or it is being taken back. */
        UNDERSTOOD,
        /** It is written and acted upon. */
        ON,
        /** Nothing of the old form is left, and it can't be taken back. */
        SETTLED;

        public String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * A feature's step, since when by the time of day, and who allowed it.
     *
     * @param back it was on, and its records are rewritten in the old form
     * @param held it was taken back because nodes kept ending, and waits for an operator
     */
    public record Standing(Step step, boolean back, boolean held, long sinceWallMicros, String by) {
        public static final Standing OFF = new Standing(Step.OFF, false, false, 0, "");

        /** True where records may exist that only those can read who know the feature. */
        public boolean required() {
            return on() || back;
        }

        public boolean on() {
            return step.compareTo(Step.ON) >= 0;
        }
    }

    public RolloutRecord {
        features = new TreeMap<>(features);
    }

    public Standing of(String feature) {
        return features.getOrDefault(feature, Standing.OFF);
    }

    /** The next state of the record, in which the feature stands so. */
    public RolloutRecord with(String feature, Standing standing) {
        Map<String, Standing> changed = new TreeMap<>(features);
        changed.put(feature, standing);
        return new RolloutRecord(number + 1, changed);
    }

    /** What every process must know that is to serve. */
    public Set<String> requires() {
        Set<String> names = new TreeSet<>();
        features.forEach(
                (name, standing) -> {
                    if (standing.required()) {
                        names.add(name);
                    }
                });
        return names;
    }

    public Map<String, Object> toMap() {
        Map<String, Object> all = new LinkedHashMap<>();
        features.forEach(
                (name, standing) -> {
                    Map<String, Object> map = new LinkedHashMap<>();
                    map.put("step", standing.step.text());
                    map.put("at", standing.sinceWallMicros);
                    map.put("by", standing.by);
                    if (standing.back) {
                        map.put("back", true);
                    }
                    if (standing.held) {
                        map.put("held", true);
                    }
                    all.put(name, map);
                });
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(NUMBER, number);
        map.put(REQUIRES, List.copyOf(requires()));
        map.put("features", all);
        return map;
    }

    /** What a stored record requires, whatever else it holds. */
    public static Set<String> requiredBy(Map<String, Object> map) throws MalformedMessageException {
        return new TreeSet<>(new Fields(map).texts(REQUIRES));
    }

    /** A stored record's number, whatever else it holds. */
    public static long numberOf(Map<String, Object> map) throws MalformedMessageException {
        return new Fields(map).integer(NUMBER);
    }

    public static RolloutRecord parse(Map<String, Object> map) throws MalformedMessageException {
        Fields f = new Fields(map);
        Map<String, Standing> features = new TreeMap<>();
        if (!(f.raw("features") instanceof Map<?, ?> all)) {
            throw new MalformedMessageException("features: expected a map");
        }
        for (Map.Entry<?, ?> entry : new ArrayList<>(all.entrySet())) {
            Fields standing = Fields.of(entry.getValue(), (String) entry.getKey());
            features.put(
                    (String) entry.getKey(),
                    new Standing(
                            step(standing.text("step")),
                            standing.flagOr("back", false),
                            standing.flagOr("held", false),
                            standing.integerOr("at", 0),
                            standing.textOr("by", "")));
        }
        return new RolloutRecord(f.integer(NUMBER), features);
    }

    private static Step step(String text) throws MalformedMessageException {
        for (Step step : Step.values()) {
            if (step.text().equals(text)) {
                return step;
            }
        }
        throw new MalformedMessageException("step: " + text + " is a later version's");
    }
}
