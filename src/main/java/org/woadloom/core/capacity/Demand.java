package org.woadloom.core.capacity;

/** How many processors the work wants, smoothed: a burst that is over before a machine has booted is no reason to rent. */
final class Demand {
    private double smoothed = -1;
    private long updatedMicros;

    void update(long nowMicros, double cpus, long overMicros) {
        if (smoothed < 0) {
            smoothed = cpus;
        } else {
            double passed = nowMicros - updatedMicros;
            double towards = 1 - Math.exp(-passed / Math.max(1, overMicros));
            smoothed += (cpus - smoothed) * towards;
        }
        updatedMicros = nowMicros;
    }

    double cpus() {
        return Math.max(0, smoothed);
    }
}
