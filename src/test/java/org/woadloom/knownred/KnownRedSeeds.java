package org.woadloom.knownred;

import java.util.Set;
import java.util.stream.LongStream;

/** Which seeds the running test case is to play, as far as KNOWN-RED.txt lists some of them. */
public final class KnownRedSeeds {
    private static final ThreadLocal<Set<Long>> LEFT_OUT = ThreadLocal.withInitial(Set::of);
    private static final ThreadLocal<Long> ONLY = new ThreadLocal<>();

    private KnownRedSeeds() {}

    /** The seeds that the test case is to play now, of those that it would play. */
    public static long[] select(long[] seeds) {
        if (ONLY.get() != null) {
            return new long[] {ONLY.get()};
        }
        return LongStream.of(seeds).filter(seed -> !LEFT_OUT.get().contains(seed)).toArray();
    }

    static void leaveOut(Set<Long> seeds) {
        LEFT_OUT.set(seeds);
    }

    static void playOnly(long seed) {
        ONLY.set(seed);
    }

    static void playAll() {
        LEFT_OUT.remove();
        ONLY.remove();
    }
}
