package org.woadloom.core.rollout;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.woadloom.store.JobRecord;
import org.woadloom.store.MachineRecord;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreKeys;

/**
 * Features that are switched on at run time, so that releases can be upgraded node by node. A new
 * feature is off in every deployment until each node announces that it can read and use it. A
 * feature may be removed only after it has settled in every deployment.
 */
// Set.of is immutable, and the predicates keep no state.
@SuppressWarnings("ImmutableEnumChecker")
public enum Feature {
    /** Job records in the compact format, packed job notifications, and jobs with dependencies. */
    COMPACT_RECORDS(
            "compact-records",
            "job/ with format 2, final/ with at and service, mail/ with packed-",
            "version 2",
            2,
            false,
            false,
            Set.of(),
            StoreKeys.JOB_PREFIX,
            value -> JobRecord.formatOf(value) == RecordFormat.COMPACT),
    /** Nodes renew agents' leases by delegation while their zone is partitioned from the leader. */
    LEASE_DELEGATION(
            "zone-care",
            "peer frames 16 and 17",
            "version 3",
            3,
            false,
            false,
            Set.of("compact-records"),
            null,
            value -> true),
    /** Machine records contain the rental time and whether the agent ever sent a heartbeat. */
    MACHINE_LIFECYCLE(
            "machine-life",
            "machine/ with at and up; earlier versions ignore both",
            "version 1",
            0,
            true,
            true,
            Set.of(),
            StoreKeys.MACHINE_PREFIX,
            MachineRecord::hasLifecycle),
    /**
     * Nodes report the cancellations that they have confirmed to users to the leader, which can
     * then go on without the store.
     */
    CANCELLATION_REPORTS(
            "cancellation-vouches",
            "peer frames 18 and 19",
            "the first version that lists it",
            0,
            true,
            false,
            Set.of(),
            null,
            value -> true);

    private final String key;
    private final String writtenFormat;
    private final String earliestReader;
    private final long agreedVersion;
    private final boolean canBeRolledBack;
    private final boolean requiresSoak;
    private final Set<String> prerequisites;
    private final String recordPrefix;
    private final Predicate<Map<String, Object>> featureFormat;

    /**
     * @param key the name of the feature in the store, in messages, in the log and on the command
     *     line
     * @param writtenFormat what the feature writes, as shown to operators
     * @param earliestReader the earliest release that can safely read what the feature writes
     * @param agreedVersion the agreed version from which releases 2 and 3 use the feature, 0 for
     *     none; they never lower it
     * @param canBeRolledBack whether the feature can be rolled back while it is on and not settled
     * @param requiresSoak whether the feature is switched on only after a soak time without
     *     problems, and is rolled back automatically while on if a node is in a crash loop; not
     *     needed for features that write no records
     * @param prerequisites the keys of the features that must be on before
     * @param recordPrefix the store key prefix of the records that it writes, or null if it writes
     *     none
     * @param featureFormat tells whether a stored record is in the feature's format
     */
    Feature(
            String key,
            String writtenFormat,
            String earliestReader,
            long agreedVersion,
            boolean canBeRolledBack,
            boolean requiresSoak,
            Set<String> prerequisites,
            String recordPrefix,
            Predicate<Map<String, Object>> featureFormat) {
        this.key = key;
        this.writtenFormat = writtenFormat;
        this.earliestReader = earliestReader;
        this.agreedVersion = agreedVersion;
        this.canBeRolledBack = canBeRolledBack;
        this.requiresSoak = requiresSoak;
        this.prerequisites = prerequisites;
        this.recordPrefix = recordPrefix;
        this.featureFormat = featureFormat;
    }

    public String key() {
        return key;
    }

    public String writtenFormat() {
        return writtenFormat;
    }

    public String earliestReader() {
        return earliestReader;
    }

    public long agreedVersion() {
        return agreedVersion;
    }

    public boolean canBeRolledBack() {
        return canBeRolledBack;
    }

    public Set<String> prerequisites() {
        return prerequisites;
    }

    public String recordPrefix() {
        return recordPrefix;
    }

    public boolean isInFeatureFormat(Map<String, Object> record) {
        return featureFormat.test(record);
    }

    boolean requiresSoak() {
        return requiresSoak;
    }

    /** The keys of the given features. */
    public static Set<String> keys(Set<Feature> features) {
        Set<String> keys = new TreeSet<>();
        features.forEach(feature -> keys.add(feature.key));
        return keys;
    }

    /** The keys of all features that this release knows. */
    public static Set<String> allKeys() {
        return keys(EnumSet.allOf(Feature.class));
    }
}
