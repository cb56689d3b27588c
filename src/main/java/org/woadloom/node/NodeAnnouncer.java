package org.woadloom.node;

import com.google.common.collect.ImmutableMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.woadloom.core.rollout.ClusterMembership;
import org.woadloom.core.rollout.Feature;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.NodeAnnouncement;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.Entry;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * Announces in the store which features this process supports. The announcement is attached to a
 * store lease that the process renews, so it disappears soon after the process ends.
 */
final class NodeAnnouncer {
    private static final long RETRY_MICROS = 300_000;

    /**
     * Long enough for an announcement to outlast a restart, so that the next process knows that it
     * is one, and not much longer.
     */
    private static final long LEASE_MICROS = 15_000_000;

    private static final long RENEWAL_INTERVAL_MICROS = 4_000_000;

    /**
     * A process that starts within this time of the previous start counts as a consecutive start.
     */
    private static final long CONSECUTIVE_START_MICROS = 60_000_000;

    private final EventLoop loop;
    private final StoreClient store;
    private final String label;
    private final long processId;
    private final EnumSet<Feature> usableFeatures;
    private final Set<String> members;
    private final ClusterMembership membership;
    private final Runnable onAnnounced;
    private boolean announced;

    /**
     * @param members the labels of all nodes in this node's settings, including its own
     * @param onAnnounced called each time the announcement has been stored
     */
    NodeAnnouncer(
            EventLoop loop,
            StoreClient store,
            String label,
            long processId,
            EnumSet<Feature> usableFeatures,
            Set<String> members,
            ClusterMembership membership,
            Runnable onAnnounced) {
        this.loop = loop;
        this.store = store;
        this.label = label;
        this.processId = processId;
        this.usableFeatures = usableFeatures;
        this.members = members;
        this.membership = membership;
        this.onAnnounced = onAnnounced;
    }

    /** True while, as far as known, the announcement of this process is in the store. */
    boolean isAnnounced() {
        return announced;
    }

    /** Announces this process, with retries until that succeeds. */
    void announce() {
        store.grantLease(
                LEASE_MICROS,
                (result, storeLease) -> {
                    if (result == Result.OK) {
                        readPredecessor(storeLease);
                    } else {
                        retry();
                    }
                });
    }

    private void retry() {
        loop.schedule(RETRY_MICROS, this::announce);
    }

    /**
     * Reads the announcement of the previous process, which shows whether processes of this node
     * end soon after they start.
     */
    private void readPredecessor(long storeLease) {
        store.get(
                RequestPriority.CONTROL,
                key(),
                (result, entry, storeRevision) -> {
                    if (result == Result.OK || result == Result.NOT_FOUND) {
                        write(storeLease, entry);
                    } else {
                        retry();
                    }
                });
    }

    private void write(long storeLease, Entry predecessor) {
        NodeAnnouncement announcement =
                new NodeAnnouncement(
                        processId,
                        Feature.allKeys(),
                        Feature.keys(usableFeatures),
                        members,
                        consecutiveStarts(predecessor),
                        loop.wallMicros());
        // Without this condition, an unanswered write that is executed after a later one would
        // leave the key attached to a store lease that nobody renews.
        Condition unchanged =
                new Condition(key(), predecessor == null ? 0 : predecessor.revision());
        Change version =
                Change.put(
                        StoreKeys.NODE_VERSION_PREFIX + label,
                        ImmutableMap.of(
                                AgreedVersion.VERSION_FIELD, AgreedVersion.ANNOUNCED_VERSION));
        store.txn(
                RequestPriority.CONTROL,
                List.of(unchanged),
                List.of(new Change(key(), announcement.toMap(), storeLease), version),
                (result, revision, failed) -> {
                    if (result == Result.OK) {
                        announced = true;
                        scheduleRenewal(storeLease);
                        onAnnounced.run();
                    } else {
                        retry();
                    }
                });
    }

    private String key() {
        return StoreKeys.ROLLOUT_NODE_PREFIX + label;
    }

    private int consecutiveStarts(Entry predecessor) {
        if (predecessor == null) {
            return 1;
        }
        NodeAnnouncement announcement;
        try {
            announcement = NodeAnnouncement.parse(predecessor.value());
        } catch (MalformedMessageException e) {
            return 1;
        }
        if (announcement.processId() == processId) {
            return announcement.consecutiveStarts();
        }
        long ageMicros = loop.wallMicros() - announcement.startedWallMicros();
        boolean isConsecutive = ageMicros >= 0 && ageMicros < CONSECUTIVE_START_MICROS;
        return isConsecutive ? announcement.consecutiveStarts() + 1 : 1;
    }

    private void scheduleRenewal(long storeLease) {
        loop.schedule(RENEWAL_INTERVAL_MICROS, () -> renew(storeLease));
    }

    private void renew(long storeLease) {
        store.renewLease(
                storeLease,
                (result, id) -> {
                    if (result != Result.NOT_FOUND) {
                        scheduleRenewal(storeLease);
                        return;
                    }
                    // The announcement has expired. It must be stored again before conclusions may
                    // be drawn from what is read.
                    announced = false;
                    membership.onAnnouncementLost();
                    announce();
                });
    }
}
