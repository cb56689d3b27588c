package org.woadloom.core.delegation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** The leader's clock and the node's are a thousand seconds apart here. */
class DelegationLedgerTest {
    private static final long S = 1_000_000;
    private static final long APART = 1000 * S;
    private final DelegationTimeouts rules = DelegationTimeouts.of(22 * S, 52 * S);
    private final DelegationLedger book =
            new DelegationLedger(rules, 7, "leader", Map.of("leader", "a", "node", "b"));
    private final LeaseDelegate node = new LeaseDelegate(rules, "b", 1, APART);

    /** The node tells how it stands and gets a warrant at once; all was settled a second before. */
    private void exchange(LeaseDelegate caretaker, long at) {
        caretaker.onDelegation(book.onPeerStatus("node", caretaker.status(at + APART), at - S, at));
    }

    private void inTouch(long until) {
        for (long at = 0; at <= until; at += S) {
            node.onStoreAnswered(at + APART);
            exchange(node, at);
        }
    }

    @Test
    void aNodeThatIsInTouchHoldsUpNoProof() {
        inTouch(10 * S);
        assertTrue(book.latestPossibleRenewalMicros("b", 10 * S) < 0);
        assertEquals(0, book.extraSilenceAllowanceMicros("b", 10 * S));
    }

    @Test
    void careBeginsAfterThePromiseAndEndsWithTheWarrant() {
        inTouch(10 * S);
        node.onStoreFailed();
        long begins = -1;
        long ends = -1;
        for (long at = 10 * S; at < 60 * S; at += S / 10) {
            if (node.tryRenew("b", 7, at + APART)) {
                begins = begins < 0 ? at : begins;
                ends = at;
                assertTrue(
                        book.latestPossibleRenewalMicros("b", at) >= at,
                        "the leader does not reckon with care at " + at);
            }
        }
        assertTrue(begins > 17 * S, "began at " + begins);
        assertTrue(
                ends > 37 * S && ends + rules.leaseExpiryMicros() < 9 * S + 52 * S,
                "ended at " + ends);
        assertTrue(
                book.latestPossibleRenewalMicros("b", 100 * S) >= ends
                        && book.latestPossibleRenewalMicros("b", 100 * S) < 41 * S);
    }

    @Test
    void noCareForOthersZonesLaterTermsOrWithoutAWarrant() {
        inTouch(10 * S);
        node.onStoreFailed();
        long now = 25 * S + APART;
        assertTrue(node.tryRenew("b", 6, now));
        assertFalse(node.tryRenew("a", 7, now));
        assertFalse(node.tryRenew("b", 8, now));
        LeaseDelegate anew = new LeaseDelegate(rules, "b", 2, 12 * S + APART);
        anew.onStoreFailed();
        assertFalse(anew.tryRenew("b", 7, now));
    }

    /** An answer that was held up says nothing of the present. */
    @Test
    void aLateWarrantCountsFromWhenItWasAskedFor() {
        inTouch(10 * S);
        PeerStatus said = node.status(10 * S + APART);
        node.onStoreFailed();
        assertTrue(node.tryRenew("b", 7, 30 * S + APART));
        node.onDelegation(book.onPeerStatus("node", said, 10 * S, 10 * S));
        assertFalse(node.tryRenew("b", 7, 45 * S + APART));
    }

    @Test
    void aNewProcessTellsUntilWhenTheOldOneMayHaveCared() {
        inTouch(10 * S);
        node.onStoreFailed();
        assertTrue(node.tryRenew("b", 7, 29 * S + APART));
        LeaseDelegate anew = new LeaseDelegate(rules, "b", 2, 30 * S + APART);
        exchange(anew, 32 * S);
        exchange(anew, 33 * S);
        long last = book.latestPossibleRenewalMicros("b", 33 * S);
        assertTrue(last >= 30 * S && last < 31 * S, "last care at " + last);
    }

    /**
     * A process that ends and is back within the promise can't have cared: proofs are as quick as
     * ever.
     */
    @Test
    void aNodeThatIsBackSoonHoldsUpNoProof() {
        inTouch(10 * S);
        LeaseDelegate anew = new LeaseDelegate(rules, "b", 2, 15 * S + APART);
        exchange(anew, 16 * S);
        exchange(anew, 17 * S);
        assertTrue(book.latestPossibleRenewalMicros("b", 17 * S) < 0);
    }
}
