package org.woadloom.sim;

import java.util.stream.LongStream;
import org.woadloom.knownred.KnownRedSeeds;

/**
 * Which seeds a scenario test plays. {@code -Dseed=N} plays one seed alone, and {@code -Dseeds=N}
 * plays the seeds 1 to N where a test allows more than its usual ones.
 */
final class Seeds {
    /** The system property that names the only seed to play. */
    static final String SEED_PROPERTY = "seed";

    private static final String COUNT_PROPERTY = "seeds";

    private Seeds() {}

    /** The seeds 1 to so many. */
    static long[] first(long count) {
        Long only = Long.getLong(SEED_PROPERTY);
        return KnownRedSeeds.select(
                only != null ? new long[] {only} : LongStream.rangeClosed(1, count).toArray());
    }

    /** The seeds 1 to so many, or as many as {@code -Dseeds} asks for. */
    static long[] firstOrConfigured(long count) {
        return first(countOrConfigured(count));
    }

    /** This number, or the one that {@code -Dseeds} asks for. */
    static long countOrConfigured(long count) {
        return Long.getLong(COUNT_PROPERTY, count);
    }

    // For @MethodSource.

    static LongStream firstThree() {
        return LongStream.of(first(3));
    }

    static LongStream firstFour() {
        return LongStream.of(first(4));
    }

    static LongStream firstSix() {
        return LongStream.of(first(6));
    }
}
