package org.woadloom.store;

import org.woadloom.settings.ServiceSettings;

/**
 * The store's limits as far as this node knows them; the store may lower them at any time. For
 * sizes of values and transactions the smaller limits announced in the settings apply from the
 * start, because they cost little; a refusal lowers them further. Rates adapt to the answers: a
 * refusal cuts a rate immediately, and it recovers slowly.
 */
public final class StoreLimits {
    /**
     * Lower bound of a learned size limit. A refusal of a smaller value must have had another
     * cause.
     */
    private static final int MIN_VALUE_BYTES = 1025;

    /**
     * Lower bound of a learned transaction limit: an election changes two keys in one transaction.
     */
    private static final int MIN_TXN_OPS = 2;

    private static final int NONE_REFUSED = 0;
    private static final double MICROS_PER_SECOND = 1e6;

    private final ServiceSettings.Store settings;
    private int maxValueBytes;
    private int maxTransactionChanges;

    /** Size of the smallest value that was refused, {@link #NONE_REFUSED} if none was. */
    private int refusedBytes = NONE_REFUSED;

    private final AdaptiveRate requests;
    private final AdaptiveRate writes;

    /** The fraction of a configured rate that the store currently sustains. */
    private static final class AdaptiveRate {
        /** Lower bound of the fraction, so that the store is still probed. */
        private static final double MIN_FRACTION = 0.2;

        /** Factor applied to the fraction at a refusal. */
        private static final double CUT_FACTOR = 0.85;

        /** Recovery per second, as a fraction of the configured rate: full recovery takes 250 s. */
        private static final double RECOVERY_PER_SECOND = 0.004;

        /**
         * Refusals within this time after a cut are attributed to requests that were sent before
         * it.
         */
        private static final long CUT_INTERVAL_MICROS = 500_000;

        /** A refusal within this time after a cut shows that the cut was too small. */
        private static final long REPEATED_REFUSAL_MICROS = 5_000_000;

        private final double announcedFraction;
        private double fraction = 1;
        private long lastMicros;
        private long cutMicros = Long.MIN_VALUE / 2;

        /**
         * @param current the current rate in the settings
         * @param announced the rate that it is announced to drop to
         */
        AdaptiveRate(double current, double announced) {
            announcedFraction = Math.min(1, announced / current);
        }

        double fraction(long nowMicros) {
            double seconds = Math.max(0, nowMicros - lastMicros) / MICROS_PER_SECOND;
            fraction = Math.min(1, fraction + seconds * RECOVERY_PER_SECOND);
            lastMicros = Math.max(nowMicros, lastMicros);
            return fraction;
        }

        void cut(long nowMicros) {
            long sinceCut = nowMicros - cutMicros;
            if (sinceCut < CUT_INTERVAL_MICROS) {
                return;
            }
            cutMicros = nowMicros;
            // The first refusal is attributed to the announced lower rate taking effect. If another
            // one follows soon, the store sustains less than the announced rate.
            boolean isRepeated = sinceCut <= REPEATED_REFUSAL_MICROS;
            fraction =
                    fraction(nowMicros) > announcedFraction && !isRepeated
                            ? announcedFraction
                            : Math.max(MIN_FRACTION, fraction * CUT_FACTOR);
        }
    }

    /**
     * Starts with the limits in the settings: announced limits for sizes, current limits for rates.
     */
    public StoreLimits(ServiceSettings.Store settings) {
        this.settings = settings;
        this.maxValueBytes = settings.minValueBytes();
        this.maxTransactionChanges = settings.minTxnOps();
        ServiceSettings.Store next = settings.next() == null ? settings : settings.next();
        this.requests = new AdaptiveRate(settings.rps(), next.rps());
        this.writes = new AdaptiveRate(settings.writeRps(), next.writeRps());
    }

    /** Returns the largest value size that the store is known to accept. */
    public int maxValueBytes() {
        return maxValueBytes;
    }

    /**
     * Returns the largest value size that the store has not refused so far. Records of earlier
     * versions may need it.
     */
    public int maxAcceptedValueBytes() {
        return Math.max(
                maxValueBytes,
                refusedBytes == NONE_REFUSED ? settings.valueBytes() : refusedBytes - 1);
    }

    /**
     * Records that a value of this size was refused although it was the only change of its request.
     */
    public void onValueRefused(int bytes) {
        int announced =
                settings.next() == null ? Integer.MAX_VALUE : settings.next().valueBytes() + 1;
        int refused = Math.max(MIN_VALUE_BYTES, Math.min(bytes, announced));
        refusedBytes = refusedBytes == NONE_REFUSED ? refused : Math.min(refusedBytes, refused);
        maxValueBytes = Math.min(maxValueBytes, refused - 1);
    }

    /**
     * Returns the largest number of changes that the store is known to accept in one transaction.
     */
    public int maxTransactionChanges() {
        return maxTransactionChanges;
    }

    /**
     * Records that a transaction with this many changes was refused, while the same changes were
     * accepted one record at a time.
     */
    public void onTransactionRefused(int changeCount) {
        maxTransactionChanges =
                Math.max(MIN_TXN_OPS, Math.min(maxTransactionChanges, changeCount - 1));
    }

    /** Returns the number of requests per second that the store currently sustains. */
    public double requestRate(long nowMicros) {
        return settings.rps() * requests.fraction(nowMicros);
    }

    /** Returns the number of changes per second that the store currently sustains. */
    public double writeRate(long nowMicros) {
        return settings.writeRps() * writes.fraction(nowMicros);
    }

    /**
     * Records that a request with this many changes was refused because it exceeded the rate limit.
     */
    public void onRateExceeded(long nowMicros, int changeCount) {
        (changeCount > 0 ? writes : requests).cut(nowMicros);
    }
}
