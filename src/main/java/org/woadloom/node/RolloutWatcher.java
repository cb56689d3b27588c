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

/** Keeps a copy of the stored rollout entries: the state, announcements and requests. */
final class RolloutWatcher {
    private static final long RETRY_MICROS = 300_000;
    private static final long WATCH_TIMEOUT_MICROS = 10_000_000;

    /** Receives changes of the copy. */
    interface Listener {
        /** Whether the announcement of this process is in the store. */
        boolean isAnnounced();

        /** All entries have been read by a request that was sent after the announcement. */
        void onReadSinceAnnouncement();

        /** The entries may have changed. */
        void onEntriesChanged();
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

    /** The last known entry of the key, or null. */
    Entry entry(String key) {
        return entries.get(key);
    }

    /** All entries, sorted by key. */
    List<Entry> sortedEntries() {
        List<Entry> sorted = new ArrayList<>(entries.values());
        sorted.sort(Comparator.comparing(Entry::key));
        return sorted;
    }

    /** Reads all entries, then watches them for changes unless a watch is already running. */
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

    /** Reads all entries again. */
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
                        listener.onEntriesChanged();
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
     * @param done receives the store's revision as of the read, or empty if the read failed
     */
    private void read(RequestPriority priority, Consumer<OptionalLong> done) {
        // Only a list request that was sent after this process announced itself counts as a read
        // since the announcement. Events of a watch don't count: a watch that was started before
        // the announcement may report older changes.
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
                    listener.onEntriesChanged();
                    done.accept(OptionalLong.of(storeRevision));
                });
    }
}
