package org.woadloom.core.delegation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** The leader's and the node's clocks differ by 1000 s. */
class DelegationLedgerTest {
    private static final long SECOND = 1_000_000;
    private static final long CLOCK_OFFSET = 1000 * SECOND;
    private final DelegationTimeouts timeouts = DelegationTimeouts.of(22 * SECOND, 52 * SECOND);
    private final DelegationLedger ledger =
            new DelegationLedger(timeouts, 7, "leader", Map.of("leader", "a", "node", "b"));
    private final LeaseDelegate node = new LeaseDelegate(timeouts, "b", 1, CLOCK_OFFSET);

    /**
     * The node sends its status and receives a delegation at once; all cancellations up to a second
     * before are carried out.
     */
    private void exchange(LeaseDelegate delegate, long at) {
        delegate.onDelegation(
                ledger.onPeerStatus("node", delegate.status(at + CLOCK_OFFSET), at - SECOND, at));
    }

    private void exchangeUntil(long until) {
        for (long at = 0; at <= until; at += SECOND) {
            node.onStoreAnswered(at + CLOCK_OFFSET);
            exchange(node, at);
        }
    }

    @Test
    void connectedNodeCausesNoExtraSilenceAllowance() {
        exchangeUntil(10 * SECOND);
        assertTrue(ledger.latestPossibleRenewalMicros("b", 10 * SECOND) < 0);
        assertEquals(0, ledger.extraSilenceAllowanceMicros("b", 10 * SECOND));
    }

    @Test
    void renewsFromTheEndOfTheAnnouncedSilenceUntilTheDelegationExpires() {
        exchangeUntil(10 * SECOND);
        node.onStoreFailed();
        long firstRenewal = -1;
        long lastRenewal = -1;
        for (long at = 10 * SECOND; at < 60 * SECOND; at += SECOND / 10) {
            if (node.tryRenew("b", 7, at + CLOCK_OFFSET)) {
                firstRenewal = firstRenewal < 0 ? at : firstRenewal;
                lastRenewal = at;
                assertTrue(
                        ledger.latestPossibleRenewalMicros("b", at) >= at,
                        "the ledger does not account for the renewal at " + at);
            }
        }
        assertTrue(firstRenewal > 17 * SECOND, "the first renewal was at " + firstRenewal);
        assertTrue(
                lastRenewal > 37 * SECOND
                        && lastRenewal + timeouts.leaseExpiryMicros() < 9 * SECOND + 52 * SECOND,
                "the last renewal was at " + lastRenewal);
        assertTrue(
                ledger.latestPossibleRenewalMicros("b", 100 * SECOND) >= lastRenewal
                        && ledger.latestPossibleRenewalMicros("b", 100 * SECOND) < 41 * SECOND);
    }

    @Test
    void doesNotRenewForOtherZonesLaterTermsOrWithoutADelegation() {
        exchangeUntil(10 * SECOND);
        node.onStoreFailed();
        long now = 25 * SECOND + CLOCK_OFFSET;
        assertTrue(node.tryRenew("b", 6, now));
        assertFalse(node.tryRenew("a", 7, now));
        assertFalse(node.tryRenew("b", 8, now));
        LeaseDelegate restarted = new LeaseDelegate(timeouts, "b", 2, 12 * SECOND + CLOCK_OFFSET);
        restarted.onStoreFailed();
        assertFalse(restarted.tryRenew("b", 7, now));
    }

    /** A response that was delayed in transit does not show that the leader is reachable now. */
    @Test
    void delegationValidityCountsFromWhenStatusWasSentIfResponseIsDelayed() {
        exchangeUntil(10 * SECOND);
        PeerStatus earlierStatus = node.status(10 * SECOND + CLOCK_OFFSET);
        node.onStoreFailed();
        assertTrue(node.tryRenew("b", 7, 30 * SECOND + CLOCK_OFFSET));
        node.onDelegation(ledger.onPeerStatus("node", earlierStatus, 10 * SECOND, 10 * SECOND));
        assertFalse(node.tryRenew("b", 7, 45 * SECOND + CLOCK_OFFSET));
    }

    @Test
    void restartBoundsTheRenewalsOfThePreviousProcess() {
        exchangeUntil(10 * SECOND);
        node.onStoreFailed();
        assertTrue(node.tryRenew("b", 7, 29 * SECOND + CLOCK_OFFSET));
        LeaseDelegate restarted = new LeaseDelegate(timeouts, "b", 2, 30 * SECOND + CLOCK_OFFSET);
        exchange(restarted, 32 * SECOND);
        exchange(restarted, 33 * SECOND);
        long latestRenewal = ledger.latestPossibleRenewalMicros("b", 33 * SECOND);
        assertTrue(
                latestRenewal >= 30 * SECOND && latestRenewal < 31 * SECOND,
                "the upper bound for the last renewal is " + latestRenewal);
    }

    /**
     * A process that restarts within the announced silence cannot have renewed leases, so machine
     * losses are detected as fast as usual.
     */
    @Test
    void quickRestartDoesNotCountAsARenewal() {
        exchangeUntil(10 * SECOND);
        LeaseDelegate restarted = new LeaseDelegate(timeouts, "b", 2, 15 * SECOND + CLOCK_OFFSET);
        exchange(restarted, 16 * SECOND);
        exchange(restarted, 17 * SECOND);
        assertTrue(ledger.latestPossibleRenewalMicros("b", 17 * SECOND) < 0);
    }
}
