package org.woadloom.store;

import org.woadloom.settings.ServiceSettings;

/**
 * The store's limits as far as this node knows them. They may fall at any moment. Sizes of values
 * and transactions keep to the announced smaller ones from the start, as that costs little; what is
 * refused all the same teaches a smaller one. Rates follow the answers: down at once when a request
 * is refused, up again slowly.
 */
public final class StoreLimits {
    /** No limit is taken to be below this: a smaller value was refused for something else. */
    private static final int MIN_VALUE_BYTES = 1025;

    /** An election changes two keys in one transaction. */
    private static final int MIN_TXN_OPS = 2;

    private static final int NONE_REFUSED = 0;
    private static final double MICROS_PER_SECOND = 1e6;

    private final ServiceSettings.Store settings;
    private int maxValueBytes;
    private int maxTransactionChanges;

    /** The size of the smallest value that was refused, {@link #NONE_REFUSED} for none. */
    private int refusedBytes = NONE_REFUSED;

    private final AdaptiveRate requests;
    private final AdaptiveRate writes;

    /** The part of a rate in the settings that the store bears now. */
    private static final class AdaptiveRate {
        /** It is never cut below this part, so that the store is still asked. */
        private static final double MIN_PART = 0.2;

        /** What a refusal leaves of it. */
        private static final double CUT_FACTOR = 0.85;

        /** How much of the whole comes back each second: all of it in 250 s. */
        private static final double REGAINED_PER_SECOND = 0.004;

        /** Refusals within this time of a cut are taken to be of requests sent before it. */
        private static final long CUT_INTERVAL_MICROS = 500_000;

        /** A refusal this soon after a cut shows that the cut was too small. */
        private static final long REPEATED_REFUSAL_MICROS = 5_000_000;

        private final double announcedPart;
        private double part = 1;
        private long lastMicros;
        private long cutMicros = Long.MIN_VALUE / 2;

        /**
         * @param current the rate of today in the settings
         * @param announced the rate to which it is announced to fall
         */
        AdaptiveRate(double current, double announced) {
            announcedPart = Math.min(1, announced / current);
        }

        double part(long nowMicros) {
            double seconds = Math.max(0, nowMicros - lastMicros) / MICROS_PER_SECOND;
            part = Math.min(1, part + seconds * REGAINED_PER_SECOND);
            lastMicros = Math.max(nowMicros, lastMicros);
            return part;
        }

        void cut(long nowMicros) {
            long sinceCut = nowMicros - cutMicros;
            if (sinceCut < CUT_INTERVAL_MICROS) {
                return;
            }
            cutMicros = nowMicros;
            // At first it is taken to have fallen as announced; if a refusal follows soon, the
            // store bears less than that.
            boolean isRepeated = sinceCut <= REPEATED_REFUSAL_MICROS;
            part =
                    part(nowMicros) > announcedPart && !isRepeated
                            ? announcedPart
                            : Math.max(MIN_PART, part * CUT_FACTOR);
        }
    }

    /** Starts with the limits of the settings, the announced ones where sizes are concerned. */
    public StoreLimits(ServiceSettings.Store settings) {
        this.settings = settings;
        this.maxValueBytes = settings.minValueBytes();
        this.maxTransactionChanges = settings.minTxnOps();
        ServiceSettings.Store next = settings.next() == null ? settings : settings.next();
        this.requests = new AdaptiveRate(settings.rps(), next.rps());
        this.writes = new AdaptiveRate(settings.writeRps(), next.writeRps());
    }

    /** The largest value that is sure to be taken, as far as known. */
    public int maxValueBytes() {
        return maxValueBytes;
    }

    /**
     * The largest value that the store takes as long as it has not refused one: records of earlier
     * versions may need it.
     */
    public int maxAcceptedValueBytes() {
        return Math.max(
                maxValueBytes,
                refusedBytes == NONE_REFUSED ? settings.valueBytes() : refusedBytes - 1);
    }

    /** A value of this size was refused by itself. */
    public void onValueRefused(int bytes) {
        int announced =
                settings.next() == null ? Integer.MAX_VALUE : settings.next().valueBytes() + 1;
        int refused = Math.max(MIN_VALUE_BYTES, Math.min(bytes, announced));
        refusedBytes = refusedBytes == NONE_REFUSED ? refused : Math.min(refusedBytes, refused);
        maxValueBytes = Math.min(maxValueBytes, refused - 1);
    }

    /** The largest number of changes in one transaction that is sure to be taken. */
    public int maxTransactionChanges() {
        return maxTransactionChanges;
    }

    /**
     * A transaction of so many changes was refused, and its changes were taken one record at a
     * time.
     */
    public void onTransactionRefused(int ops) {
        maxTransactionChanges = Math.max(MIN_TXN_OPS, Math.min(maxTransactionChanges, ops - 1));
    }

    /** How many requests a second the store bears now. */
    public double requestRate(long nowMicros) {
        return settings.rps() * requests.part(nowMicros);
    }

    /** How many changes a second the store bears now. */
    public double writeRate(long nowMicros) {
        return settings.writeRps() * writes.part(nowMicros);
    }

    /** A request with so many changes was refused for coming too fast. */
    public void onRateExceeded(long nowMicros, int changes) {
        (changes > 0 ? writes : requests).cut(nowMicros);
    }
}
