package org.woadloom.node;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.woadloom.cloud.CloudClient;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.http.JobApi;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Entry;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * The machine types that the cloud offers. They are read when the node starts: from the cloud or,
 * while the cloud does not answer, from the copy that another node stored.
 */
final class MachineTypeCatalog implements JobApi.MachineTypeSource {
    private static final long RETRY_MICROS = 1_000_000;

    /** The stored field that holds the list of types. */
    private static final String STORED_TYPES = "hosttypes";

    private final EventLoop loop;
    private final CloudClient cloud;
    private final StoreClient store;
    private final EventQueue queue;
    private List<MachineType> types = List.of();

    MachineTypeCatalog(EventLoop loop, CloudClient cloud, StoreClient store, EventQueue queue) {
        this.loop = loop;
        this.cloud = cloud;
        this.store = store;
        this.queue = queue;
    }

    @Override
    public List<MachineType> currentTypes() {
        return types;
    }

    @Override
    public void refresh(Consumer<Boolean> onAnswered) {
        cloud.listMachineTypes(
                found -> {
                    boolean answered = isAnswer(found);
                    if (answered) {
                        update(found);
                    }
                    onAnswered.accept(answered);
                });
    }

    /** Reads the types, with retries until the cloud has answered. */
    void start() {
        cloud.listMachineTypes(
                found -> {
                    if (isAnswer(found)) {
                        update(found);
                        storeForOtherNodes(found);
                    } else {
                        readStored();
                    }
                });
    }

    private static boolean isAnswer(List<MachineType> found) {
        return found != null && !found.isEmpty();
    }

    private void update(List<MachineType> found) {
        types = List.copyOf(found);
        queue.add(new SchedulerEvent.MachineTypesRead(types));
    }

    private void readStored() {
        store.get(
                RequestPriority.NORMAL,
                StoreKeys.MACHINE_TYPES,
                (result, entry, storeRevision) -> {
                    if (result == Result.OK && types.isEmpty()) {
                        updateFromStored(entry);
                    }
                    loop.schedule(RETRY_MICROS, this::start);
                });
    }

    private void updateFromStored(Entry entry) {
        try {
            update(MachineType.parseAll(entry.value()));
        } catch (MalformedMessageException e) {
            UnreadableRecords.log(StoreKeys.MACHINE_TYPES, e);
        }
    }

    private void storeForOtherNodes(List<MachineType> found) {
        List<Object> items = new ArrayList<>();
        for (MachineType type : found) {
            items.add(type.toMap());
        }
        store.txn(
                RequestPriority.BACKGROUND,
                List.of(),
                List.of(Change.put(StoreKeys.MACHINE_TYPES, ImmutableMap.of(STORED_TYPES, items))),
                (result, storeRevision, failed) -> {});
    }
}
