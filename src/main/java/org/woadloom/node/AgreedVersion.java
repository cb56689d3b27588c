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
 * The version that all nodes agreed on, as releases 2 and 3 store it. Those releases switch compact
 * records and lease delegation on by it, so this release follows it as well.
 */
final class AgreedVersion {
    /** The version that this release announces to releases 2 and 3. */
    static final long ANNOUNCED_VERSION = 3;

    /**
     * The field that holds the version, in the agreed version and in a node's announcement of it.
     */
    static final String VERSION_FIELD = "version";

    private static final long INITIAL_VERSION = 1;
    private static final long POLL_MICROS = 1_000_000;

    private final EventLoop loop;
    private final StoreClient store;
    private final Consumer<Feature> onFeatureOn;
    private long version = INITIAL_VERSION;
    private long revision;

    /**
     * @param onFeatureOn called for each feature that the version switches on; may be called
     *     repeatedly for the same feature
     */
    AgreedVersion(EventLoop loop, StoreClient store, Consumer<Feature> onFeatureOn) {
        this.loop = loop;
        this.store = store;
        this.onFeatureOn = onFeatureOn;
    }

    /** The highest version that was read so far. */
    long version() {
        return version;
    }

    /** The store revision of the agreed version, 0 until it was read. */
    long revision() {
        return revision;
    }

    /** Reads the version every second until the process ends. */
    void poll() {
        read(RequestPriority.NORMAL, known -> {});
        loop.schedule(POLL_MICROS, this::poll);
    }

    /**
     * Reads the version, unless the highest version that this release knows was read already.
     *
     * @param done receives whether the store has answered
     */
    void read(RequestPriority priority, Consumer<Boolean> done) {
        if (version >= ANNOUNCED_VERSION) {
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
            version = Math.max(version, new Fields(entry.value()).integer(VERSION_FIELD));
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
