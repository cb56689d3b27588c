package org.woadloom.node;

import org.woadloom.net.EventLoop;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreKeys;

/**
 * Checks whether the store answers while the leader can't be reached, because there may be no other
 * requests that show it. Also routes waiting heartbeats again once this node may renew leases
 * itself.
 */
final class StoreProbe {
    private static final long INTERVAL_MICROS = 700_000;

    private final EventLoop loop;
    private final StoreClient store;
    private final PeerTracker peers;
    private final IsolationDetector isolation;
    private final DelegatedLeaseRenewer delegatedRenewer;
    private final HeartbeatRouter heartbeatRouter;
    private boolean probePending;

    StoreProbe(
            EventLoop loop,
            StoreClient store,
            PeerTracker peers,
            IsolationDetector isolation,
            DelegatedLeaseRenewer delegatedRenewer,
            HeartbeatRouter heartbeatRouter) {
        this.loop = loop;
        this.store = store;
        this.peers = peers;
        this.isolation = isolation;
        this.delegatedRenewer = delegatedRenewer;
        this.heartbeatRouter = heartbeatRouter;
    }

    void start() {
        loop.schedule(INTERVAL_MICROS, this::start);
        boolean isLeaderReachable = peers.reachableLeader() != null;
        if (isLeaderReachable && !isolation.isStoreFailing()) {
            return;
        }
        probe();
        if (!isLeaderReachable && delegatedRenewer.mayRenew()) {
            heartbeatRouter.rerouteWaiting();
        }
    }

    private void probe() {
        if (!probePending) {
            probePending = true;
            store.get(
                    RequestPriority.CONTROL,
                    StoreKeys.LEADER,
                    (result, entry, storeRevision) -> probePending = false);
        }
    }
}
