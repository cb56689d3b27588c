package org.woadloom.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.woadloom.settings.ServiceSettings;

class StoreLimitsTest {
    private static final ServiceSettings.Store NEXT =
            new ServiceSettings.Store(250, 70, 2_048, 5, null);

    @Test
    void theAnnouncedLimitsHoldFromTheStartForWhatIsNew() {
        StoreLimits limits = new StoreLimits(new ServiceSettings.Store(250, 100, 16_384, 16, NEXT));
        assertEquals(2_048, limits.maxValueBytes());
        assertEquals(5, limits.maxTransactionChanges());
        assertEquals(
                16_384,
                limits.maxAcceptedValueBytes(),
                "production's records are larger until one is refused");
        limits.onValueRefused(9_000);
        assertEquals(2_048, limits.maxAcceptedValueBytes());
    }

    /**
     * Limits that nobody announced are learned, and a refusal for something else does not take
     * everything away.
     */
    @Test
    void otherLimitsAreLearned() {
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
    void ratesFallAtOnceAndComeBackSlowly() {
        StoreLimits limits = new StoreLimits(new ServiceSettings.Store(250, 100, 16_384, 16, NEXT));
        assertEquals(100, limits.writeRate(1_000_000), 1e-9);
        limits.onRateExceeded(1_000_000, 3);
        assertEquals(70, limits.writeRate(1_000_000), 1e-9);
        assertEquals(250, limits.requestRate(1_000_000), 1e-9);
        limits.onRateExceeded(1_100_000, 3);
        assertEquals(70, limits.writeRate(1_100_000), 0.1, "refusals of one moment count once");
        for (int i = 2; i < 60; i++) {
            limits.onRateExceeded(i * 1_000_000L, 3);
        }
        double low = limits.writeRate(60_000_000);
        assertTrue(low >= 19.9 && low < 25, "at " + low);
        assertTrue(limits.writeRate(120_000_000) > low + 15);
        assertEquals(100, limits.writeRate(1_000_000_000), 1e-9);
    }
}
