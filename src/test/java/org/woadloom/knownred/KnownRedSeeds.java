package org.woadloom.knownred;

import java.util.Set;
import java.util.stream.LongStream;

/** Restricts the seeds that the current test case runs, according to KNOWN-RED.txt. */
public final class KnownRedSeeds {
    private static final ThreadLocal<Set<Long>> EXCLUDED = ThreadLocal.withInitial(Set::of);
    private static final ThreadLocal<Long> ONLY = new ThreadLocal<>();

    private KnownRedSeeds() {}

    /** Returns those of the seeds that the test case is to run now. */
    public static long[] select(long[] seeds) {
        if (ONLY.get() != null) {
            return new long[] {ONLY.get()};
        }
        return LongStream.of(seeds).filter(seed -> !EXCLUDED.get().contains(seed)).toArray();
    }

    static void exclude(Set<Long> seeds) {
        EXCLUDED.set(seeds);
    }

    static void runOnly(long seed) {
        ONLY.set(seed);
    }

    static void runAll() {
        EXCLUDED.remove();
        ONLY.remove();
    }
}
