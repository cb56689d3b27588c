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
    ZONE_CARE(
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
    MACHINE_LIFE(
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
    CANCELLATION_VOUCHES(
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
    private final String writes;
    private final String leastReader;
    private final long agreedVersion;
    private final boolean revocable;
    private final boolean soaks;
    private final Set<String> needs;
    private final String prefix;
    private final Predicate<Map<String, Object>> fresh;

    /**
     * @param leastReader the earliest version that reads what it writes without harm
     * @param agreedVersion the number under which versions 2 and 3 agree on it, 0 for none; they
     *     never take that back
     * @param revocable whether it can be taken back while it is on and not settled
     * @param soaks whether it waits for a time without trouble, and is taken back by itself in
     *     trouble; one that keeps a rule without writing records does neither
     * @param prefix where its records are, or null if it has none
     * @param fresh whether a stored record is of its form
     */
    Feature(
            String key,
            String writes,
            String leastReader,
            long agreedVersion,
            boolean revocable,
            boolean soaks,
            Set<String> needs,
            String prefix,
            Predicate<Map<String, Object>> fresh) {
        this.key = key;
        this.writes = writes;
        this.leastReader = leastReader;
        this.agreedVersion = agreedVersion;
        this.revocable = revocable;
        this.soaks = soaks;
        this.needs = needs;
        this.prefix = prefix;
        this.fresh = fresh;
    }

    public String key() {
        return key;
    }

    public String writes() {
        return writes;
    }

    public String leastReader() {
        return leastReader;
    }

    public long agreedVersion() {
        return agreedVersion;
    }

    public boolean revocable() {
        return revocable;
    }

    public Set<String> needs() {
        return needs;
    }

    public String prefix() {
        return prefix;
    }

    public boolean fresh(Map<String, Object> record) {
        return fresh.test(record);
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
    public static Set<String> known() {
        return keys(EnumSet.allOf(Feature.class));
    }
}
