package org.woadloom.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.woadloom.net.EventLoop;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Entry;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/** Keeps a copy of what is stored of the rollout: its state, announcements and requests. */
final class RolloutWatcher {
    private static final long RETRY_MICROS = 300_000;
    private static final long WATCH_TIMEOUT_MICROS = 10_000_000;

    /** Is told of the copy's changes. */
    interface Listener {
        /** Whether this process's announcement stands in the store. */
        boolean isAnnounced();

        /** All entries have been read, by a request that was sent after the announcement. */
        void onReadSinceAnnouncement();

        /** The entries may have changed. */
        void onEntries();
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final Listener listener;
    private final Map<String, Entry> entries = new HashMap<>();
    private boolean watching;

    RolloutWatcher(EventLoop loop, StoreClient store, Listener listener) {
        this.loop = loop;
        this.store = store;
        this.listener = listener;
    }

    /** What is stored under the key as last read, or null. */
    Entry entry(String key) {
        return entries.get(key);
    }

    /** All entries, by their keys. */
    List<Entry> sortedEntries() {
        List<Entry> sorted = new ArrayList<>(entries.values());
        sorted.sort(Comparator.comparing(Entry::key));
        return sorted;
    }

    /** Reads everything, and follows the changes from there on unless that is done already. */
    void start() {
        read(
                RequestPriority.CONTROL,
                revision -> {
                    if (revision.isEmpty()) {
                        loop.schedule(RETRY_MICROS, this::start);
                    } else if (!watching) {
                        watching = true;
                        watch(revision.getAsLong());
                    }
                });
    }

    /** Reads everything anew, once. */
    void refresh() {
        read(RequestPriority.CONTROL, revision -> {});
    }

    private void watch(long sinceRevision) {
        store.watch(
                StoreKeys.ROLLOUT_PREFIX,
                sinceRevision,
                WATCH_TIMEOUT_MICROS,
                (result, events, storeRevision) -> {
                    if (result != Result.OK) {
                        watching = false;
                        loop.schedule(RETRY_MICROS, this::start);
                        return;
                    }
                    events.forEach(this::apply);
                    if (!events.isEmpty()) {
                        listener.onEntries();
                    }
                    watch(Math.max(sinceRevision, storeRevision));
                });
    }

    private void apply(StoreClient.Event event) {
        if (event.value() == null) {
            entries.remove(event.key());
        } else {
            entries.put(event.key(), new Entry(event.key(), event.value(), event.revision()));
        }
    }

    /**
     * @param done takes the store's revision as of which everything was read, or empty on failure
     */
    private void read(RequestPriority priority, Consumer<OptionalLong> done) {
        // Only a list counts: what a watch that was opened before the announcement still brings is
        // not enough.
        boolean wasAnnounced = listener.isAnnounced();
        store.list(
                priority,
                StoreKeys.ROLLOUT_PREFIX,
                (result, found, storeRevision) -> {
                    if (result != Result.OK) {
                        done.accept(OptionalLong.empty());
                        return;
                    }
                    if (wasAnnounced && listener.isAnnounced()) {
                        listener.onReadSinceAnnouncement();
                    }
                    entries.clear();
                    found.forEach(entry -> entries.put(entry.key(), entry));
                    listener.onEntries();
                    done.accept(OptionalLong.of(storeRevision));
                });
    }
}
