package org.woadloom.store;

/** A token bucket that holds one second's worth, as the services' own limits do. */
public final class TokenBucket {
    private double perMicro;
    private double capacity;
    private double tokens;
    private long lastMicros = Long.MIN_VALUE;

    public TokenBucket(double perSecond) {
        this.perMicro = perSecond / 1e6;
        this.capacity = Math.max(1, perSecond);
        this.tokens = capacity;
    }

    /** Changes the rate from now on; what has gathered stays, up to one second's worth. */
    public void setRate(long now, double perSecond) {
        refill(now);
        perMicro = perSecond / 1e6;
        capacity = Math.max(1, perSecond);
        tokens = Math.min(tokens, capacity);
    }

    private void refill(long now) {
        if (lastMicros != Long.MIN_VALUE && now > lastMicros) {
            tokens = Math.min(capacity, tokens + (now - lastMicros) * perMicro);
        }
        lastMicros = Math.max(lastMicros, now);
    }

    /**
     * How long until the given number may be taken; something larger than the bucket waits for a
     * full one.
     */
    public long waitMicros(long now, int count) {
        return waitMicros(now, count, 0);
    }

    /** The same for whoever may run into a debt of so much. */
    long waitMicros(long now, int count, double debt) {
        refill(now);
        double missing = Math.min(count, capacity) - tokens - debt;
        return missing <= 1e-9 ? 0 : Math.max(1, (long) Math.ceil(missing / perMicro));
    }

    public void take(long now, int count) {
        refill(now);
        tokens -= count;
    }
}
