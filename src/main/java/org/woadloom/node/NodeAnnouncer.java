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
 * Announces in the store what this process can read, on a store lease that it renews: the
 * announcement lasts as long as the process does, and a little longer.
 */
final class NodeAnnouncer {
    private static final long RETRY_MICROS = 300_000;

    /**
     * An announcement outlasts a restart, so that the next process knows that it is one, and little
     * more.
     */
    private static final long LEASE_MICROS = 15_000_000;

    private static final long RENEWAL_MICROS = 4_000_000;

    /**
     * A process that starts within this time of the one before counts as another start in a row.
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
     * @param members the labels of all nodes in the settings of this one
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

    /** True while the announcement of this process stands in the store, as far as known. */
    boolean isAnnounced() {
        return announced;
    }

    /** Announces this process, and repeats that until it succeeds. */
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
     * The announcement of the process before this one tells whether processes of this node end soon
     * after one another.
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
        // Without the condition a write without an answer, carried out after the next one, would
        // leave the key on a store lease that nobody renews.
        Condition unchanged =
                new Condition(key(), predecessor == null ? 0 : predecessor.revision());
        Change version =
                Change.put(
                        StoreKeys.NODE_VERSION_PREFIX + label,
                        ImmutableMap.of(AgreedVersion.FIELD, AgreedVersion.ANNOUNCED));
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
        loop.schedule(RENEWAL_MICROS, () -> renew(storeLease));
    }

    private void renew(long storeLease) {
        store.renewLease(
                storeLease,
                (result, id) -> {
                    if (result != Result.NOT_FOUND) {
                        scheduleRenewal(storeLease);
                        return;
                    }
                    // The announcement is lost; it is made anew before anything is concluded from
                    // what is read.
                    announced = false;
                    membership.onAnnouncementLost();
                    announce();
                });
    }
}
