package org.woadloom.node;

import java.util.HashMap;
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

/**
 * Renews the leases of agents in the leader's place while this node is cut off together with them.
 * Belongs to the event loop.
 */
final class DelegatedLeaseRenewer {
    private static final Logger LOG = LoggerFactory.getLogger(DelegatedLeaseRenewer.class);

    /** A peer's status counts as its present one for so long: some three pings. */
    private static final long STATUS_VALID_MICROS = 2_500_000;

    private final EventLoop loop;
    private final DelegationTimeouts timeouts;
    private final LeaseDelegate delegate;

    /** The other nodes' latest status, by their labels. */
    private final Map<String, ReceivedStatus> peerStatuses = new HashMap<>();

    /** The tokens that agents had when this node started to renew their leases. */
    private final Map<String, Long> tokens = new HashMap<>();

    private boolean enabled;
    private long lastLoggedMicros = Long.MIN_VALUE / 2;

    private record ReceivedStatus(long receivedMicros, PeerStatus status) {}

    DelegatedLeaseRenewer(EventLoop loop, ServiceSettings settings, Random random) {
        this.loop = loop;
        timeouts =
                DelegationTimeouts.of(
                        settings.agents().leaseMicros(), settings.agents().cancelMicros());
        delegate =
                new LeaseDelegate(timeouts, settings.zone(), random.nextLong(), loop.nowMicros());
    }

    /** Every node runs a version that knows of delegation, and the operators want it. */
    void enable() {
        enabled = true;
    }

    boolean isEnabled() {
        return enabled;
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
        peerStatuses.put(peer, new ReceivedStatus(loop.nowMicros(), status));
    }

    void onDelegation(LeaseDelegation delegation) {
        delegate.onDelegation(delegation);
    }

    /** True while this node has lost the leader and the store, and its delegation lasts. */
    boolean mayRenew() {
        return enabled && delegate.mayRenew(loop.nowMicros());
    }

    /**
     * The answer to a heartbeat that finds no leader: the agent's own token and no commands; null
     * where this node may not renew the lease.
     */
    Response answer(byte[] body) {
        long now = loop.nowMicros();
        if (!mayRenew()) {
            tokens.clear();
            return null;
        }
        try {
            Heartbeat heartbeat = Heartbeat.read(body);
            long fencingToken = heartbeat.fencingToken();
            Long before = tokens.putIfAbsent(heartbeat.host(), fencingToken);
            if (before != null && fencingToken > before) {
                // The leader reaches this agent, so it is this node alone that is cut off.
                return null;
            }
            if (!delegate.tryRenew(
                    heartbeat.zone(), fencingToken >> AgentLiveness.FENCE_BITS, now)) {
                return null;
            }
            if (now - lastLoggedMicros > timeouts.partitionSilenceMicros()) {
                lastLoggedMicros = now;
                LOG.info("event=delegated_lease_renewal machine={}", heartbeat.host());
            }
            return HeartbeatResponses.renewed(fencingToken);
        } catch (MalformedMessageException e) {
            return null;
        }
    }

    /** True if a peer has reported just now that the store serves it. */
    boolean arePeersServed() {
        long now = loop.nowMicros();
        return peerStatuses.values().stream()
                .anyMatch(
                        received ->
                                now - received.receivedMicros <= STATUS_VALID_MICROS
                                        && received.status.storeSilentMicros() == 0);
    }
}
