package org.woadloom.store;

/** A token bucket that holds one second's worth, as the limits of store and cloud do. */
public final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1e6;

    /** Less than this is missing only by rounding. */
    private static final double TOLERANCE = 1e-9;

    private static final long NEVER = Long.MIN_VALUE;

    private double perMicro;
    private double capacity;
    private double tokens;
    private long lastRefillMicros = NEVER;

    /** Starts full. */
    public TokenBucket(double perSecond) {
        this.perMicro = perSecond / MICROS_PER_SECOND;
        this.capacity = Math.max(1, perSecond);
        this.tokens = capacity;
    }

    /** Changes the rate from now on; the tokens there are stay, up to one second's worth. */
    public void setRate(long now, double perSecond) {
        refill(now);
        perMicro = perSecond / MICROS_PER_SECOND;
        capacity = Math.max(1, perSecond);
        tokens = Math.min(tokens, capacity);
    }

    private void refill(long now) {
        if (lastRefillMicros != NEVER && now > lastRefillMicros) {
            tokens = Math.min(capacity, tokens + (now - lastRefillMicros) * perMicro);
        }
        lastRefillMicros = Math.max(lastRefillMicros, now);
    }

    /**
     * How long until the given number of tokens may be taken, 0 for now; for more than the bucket
     * holds, until it is full.
     */
    public long waitMicros(long now, int count) {
        return waitMicros(now, count, 0);
    }

    /** The same for a caller that may leave the bucket in debt by so many tokens. */
    long waitMicros(long now, int count, double debt) {
        refill(now);
        double missing = Math.min(count, capacity) - tokens - debt;
        return missing <= TOLERANCE ? 0 : Math.max(1, (long) Math.ceil(missing / perMicro));
    }

    /** Takes tokens, into debt where there are too few. */
    public void take(long now, int count) {
        refill(now);
        tokens -= count;
    }
}
