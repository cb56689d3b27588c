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
 * Renews the leases of agents on behalf of the leader while this node is partitioned from the
 * leader together with them. Confined to the event loop.
 */
final class DelegatedLeaseRenewer {
    private static final Logger LOG = LoggerFactory.getLogger(DelegatedLeaseRenewer.class);

    /** How long a peer's status counts as current: about three pings. */
    private static final long STATUS_VALID_MICROS = 2_500_000;

    private final EventLoop loop;
    private final DelegationTimeouts timeouts;
    private final LeaseDelegate delegate;

    /** The latest status of each peer, by its label. */
    private final Map<String, ReceivedStatus> peerStatuses = new HashMap<>();

    /** Each agent's fencing token when this node started to renew its lease, by host. */
    private final Map<String, Long> initialTokens = new HashMap<>();

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

    /** Called once every node supports delegation and the operator settings enable it. */
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

    /**
     * True while this node has contact with neither the leader nor the store, and its delegation is
     * valid.
     */
    boolean mayRenew() {
        return enabled && delegate.mayRenew(loop.nowMicros());
    }

    /**
     * Answers a heartbeat that can't be sent to a leader: renews the lease under the agent's own
     * token, without commands. Returns null if this node may not renew the lease.
     */
    Response tryRenew(byte[] body) {
        long now = loop.nowMicros();
        if (!mayRenew()) {
            initialTokens.clear();
            return null;
        }
        try {
            Heartbeat heartbeat = Heartbeat.read(body);
            long fencingToken = heartbeat.fencingToken();
            Long initialToken = initialTokens.putIfAbsent(heartbeat.host(), fencingToken);
            if (initialToken != null && fencingToken > initialToken) {
                // The higher token shows that the leader reaches this agent, so only this node is
                // partitioned.
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

    /** True if a peer reported within the last pings that the store answers it. */
    boolean isAnyPeerServedByStore() {
        long now = loop.nowMicros();
        return peerStatuses.values().stream()
                .anyMatch(
                        received ->
                                now - received.receivedMicros <= STATUS_VALID_MICROS
                                        && received.status.storeSilentMicros() == 0);
    }
}
