package org.woadloom.store;

import org.woadloom.settings.ServiceSettings;

/**
 * The state service's limits as far as this node knows them. They may fall at any moment. Values
 * and transactions keep to the announced smaller ones from the start, as that costs little; what is
 * refused all the same teaches a smaller one. Rates follow the answers: down at once when a request
 * is refused, up again slowly.
 */
public final class StoreLimits {
    /** No limit is taken to be below this: a smaller value was refused for something else. */
    private static final int MIN_VALUE_BYTES = 1025;

    private static final double MIN_SHARE = 0.2;
    private static final double CUT = 0.85;
    private static final double REGAIN_PER_SECOND = 0.004;
    private static final long CUT_MICROS = 500_000;
    private static final long LASTING_MICROS = 5_000_000;

    private final ServiceSettings.Store settings;
    private int valueBytes;
    private int txnOps;

    /** The size of the smallest value that was refused, 0 for none. */
    private int refusedBytes;

    private final Rate requests;
    private final Rate writes;

    /** The part of a rate in the settings that the service bears now. */
    private static final class Rate {
        private final double announced;
        private double share = 1;
        private long lastMicros;
        private long cutMicros = Long.MIN_VALUE / 2;

        Rate(double now, double next) {
            announced = Math.min(1, next / now);
        }

        double share(long now) {
            share = Math.min(1, share + Math.max(0, now - lastMicros) / 1e6 * REGAIN_PER_SECOND);
            lastMicros = Math.max(now, lastMicros);
            return share;
        }

        void cut(long now) {
            long since = now - cutMicros;
            if (since >= CUT_MICROS) {
                cutMicros = now;
                // Refused again soon after: the service bears less than was announced.
                share =
                        share(now) > announced && since > LASTING_MICROS
                                ? announced
                                : Math.max(MIN_SHARE, share * CUT);
            }
        }
    }

    public StoreLimits(ServiceSettings.Store settings) {
        this.settings = settings;
        this.valueBytes = settings.minValueBytes();
        this.txnOps = settings.minTxnOps();
        ServiceSettings.Store next = settings.next() == null ? settings : settings.next();
        this.requests = new Rate(settings.rps(), next.rps());
        this.writes = new Rate(settings.writeRps(), next.writeRps());
    }

    /** The largest value that is sure to be taken, as far as known. */
    public int valueBytes() {
        return valueBytes;
    }

    /**
     * The largest value that the service takes as long as it has not refused one: production's
     * records may need it.
     */
    public int currentValueBytes() {
        return Math.max(valueBytes, refusedBytes == 0 ? settings.valueBytes() : refusedBytes - 1);
    }

    /** A value of this size was refused by itself. */
    public void onValueRefused(int bytes) {
        int announced =
                settings.next() == null ? Integer.MAX_VALUE : settings.next().valueBytes() + 1;
        int refused = Math.max(MIN_VALUE_BYTES, bytes > announced ? announced : bytes);
        refusedBytes = refusedBytes == 0 ? refused : Math.min(refusedBytes, refused);
        valueBytes = Math.min(valueBytes, refused - 1);
    }

    public int txnOps() {
        return txnOps;
    }

    /**
     * A transaction of so many changes was refused, and its changes were taken one record at a
     * time.
     */
    public void onTransactionRefused(int ops) {
        txnOps = Math.max(2, Math.min(txnOps, ops - 1));
    }

    /** How many requests a second the service bears now. */
    public double requestRate(long now) {
        return settings.rps() * requests.share(now);
    }

    /** How many changes a second the service bears now. */
    public double writeRate(long now) {
        return settings.writeRps() * writes.share(now);
    }

    /** A request with so many changes was refused for coming too fast. */
    public void onRateExceeded(long now, int changes) {
        (changes > 0 ? writes : requests).cut(now);
    }
}
