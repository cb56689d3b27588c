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
 * Rollout state of every feature. It determines which formats may be written and which features are
 * in use. Only a leader changes it.
 *
 * <p>The stored field {@code requires} is read by every release, earlier and later ones: a process
 * that does not know one of the listed features must not serve. The formats of that field and of
 * {@code number} never change.
 *
 * @param number incremented with every change of the record, so that the newer of two reads can be
 *     identified
 * @param features state by feature name; a missing feature is {@link FeatureState#OFF}
 */
public record RolloutRecord(long number, Map<String, FeatureState> features) {
    /** Used while no record exists. */
    public static final RolloutRecord NONE = new RolloutRecord(0, Map.of());

    private static final String NUMBER = "number";
    private static final String REQUIRES = "requires";
    private static final String FEATURES = "features";
    private static final String STEP = "step";
    private static final String SINCE = "at";
    private static final String CHANGED_BY = "by";
    private static final String ROLLED_BACK = "back";
    private static final String HELD = "held";

    /** Rollout phase of a feature. */
    public enum Step {
        /** Not every member supports the feature. */
        OFF,
        /** Every member can read what the feature writes, or the feature is being rolled back. */
        UNDERSTOOD,
        /** The feature's formats are written and the feature is in use. */
        ON,
        /** No record in the old format is left; the feature can no longer be rolled back. */
        SETTLED;

        /** The stored form. */
        public String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Rollout state of one feature.
     *
     * @param isRollingBack true if the feature was on and its records are being rewritten in the
     *     old format
     * @param isHeld true if the feature was rolled back because nodes kept crashing, and the
     *     rollout waits for an operator
     * @param sinceWallMicros wall-clock time at which the feature reached this state
     * @param changedBy the operator or node that allowed the change
     */
    public record FeatureState(
            Step step,
            boolean isRollingBack,
            boolean isHeld,
            long sinceWallMicros,
            String changedBy) {
        public static final FeatureState OFF = new FeatureState(Step.OFF, false, false, 0, "");

        /** Returns true if records may exist that only a process with this feature can read. */
        public boolean isRequired() {
            return isOn() || isRollingBack;
        }

        /** Returns true while the feature is in use and its formats are written. */
        public boolean isOn() {
            return step.compareTo(Step.ON) >= 0;
        }
    }

    /** Copies and sorts the features. */
    public RolloutRecord {
        features = new TreeMap<>(features);
    }

    /** Returns the state of a feature. */
    public FeatureState stateOf(String feature) {
        return features.getOrDefault(feature, FeatureState.OFF);
    }

    /** Returns the next version of the record, with a changed state of one feature. */
    public RolloutRecord withState(String feature, FeatureState state) {
        Map<String, FeatureState> changed = new TreeMap<>(features);
        changed.put(feature, state);
        return new RolloutRecord(number + 1, changed);
    }

    /** Returns the features that a process must support in order to serve. */
    public Set<String> requiredFeatures() {
        Set<String> names = new TreeSet<>();
        features.forEach(
                (name, state) -> {
                    if (state.isRequired()) {
                        names.add(name);
                    }
                });
        return names;
    }

    /** The stored form. */
    public Map<String, Object> toMap() {
        Map<String, Object> featureMaps = new LinkedHashMap<>();
        features.forEach(
                (name, state) -> {
                    Map<String, Object> map = new LinkedHashMap<>();
                    map.put(STEP, state.step.text());
                    map.put(SINCE, state.sinceWallMicros);
                    map.put(CHANGED_BY, state.changedBy);
                    if (state.isRollingBack) {
                        map.put(ROLLED_BACK, true);
                    }
                    if (state.isHeld) {
                        map.put(HELD, true);
                    }
                    featureMaps.put(name, map);
                });
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(NUMBER, number);
        map.put(REQUIRES, List.copyOf(requiredFeatures()));
        map.put(FEATURES, featureMaps);
        return map;
    }

    /**
     * Decodes only the required features of a stored record. Works for records of every release.
     */
    public static Set<String> parseRequiredFeatures(Map<String, Object> map)
            throws MalformedMessageException {
        return new TreeSet<>(new Fields(map).textList(REQUIRES));
    }

    /** Decodes only the number of a stored record. Works for records of every release. */
    public static long parseNumber(Map<String, Object> map) throws MalformedMessageException {
        return new Fields(map).integer(NUMBER);
    }

    /** Decodes a stored record. */
    public static RolloutRecord parse(Map<String, Object> map) throws MalformedMessageException {
        Fields fields = new Fields(map);
        Map<String, FeatureState> features = new TreeMap<>();
        if (!(fields.raw(FEATURES) instanceof Map<?, ?> featureMaps)) {
            throw new MalformedMessageException(FEATURES + ": expected a map");
        }
        for (Map.Entry<?, ?> entry : new ArrayList<>(featureMaps.entrySet())) {
            Fields stateFields = Fields.of(entry.getValue(), (String) entry.getKey());
            features.put(
                    (String) entry.getKey(),
                    new FeatureState(
                            parseStep(stateFields.text(STEP)),
                            stateFields.flagOr(ROLLED_BACK, false),
                            stateFields.flagOr(HELD, false),
                            stateFields.integerOr(SINCE, 0),
                            stateFields.textOr(CHANGED_BY, "")));
        }
        return new RolloutRecord(fields.integer(NUMBER), features);
    }

    private static Step parseStep(String text) throws MalformedMessageException {
        for (Step step : Step.values()) {
            if (step.text().equals(text)) {
                return step;
            }
        }
        throw new MalformedMessageException(String.format("step: unknown value \"%.40s\"", text));
    }
}
