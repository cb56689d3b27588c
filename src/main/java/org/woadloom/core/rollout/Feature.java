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
 * What can be switched while versions change. A feature that is added here is off in every
 * deployment until each member says that it reads and can do it; one is removed only after it has
 * settled everywhere.
 */
// Set.of is immutable, and the predicates keep no state.
@SuppressWarnings("ImmutableEnumChecker")
public enum Feature {
    /** Records of jobs as differences, packed letters, and jobs that wait for others. */
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
    /** Leases are renewed in a zone that is cut off. */
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
    /** Records of machines say when they were rented and whether they ever came up. */
    MACHINE_LIFECYCLE(
            "machine-life",
            "machine/ with at and up; earlier versions pass over both",
            "version 1",
            0,
            true,
            true,
            Set.of(),
            StoreKeys.MACHINE_PREFIX,
            MachineRecord::hasLifecycle),
    /** Nodes vouch to the leader for the cancellations that they confirm. */
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
    private final boolean soaks;
    private final Set<String> prerequisites;
    private final String recordPrefix;
    private final Predicate<Map<String, Object>> featureFormat;

    /**
     * @param earliestReader the earliest version that reads what it writes without harm
     * @param agreedVersion the number under which versions 2 and 3 agree on it, 0 for none; they
     *     never take that back
     * @param canBeRolledBack whether it can be taken back while it is on and not settled
     * @param soaks whether it waits for a time without trouble, and is taken back by itself in
     *     trouble; one that keeps a rule without writing records does neither
     * @param recordPrefix where its records are, or null if it has none
     * @param featureFormat whether a stored record is of its form
     */
    Feature(
            String key,
            String writtenFormat,
            String earliestReader,
            long agreedVersion,
            boolean canBeRolledBack,
            boolean soaks,
            Set<String> prerequisites,
            String recordPrefix,
            Predicate<Map<String, Object>> featureFormat) {
        this.key = key;
        this.writtenFormat = writtenFormat;
        this.earliestReader = earliestReader;
        this.agreedVersion = agreedVersion;
        this.canBeRolledBack = canBeRolledBack;
        this.soaks = soaks;
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

    boolean soaks() {
        return soaks;
    }

    public static Set<String> keys(Set<Feature> features) {
        Set<String> keys = new TreeSet<>();
        features.forEach(feature -> keys.add(feature.key));
        return keys;
    }

    /** The names of all features that this program knows. */
    public static Set<String> allKeys() {
        return keys(EnumSet.allOf(Feature.class));
    }
}
