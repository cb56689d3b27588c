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
    private static final int LEAST_VALUE = 1025;

    private static final double LOWEST = 0.2;
    private static final double CUT = 0.85;
    private static final double REGAIN_PER_SECOND = 0.004;
    private static final long CUT_MICROS = 500_000;
    private static final long LASTING_MICROS = 5_000_000;

    private final ServiceSettings.State settings;
    private int valueBytes;
    private int txnOps;

    /** The size of the smallest value that was refused, 0 for none. */
    private int refusedBytes;

    private final Rate requests;
    private final Rate writes;

    /** The part of a rate in the settings that the service bears now. */
    private static final class Rate {
        private final double announced;
        private double part = 1;
        private long lastMicros;
        private long cutMicros = Long.MIN_VALUE / 2;

        Rate(double now, double next) {
            announced = Math.min(1, next / now);
        }

        double part(long now) {
            part = Math.min(1, part + Math.max(0, now - lastMicros) / 1e6 * REGAIN_PER_SECOND);
            lastMicros = Math.max(now, lastMicros);
            return part;
        }

        void cut(long now) {
            long since = now - cutMicros;
            if (since >= CUT_MICROS) {
                cutMicros = now;
                // Refused again soon after: the service bears less than was announced.
                part =
                        part(now) > announced && since > LASTING_MICROS
                                ? announced
                                : Math.max(LOWEST, part * CUT);
            }
        }
    }

    public StoreLimits(ServiceSettings.State settings) {
        this.settings = settings;
        this.valueBytes = settings.leastValueBytes();
        this.txnOps = settings.leastTxnOps();
        ServiceSettings.State next = settings.next() == null ? settings : settings.next();
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
    public int valueBytesNow() {
        return Math.max(valueBytes, refusedBytes == 0 ? settings.valueBytes() : refusedBytes - 1);
    }

    /** A value of this size was refused by itself. */
    public void refusedValue(int bytes) {
        int announced =
                settings.next() == null ? Integer.MAX_VALUE : settings.next().valueBytes() + 1;
        int refused = Math.max(LEAST_VALUE, bytes > announced ? announced : bytes);
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
    public void refusedOps(int ops) {
        txnOps = Math.max(2, Math.min(txnOps, ops - 1));
    }

    /** How many requests a second the service bears now. */
    public double requestRate(long now) {
        return settings.rps() * requests.part(now);
    }

    /** How many changes a second the service bears now. */
    public double writeRate(long now) {
        return settings.writeRps() * writes.part(now);
    }

    /** A request with so many changes was refused for coming too fast. */
    public void tooFast(long now, int changes) {
        (changes > 0 ? writes : requests).cut(now);
    }
}
