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
 * upon. Only a leader changes it.
 *
 * <p>The stored field {@code requires} is for later and earlier programs alike: a process that does
 * not know a name in it must not serve. That field and the number keep their form for ever.
 *
 * @param number counts the record's changes, so that of two reads the later one is known
 * @param features by name; a feature that is missing is {@link FeatureState#OFF}
 */
public record RolloutRecord(long number, Map<String, FeatureState> features) {
    /** What holds while there is no record. */
    public static final RolloutRecord NONE = new RolloutRecord(0, Map.of());

    private static final String NUMBER = "number";
    private static final String REQUIRES = "requires";
    private static final String FEATURES = "features";
    private static final String STEP = "step";
    private static final String SINCE = "at";
    private static final String CHANGED_BY = "by";
    private static final String ROLLED_BACK = "back";
    private static final String HELD = "held";

    /** How far a feature is. */
    public enum Step {
        /** Not every member understands it. */
        OFF,
        /** Every member reads what it writes; or it is being rolled back. */
        UNDERSTOOD,
        /** It is written and acted upon. */
        ON,
        /** No record of the old form is left, and it can't be rolled back. */
        SETTLED;

        /** The stored form. */
        public String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * A feature's step.
     *
     * @param isRollingBack whether it was on, and its records are rewritten in the old form
     * @param isHeld whether it was rolled back because nodes kept ending, and waits for an operator
     * @param sinceWallMicros when it reached this, by the time of day
     * @param changedBy who allowed it
     */
    public record FeatureState(
            Step step,
            boolean isRollingBack,
            boolean isHeld,
            long sinceWallMicros,
            String changedBy) {
        public static final FeatureState OFF = new FeatureState(Step.OFF, false, false, 0, "");

        /** True where records may exist that only a process that knows the feature can read. */
        public boolean isRequired() {
            return isOn() || isRollingBack;
        }

        /** True while it is written and acted upon. */
        public boolean isOn() {
            return step.compareTo(Step.ON) >= 0;
        }
    }

    /** Copies and sorts the features. */
    public RolloutRecord {
        features = new TreeMap<>(features);
    }

    /** A feature's standing. */
    public FeatureState stateOf(String feature) {
        return features.getOrDefault(feature, FeatureState.OFF);
    }

    /** The next version of the record, with the given standing of the feature. */
    public RolloutRecord withState(String feature, FeatureState standing) {
        Map<String, FeatureState> changed = new TreeMap<>(features);
        changed.put(feature, standing);
        return new RolloutRecord(number + 1, changed);
    }

    /** The features that a process must know in order to serve. */
    public Set<String> requiredFeatures() {
        Set<String> names = new TreeSet<>();
        features.forEach(
                (name, standing) -> {
                    if (standing.isRequired()) {
                        names.add(name);
                    }
                });
        return names;
    }

    /** The stored form. */
    public Map<String, Object> toMap() {
        Map<String, Object> all = new LinkedHashMap<>();
        features.forEach(
                (name, standing) -> {
                    Map<String, Object> map = new LinkedHashMap<>();
                    map.put(STEP, standing.step.text());
                    map.put(SINCE, standing.sinceWallMicros);
                    map.put(CHANGED_BY, standing.changedBy);
                    if (standing.isRollingBack) {
                        map.put(ROLLED_BACK, true);
                    }
                    if (standing.isHeld) {
                        map.put(HELD, true);
                    }
                    all.put(name, map);
                });
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(NUMBER, number);
        map.put(REQUIRES, List.copyOf(requiredFeatures()));
        map.put(FEATURES, all);
        return map;
    }

    /** The required features of a stored record, whatever else it holds. */
    public static Set<String> parseRequiredFeatures(Map<String, Object> map)
            throws MalformedMessageException {
        return new TreeSet<>(new Fields(map).texts(REQUIRES));
    }

    /** A stored record's number, whatever else it holds. */
    public static long parseNumber(Map<String, Object> map) throws MalformedMessageException {
        return new Fields(map).integer(NUMBER);
    }

    /** Reads the stored form. */
    public static RolloutRecord parse(Map<String, Object> map) throws MalformedMessageException {
        Fields f = new Fields(map);
        Map<String, FeatureState> features = new TreeMap<>();
        if (!(f.raw(FEATURES) instanceof Map<?, ?> all)) {
            throw new MalformedMessageException("features: expected a map");
        }
        for (Map.Entry<?, ?> entry : new ArrayList<>(all.entrySet())) {
            Fields standing = Fields.of(entry.getValue(), (String) entry.getKey());
            features.put(
                    (String) entry.getKey(),
                    new FeatureState(
                            step(standing.text(STEP)),
                            standing.flagOr(ROLLED_BACK, false),
                            standing.flagOr(HELD, false),
                            standing.integerOr(SINCE, 0),
                            standing.textOr(CHANGED_BY, "")));
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
