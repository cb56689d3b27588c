package org.woadloom.node;

import org.woadloom.net.EventLoop;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreKeys;

/**
 * Finds out whether the store answers while the leader is out of reach, as nobody else may ask it.
 * Heartbeats that wait for either are routed anew as soon as this node may renew leases itself.
 */
final class StoreProbe {
    private static final long INTERVAL_MICROS = 700_000;

    private final EventLoop loop;
    private final StoreClient store;
    private final PeerTracker peers;
    private final IsolationDetector isolation;
    private final DelegatedLeaseRenewer delegatedRenewer;
    private final HeartbeatRouter heartbeats;
    private boolean underWay;

    StoreProbe(
            EventLoop loop,
            StoreClient store,
            PeerTracker peers,
            IsolationDetector isolation,
            DelegatedLeaseRenewer delegatedRenewer,
            HeartbeatRouter heartbeats) {
        this.loop = loop;
        this.store = store;
        this.peers = peers;
        this.isolation = isolation;
        this.delegatedRenewer = delegatedRenewer;
        this.heartbeats = heartbeats;
    }

    void start() {
        loop.schedule(INTERVAL_MICROS, this::start);
        boolean isLeaderReachable = peers.reachableLeader() != null;
        if (isLeaderReachable && !isolation.isStoreFailing()) {
            return;
        }
        probe();
        if (!isLeaderReachable && delegatedRenewer.mayRenew()) {
            heartbeats.rerouteWaiting();
        }
    }

    private void probe() {
        if (!underWay) {
            underWay = true;
            store.get(
                    RequestPriority.CONTROL,
                    StoreKeys.LEADER,
                    (result, entry, storeRevision) -> underWay = false);
        }
    }
}
