package org.woadloom.node;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.core.delegation.DelegationTimeouts;
import org.woadloom.core.delegation.LeaseDelegate;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.core.delegation.PeerStatus;
import org.woadloom.core.liveness.AgentLiveness;
import org.woadloom.http.Response;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;

/** Answers workers in the leader's place while this node is cut off with them. */
final class DelegatedLeaseRenewer {
    private static final Logger LOG = LoggerFactory.getLogger(DelegatedLeaseRenewer.class);
    private static final long FRESH_MICROS = 2_500_000;

    private final EventLoop loop;
    private final DelegationTimeouts rules;
    private final LeaseDelegate delegate;

    /** What the other nodes last said of themselves, and when. */
    private final Map<String, Heard> peerStatuses = new HashMap<>();

    /** The tokens that workers in this node's care had when that began. */
    private final Map<String, Long> tokens = new HashMap<>();

    private boolean isEnabled;
    private long loggedMicros = Long.MIN_VALUE / 2;

    private record Heard(long atMicros, PeerStatus status) {}

    DelegatedLeaseRenewer(EventLoop loop, ServiceSettings settings, Random random) {
        this.loop = loop;
        rules =
                DelegationTimeouts.of(
                        settings.agents().leaseMicros(), settings.agents().cancelMicros());
        delegate = new LeaseDelegate(rules, settings.zone(), random.nextLong(), loop.nowMicros());
    }

    /** Every node runs a version that knows of care, and the operators want it. */
    void enable() {
        isEnabled = true;
    }

    boolean isEnabled() {
        return isEnabled;
    }

    void onStoreAnswer(boolean served) {
        if (served) {
            delegate.onStoreAnswered(loop.nowMicros());
        } else {
            delegate.onStoreFailed();
        }
    }

    PeerStatus status() {
        return delegate.status(loop.nowMicros());
    }

    long storeSilentMicros() {
        return status().storeSilentMicros();
    }

    void onPeerStatus(String peer, PeerStatus status) {
        peerStatuses.put(peer, new Heard(loop.nowMicros(), status));
    }

    void onDelegation(LeaseDelegation delegation) {
        delegate.onDelegation(delegation);
    }

    /** True while this node has lost the leader and the state service, and its warrant lasts. */
    boolean mayRenew() {
        return isEnabled && delegate.mayRenew(loop.nowMicros());
    }

    /**
     * The answer to a report that finds no leader: the worker's own token and no orders; null where
     * care may not be taken.
     */
    Response answer(byte[] report) {
        long now = loop.nowMicros();
        if (!mayRenew()) {
            tokens.clear();
            return null;
        }
        try {
            Heartbeat agent = Heartbeat.read(report);
            long fencingToken = agent.fencingToken();
            Long before = tokens.putIfAbsent(agent.host(), fencingToken);
            if (before != null && fencingToken > before) {
                // The leader reaches this worker, so it is this node alone that is cut off.
                return null;
            }
            if (!delegate.tryRenew(agent.zone(), fencingToken >> AgentLiveness.FENCE_BITS, now)) {
                return null;
            }
            if (now - loggedMicros > rules.silenceMicros()) {
                loggedMicros = now;
                LOG.info("event=delegated_lease_renewal machine={}", agent.host());
            }
            Map<String, Object> answer = new LinkedHashMap<>();
            answer.put("epoch", fencingToken);
            answer.put("orders", List.of());
            return Response.of(200, answer);
        } catch (MalformedMessageException e) {
            return null;
        }
    }

    /** True if a peer has said just now that the state service serves it. */
    boolean arePeersServed() {
        long now = loop.nowMicros();
        return peerStatuses.values().stream()
                .anyMatch(
                        said ->
                                now - said.atMicros <= FRESH_MICROS
                                        && said.status.storeSilentMicros() == 0);
    }
}
