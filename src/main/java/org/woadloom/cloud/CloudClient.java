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
import org.woadloom.protocol.ListedMachine;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.TokenBucket;

/**
 * The client of the cloud, within the rate that the settings allow. Calls wait for the rate in the
 * order of their kind. Nothing is retried here.
 */
public final class CloudClient {
    private static final long TIMEOUT_MICROS = 8_000_000;

    /** The share of the rate that the settings allow which is used. */
    private static final double RATE_SHARE = 0.8;

    /** How many machines a call lists, the cloud's bound: nine calls list 4,000. */
    private static final int PAGE_SIZE = 500;

    private static final int STATUS_OK = 200;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    private static final String NO_CAPACITY_ERROR = "no capacity";

    private static final String TYPES_PATH = "/machine_types";
    private static final String MACHINES_PATH = "/machines";
    private static final String DELETE_PATH = "/machines/delete";

    /** The names of the fields in requests and answers. */
    private static final class Field {
        static final String REQUEST_NAME = "claim";
        static final String MACHINE_TYPE = "hosttype";
        static final String ZONE = "yard";
        static final String SPOT = "reclaimable";
        static final String COUNT = "count";
        static final String HOSTS = "hosts";
        static final String MORE = "more";
        static final String ERROR = "error";

        private Field() {}
    }

    private final EventLoop loop;
    private final HttpTransport transport;
    private final String address;
    private final TokenBucket budget;
    private final EnumMap<CallKind, ArrayDeque<Runnable>> waiting = new EnumMap<>(CallKind.class);
    private boolean wakeScheduled;

    /**
     * The kinds of calls, the most urgent first: deletions are proofs and end what is paid for, and
     * lists can wait for long.
     */
    private enum CallKind {
        DELETE,
        RENT,
        READ
    }

    /** Receives the machine types. */
    public interface MachineTypesCallback {
        /** Null where the cloud did not give them. */
        void onMachineTypes(List<MachineType> types);
    }

    /** Receives the list of machines. */
    public interface MachineListCallback {
        /** Null where the cloud did not give all of it. */
        void onMachines(List<ListedMachine> machines);
    }

    /** Receives the outcome of a rental. */
    public interface RentCallback {
        void onRented(ScaleOutOutcome outcome, List<String> hosts);
    }

    /** Receives the outcome of a deletion. */
    public interface DeleteCallback {
        /** False where it may or may not have been carried out. */
        void onDeleted(boolean done);
    }

    public CloudClient(EventLoop loop, HttpTransport transport, ServiceSettings settings) {
        this.loop = loop;
        this.transport = transport;
        this.address = settings.cloudAddress();
        for (CallKind kind : CallKind.values()) {
            waiting.put(kind, new ArrayDeque<>());
        }
        this.budget = new TokenBucket(settings.cloud().rps() * RATE_SHARE);
    }

    /** Reads the machine types that the cloud offers. */
    public void listMachineTypes(MachineTypesCallback callback) {
        request(
                CallKind.READ,
                "GET",
                TYPES_PATH,
                null,
                (status, body) -> {
                    try {
                        callback.onMachineTypes(
                                status == STATUS_OK
                                        ? MachineType.parseAll(Cbor.decodeMap(body))
                                        : null);
                    } catch (MalformedMessageException e) {
                        callback.onMachineTypes(null);
                    }
                });
    }

    /** Reads the whole list of machines, page by page. */
    public void listMachines(MachineListCallback callback) {
        page("", new ArrayList<>(), callback);
    }

    private void page(String since, List<ListedMachine> found, MachineListCallback callback) {
        String path =
                MACHINES_PATH
                        + "?"
                        + (since.isEmpty() ? "" : "since=" + since + "&")
                        + "most="
                        + PAGE_SIZE;
        request(
                CallKind.READ,
                "GET",
                path,
                null,
                (status, body) -> {
                    if (status != STATUS_OK) {
                        callback.onMachines(null);
                        return;
                    }
                    boolean more;
                    try {
                        Fields answer = new Fields(Cbor.decodeMap(body));
                        for (Object item : answer.list(Field.HOSTS)) {
                            found.add(ListedMachine.parse(item));
                        }
                        more = answer.flagOr(Field.MORE, false) && !found.isEmpty();
                    } catch (MalformedMessageException e) {
                        callback.onMachines(null);
                        return;
                    }
                    if (more) {
                        page(found.get(found.size() - 1).host(), found, callback);
                    } else {
                        callback.onMachines(found);
                    }
                });
    }

    /** Rents machines; repeated under the same name, the request gives the same machines. */
    public void rentMachines(SchedulerAction.RentMachines rent, RentCallback callback) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(Field.REQUEST_NAME, rent.requestName());
        map.put(Field.MACHINE_TYPE, rent.machineType());
        map.put(Field.ZONE, rent.zone());
        map.put(Field.SPOT, rent.spot());
        map.put(Field.COUNT, (long) rent.count());
        request(
                CallKind.RENT,
                "POST",
                MACHINES_PATH,
                Cbor.encode(map),
                (status, body) -> {
                    try {
                        if (status == STATUS_OK) {
                            callback.onRented(
                                    ScaleOutOutcome.RENTED,
                                    new Fields(Cbor.decodeMap(body)).textList(Field.HOSTS));
                        } else if (status == STATUS_SERVICE_UNAVAILABLE
                                && NO_CAPACITY_ERROR.equals(error(body))) {
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

    private static String error(byte[] body) throws MalformedMessageException {
        return new Fields(Cbor.decodeMap(body)).textOr(Field.ERROR, "");
    }

    /** Returns machines. */
    public void deleteMachines(List<String> hosts, DeleteCallback callback) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(Field.HOSTS, new ArrayList<Object>(hosts));
        request(
                CallKind.DELETE,
                "POST",
                DELETE_PATH,
                Cbor.encode(map),
                (status, body) -> callback.onDeleted(status == STATUS_OK));
    }

    private void request(
            CallKind kind,
            String method,
            String path,
            byte[] body,
            HttpTransport.Callback callback) {
        waiting.get(kind)
                .addLast(
                        () ->
                                transport.request(
                                        address, method, path, body, TIMEOUT_MICROS, callback));
        sendQueued();
    }

    private ArrayDeque<Runnable> mostUrgentQueue() {
        return waiting.values().stream()
                .filter(candidate -> !candidate.isEmpty())
                .findFirst()
                .orElse(null);
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
