package org.woadloom.sim;

import java.util.stream.LongStream;
import org.woadloom.knownred.KnownRedSeeds;

/**
 * Seeds that a scenario test runs with. {@code -Dseed=N} runs only seed N. {@code -Dseeds=N} runs
 * the seeds 1 to N in tests whose number of seeds is configurable.
 */
final class Seeds {
    /** System property with the only seed to run. */
    static final String SEED_PROPERTY = "seed";

    private static final String COUNT_PROPERTY = "seeds";

    private Seeds() {}

    /** Seeds from 1 to {@code count}. */
    static long[] first(long count) {
        Long only = Long.getLong(SEED_PROPERTY);
        return KnownRedSeeds.select(
                only != null ? new long[] {only} : LongStream.rangeClosed(1, count).toArray());
    }

    /** Seeds from 1 to {@code count}, or to the number set by {@code -Dseeds}. */
    static long[] firstOrConfigured(long count) {
        return first(countOrConfigured(count));
    }

    /** The number set by {@code -Dseeds}, or else {@code count}. */
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
