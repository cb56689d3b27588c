package org.woadloom.store;

/**
 * A token bucket with a capacity of one second's worth of tokens, like the rate limiters of the
 * store and the cloud.
 */
public final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1e6;

    /** Tolerance for rounding errors. */
    private static final double TOLERANCE = 1e-9;

    private static final long NEVER = Long.MIN_VALUE;

    private double perMicro;
    private double capacity;
    private double tokens;
    private long lastRefillMicros = NEVER;

    /** Creates a full bucket. */
    public TokenBucket(double perSecond) {
        this.perMicro = perSecond / MICROS_PER_SECOND;
        this.capacity = Math.max(1, perSecond);
        this.tokens = capacity;
    }

    /** Changes the rate from now on. Existing tokens are kept, up to the new capacity. */
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
     * Returns the time until the given number of tokens can be taken, 0 if now. For a count above
     * the capacity, returns the time until the bucket is full.
     */
    public long waitMicros(long now, int count) {
        return waitMicros(now, count, 0);
    }

    /**
     * Like {@link #waitMicros(long, int)}, but the caller may overdraw the bucket by {@code debt}
     * tokens.
     */
    long waitMicros(long now, int count, double debt) {
        refill(now);
        double missing = Math.min(count, capacity) - tokens - debt;
        return missing <= TOLERANCE ? 0 : Math.max(1, (long) Math.ceil(missing / perMicro));
    }

    /** Takes tokens. The balance becomes negative if there are too few. */
    public void take(long now, int count) {
        refill(now);
        tokens -= count;
    }
}
