package org.woadloom.node;

import java.util.function.Consumer;
import org.woadloom.core.rollout.Feature;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Entry;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * The version that the nodes have agreed on, as releases 2 and 3 store it. They switch compact
 * records and delegation on by it, so this release follows it as well.
 */
final class AgreedVersion {
    /** The version that releases 2 and 3 take this one for. */
    static final long ANNOUNCED = 3;

    /** The field of the stored values that holds a version. */
    static final String FIELD = "version";

    private static final long FIRST = 1;
    private static final long POLL_MICROS = 1_000_000;

    private final EventLoop loop;
    private final StoreClient store;
    private final Consumer<Feature> onFeatureOn;
    private long version = FIRST;
    private long revision;

    /**
     * @param onFeatureOn takes each feature that is on by the version, perhaps several times
     */
    AgreedVersion(EventLoop loop, StoreClient store, Consumer<Feature> onFeatureOn) {
        this.loop = loop;
        this.store = store;
        this.onFeatureOn = onFeatureOn;
    }

    /** The highest version that was read. */
    long version() {
        return version;
    }

    /** The revision of the stored version, 0 while none was read. */
    long revision() {
        return revision;
    }

    /** Reads the version now and then, for good. */
    void poll() {
        read(RequestPriority.NORMAL, known -> {});
        loop.schedule(POLL_MICROS, this::poll);
    }

    /**
     * Reads the version unless it can't rise any more.
     *
     * @param done is told whether the store has answered
     */
    void read(RequestPriority priority, Consumer<Boolean> done) {
        if (version >= ANNOUNCED) {
            done.accept(true);
            return;
        }
        store.get(
                priority,
                StoreKeys.AGREED_VERSION,
                (result, entry, storeRevision) -> {
                    if (result == Result.OK) {
                        update(entry);
                    }
                    switchFeaturesOn();
                    done.accept(result == Result.OK || result == Result.NOT_FOUND);
                });
    }

    private void update(Entry entry) {
        try {
            version = Math.max(version, new Fields(entry.value()).integer(FIELD));
            revision = entry.revision();
        } catch (MalformedMessageException e) {
            UnreadableRecords.log(entry.key(), e);
        }
    }

    private void switchFeaturesOn() {
        for (Feature feature : Feature.values()) {
            if (feature.agreedVersion() > 0 && version >= feature.agreedVersion()) {
                onFeatureOn.accept(feature);
            }
        }
    }
}
