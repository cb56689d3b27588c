package org.woadloom.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.woadloom.settings.ServiceSettings;

class StoreLimitsTest {
    private static final ServiceSettings.Store ANNOUNCED =
            new ServiceSettings.Store(250, 70, 2_048, 5, null);

    @Test
    void announcedSizeLimitsApplyBeforeAnyRefusal() {
        StoreLimits limits =
                new StoreLimits(new ServiceSettings.Store(250, 100, 16_384, 16, ANNOUNCED));
        assertEquals(2_048, limits.maxValueBytes());
        assertEquals(5, limits.maxTransactionChanges());
        assertEquals(
                16_384,
                limits.maxAcceptedValueBytes(),
                "existing records may be larger until the store refuses one");
        limits.onValueRefused(9_000);
        assertEquals(2_048, limits.maxAcceptedValueBytes());
    }

    /**
     * Limits that were not announced are learned from refusals. A refusal of a tiny value, which
     * must have another cause, must not lower the limit below its minimum.
     */
    @Test
    void unannouncedSizeLimitsAreLearnedFromRefusals() {
        StoreLimits limits = new StoreLimits(new ServiceSettings.Store(250, 100, 16_384, 16, null));
        limits.onValueRefused(9_000);
        assertEquals(8_999, limits.maxValueBytes());
        assertEquals(8_999, limits.maxAcceptedValueBytes());
        limits.onValueRefused(30);
        assertEquals(1_024, limits.maxValueBytes());
        limits.onTransactionRefused(16);
        assertEquals(15, limits.maxTransactionChanges());
        for (int i = 0; i < 40; i++) {
            limits.onTransactionRefused(limits.maxTransactionChanges());
        }
        assertEquals(2, limits.maxTransactionChanges(), "a final state needs two changes");
    }

    @Test
    void rateDropsAtOnceAfterARefusalAndRecoversSlowly() {
        StoreLimits limits =
                new StoreLimits(new ServiceSettings.Store(250, 100, 16_384, 16, ANNOUNCED));
        assertEquals(100, limits.writeRate(1_000_000), 1e-9);
        limits.onRateExceeded(1_000_000, 3);
        assertEquals(70, limits.writeRate(1_000_000), 1e-9);
        assertEquals(250, limits.requestRate(1_000_000), 1e-9);
        limits.onRateExceeded(1_100_000, 3);
        assertEquals(
                70, limits.writeRate(1_100_000), 0.1, "refusals within 500 ms of a cut count once");
        for (int i = 2; i < 60; i++) {
            limits.onRateExceeded(i * 1_000_000L, 3);
        }
        double low = limits.writeRate(60_000_000);
        assertTrue(low >= 19.9 && low < 25, low + " changes per second");
        assertTrue(limits.writeRate(120_000_000) > low + 15);
        assertEquals(100, limits.writeRate(1_000_000_000), 1e-9);
    }
}
