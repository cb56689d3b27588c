package org.woadloom.cloud;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent.ScaleOutOutcome;
import org.woadloom.net.EventLoop;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.KnownFields;
import org.woadloom.protocol.ListedMachine;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.TokenBucket;

/**
 * Client of the cloud API that offers machines. Calls are rate limited by the settings and queued
 * by priority. Failed calls are not retried here.
 */
public final class CloudClient {
    private static final long TIMEOUT_MICROS = 8_000_000;

    /** The share of the configured rate limit that is used. */
    private static final double RATE_SHARE = 0.8;

    /** Machines per page, the maximum of the cloud API: 4,000 machines take nine calls. */
    private static final int PAGE_SIZE = 500;

    private static final int STATUS_OK = 200;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    private static final String NO_CAPACITY_ERROR = "no capacity";

    private static final String TYPES_PATH = "/machine_types";
    private static final String MACHINES_PATH = "/machines";
    private static final String DELETE_PATH = "/machines/delete";

    /** Field names in requests and responses. */
    private static final class Field {
        static final String REQUEST_NAME = "claim";
        static final String MACHINE_TYPE = "hosttype";
        static final String ZONE = "yard";
        static final String SPOT = "reclaimable";
        static final String COUNT = "count";
        static final String HOSTS = "hosts";
        static final String HAS_MORE = "more";
        static final String ERROR = "error";

        private Field() {}
    }

    private static final KnownFields MACHINE_LIST_FIELDS =
            KnownFields.of(Field.HAS_MORE).with(Field.HOSTS, ListedMachine.KNOWN_FIELDS);
    private static final KnownFields RENTAL_FIELDS = KnownFields.of(Field.HOSTS);
    private static final KnownFields ERROR_FIELDS = KnownFields.of(Field.ERROR);

    private final EventLoop loop;
    private final HttpTransport transport;
    private final String address;
    private final TokenBucket budget;
    private final EnumMap<CallPriority, ArrayDeque<Runnable>> queues =
            new EnumMap<>(CallPriority.class);
    private boolean wakeScheduled;

    /**
     * The priorities of calls, the most urgent first. A deletion proves that a machine is gone and
     * ends its cost; reads can wait longest.
     */
    private enum CallPriority {
        DELETE,
        RENT,
        READ
    }

    /** Receives the machine types. */
    public interface MachineTypesCallback {
        /** Called with null if the call failed. */
        void onMachineTypes(List<MachineType> types);
    }

    /** Receives the list of machines. */
    public interface MachineListCallback {
        /** Called with null if any page failed. */
        void onMachines(List<ListedMachine> machines);
    }

    /** Receives the outcome of a rental. */
    public interface RentCallback {
        void onRented(ScaleOutOutcome outcome, List<String> hosts);
    }

    /** Receives the outcome of a deletion. */
    public interface DeleteCallback {
        /** Called with false if the machines may or may not have been deleted. */
        void onDeleted(boolean confirmed);
    }

    public CloudClient(EventLoop loop, HttpTransport transport, ServiceSettings settings) {
        this.loop = loop;
        this.transport = transport;
        this.address = settings.cloudAddress();
        for (CallPriority priority : CallPriority.values()) {
            queues.put(priority, new ArrayDeque<>());
        }
        this.budget = new TokenBucket(settings.cloud().rps() * RATE_SHARE);
    }

    /** Lists the machine types that the cloud offers. */
    public void listMachineTypes(MachineTypesCallback callback) {
        request(
                CallPriority.READ,
                "GET",
                TYPES_PATH,
                null,
                (status, body) -> {
                    try {
                        callback.onMachineTypes(
                                status == STATUS_OK
                                        ? MachineType.parseAll(
                                                Cbor.decodeMap(body, MachineType.LIST_FIELDS))
                                        : null);
                    } catch (MalformedMessageException e) {
                        callback.onMachineTypes(null);
                    }
                });
    }

    /** Lists all machines, page by page. */
    public void listMachines(MachineListCallback callback) {
        requestPage("", new ArrayList<>(), callback);
    }

    private void requestPage(
            String afterHost, List<ListedMachine> found, MachineListCallback callback) {
        String path =
                MACHINES_PATH
                        + "?"
                        + (afterHost.isEmpty() ? "" : "since=" + afterHost + "&")
                        + "most="
                        + PAGE_SIZE;
        request(
                CallPriority.READ,
                "GET",
                path,
                null,
                (status, body) -> {
                    if (status != STATUS_OK) {
                        callback.onMachines(null);
                        return;
                    }
                    boolean hasMore;
                    try {
                        Fields answer = new Fields(Cbor.decodeMap(body, MACHINE_LIST_FIELDS));
                        for (Object item : answer.list(Field.HOSTS)) {
                            found.add(ListedMachine.parse(item));
                        }
                        hasMore = answer.flagOr(Field.HAS_MORE, false) && !found.isEmpty();
                    } catch (MalformedMessageException e) {
                        callback.onMachines(null);
                        return;
                    }
                    if (hasMore) {
                        requestPage(found.get(found.size() - 1).host(), found, callback);
                    } else {
                        callback.onMachines(found);
                    }
                });
    }

    /**
     * Rents machines. The request is idempotent: repeated with the same name it returns the same
     * machines.
     */
    public void rentMachines(SchedulerAction.RentMachines rent, RentCallback callback) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(Field.REQUEST_NAME, rent.requestName());
        map.put(Field.MACHINE_TYPE, rent.machineType());
        map.put(Field.ZONE, rent.zone());
        map.put(Field.SPOT, rent.spot());
        map.put(Field.COUNT, (long) rent.count());
        request(
                CallPriority.RENT,
                "POST",
                MACHINES_PATH,
                Cbor.encode(map),
                (status, body) -> {
                    try {
                        if (status == STATUS_OK) {
                            callback.onRented(
                                    ScaleOutOutcome.RENTED,
                                    new Fields(Cbor.decodeMap(body, RENTAL_FIELDS))
                                            .textList(Field.HOSTS));
                        } else if (status == STATUS_SERVICE_UNAVAILABLE
                                && NO_CAPACITY_ERROR.equals(errorText(body))) {
                            callback.onRented(ScaleOutOutcome.NO_CAPACITY, List.of());
                        } else {
                            boolean refused = status > 0 || status == HttpTransport.NOT_SENT;
                            callback.onRented(
                                    refused ? ScaleOutOutcome.REFUSED : ScaleOutOutcome.UNKNOWN,
                                    List.of());
                        }
                    } catch (MalformedMessageException e) {
                        callback.onRented(ScaleOutOutcome.UNKNOWN, List.of());
                    }
                });
    }

    private static String errorText(byte[] body) throws MalformedMessageException {
        return new Fields(Cbor.decodeMap(body, ERROR_FIELDS)).textOr(Field.ERROR, "");
    }

    /** Deletes machines, which ends their rental. */
    public void deleteMachines(List<String> hosts, DeleteCallback callback) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(Field.HOSTS, new ArrayList<Object>(hosts));
        request(
                CallPriority.DELETE,
                "POST",
                DELETE_PATH,
                Cbor.encode(map),
                (status, body) -> callback.onDeleted(status == STATUS_OK));
    }

    private void request(
            CallPriority priority,
            String method,
            String path,
            byte[] body,
            HttpTransport.Callback callback) {
        queues.get(priority)
                .addLast(
                        () ->
                                transport.request(
                                        address, method, path, body, TIMEOUT_MICROS, callback));
        sendQueued();
    }

    private ArrayDeque<Runnable> mostUrgentQueue() {
        return queues.values().stream().filter(queue -> !queue.isEmpty()).findFirst().orElse(null);
    }

    private void sendQueued() {
        for (ArrayDeque<Runnable> queue = mostUrgentQueue();
                queue != null;
                queue = mostUrgentQueue()) {
            long waitMicros = budget.waitMicros(loop.nowMicros(), 1);
            if (waitMicros > 0) {
                if (!wakeScheduled) {
                    wakeScheduled = true;
                    loop.schedule(
                            waitMicros,
                            () -> {
                                wakeScheduled = false;
                                sendQueued();
                            });
                }
                return;
            }
            budget.take(loop.nowMicros(), 1);
            queue.pollFirst().run();
        }
    }
}
