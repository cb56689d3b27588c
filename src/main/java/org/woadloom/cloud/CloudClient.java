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

/** The cloud's protocol, within the rate that the settings allow. */
public final class CloudClient {
    private static final long TIMEOUT_MICROS = 8_000_000;
    private static final double SHARE_OF_LIMIT = 0.8;

    /** The cloud's bound: nine calls list 4,000 machines. */
    private static final int PAGE = 500;

    private final EventLoop loop;
    private final HttpTransport transport;
    private final String address;
    private final TokenBucket budget;
    private final EnumMap<Call, ArrayDeque<Runnable>> waiting = new EnumMap<>(Call.class);
    private boolean wakeScheduled;

    /**
     * What goes first where calls must wait: deletions are proofs and end what is paid for, and
     * lists can wait for long.
     */
    private enum Call {
        DELETE,
        RENT,
        READ
    }

    public interface TypesCallback {
        /** Null where the cloud did not give them. */
        void types(List<MachineType> types);
    }

    public interface ListCallback {
        void machines(List<ListedMachine> machines);
    }

    public interface RentCallback {
        void rented(ScaleOutOutcome outcome, List<String> hosts);
    }

    public interface DeleteCallback {
        void deleted(boolean done);
    }

    public CloudClient(EventLoop loop, HttpTransport transport, ServiceSettings settings) {
        this.loop = loop;
        this.transport = transport;
        this.address = settings.cloudAddress();
        for (Call call : Call.values()) {
            waiting.put(call, new ArrayDeque<>());
        }
        this.budget = new TokenBucket(settings.cloud().rps() * SHARE_OF_LIMIT);
    }

    public void types(TypesCallback callback) {
        request(
                Call.READ,
                "GET",
                "/machine_types",
                null,
                (status, body) -> {
                    try {
                        callback.types(
                                status == 200 ? MachineType.parseAll(Cbor.decodeMap(body)) : null);
                    } catch (MalformedMessageException e) {
                        callback.types(null);
                    }
                });
    }

    /** Reads the whole list; null where a page was not given. */
    public void list(ListCallback callback) {
        page("", new ArrayList<>(), callback);
    }

    private void page(String since, List<ListedMachine> found, ListCallback callback) {
        String path =
                "/machines?" + (since.isEmpty() ? "" : "since=" + since + "&") + "most=" + PAGE;
        request(
                Call.READ,
                "GET",
                path,
                null,
                (status, body) -> {
                    if (status != 200) {
                        callback.machines(null);
                        return;
                    }
                    boolean more;
                    try {
                        Fields f = new Fields(Cbor.decodeMap(body));
                        for (Object item : f.list("hosts")) {
                            found.add(ListedMachine.parse(item));
                        }
                        more = f.flagOr("more", false) && !found.isEmpty();
                    } catch (MalformedMessageException e) {
                        callback.machines(null);
                        return;
                    }
                    if (more) {
                        page(found.get(found.size() - 1).host(), found, callback);
                    } else {
                        callback.machines(found);
                    }
                });
    }

    public void rent(SchedulerAction.RentMachines rent, RentCallback callback) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("claim", rent.requestName());
        map.put("hosttype", rent.machineType());
        map.put("yard", rent.zone());
        map.put("reclaimable", rent.spot());
        map.put("count", (long) rent.count());
        request(
                Call.RENT,
                "POST",
                "/machines",
                Cbor.encode(map),
                (status, body) -> {
                    try {
                        if (status == 200) {
                            callback.rented(
                                    ScaleOutOutcome.RENTED,
                                    new Fields(Cbor.decodeMap(body)).texts("hosts"));
                        } else if (status == 503 && "no capacity".equals(error(body))) {
                            callback.rented(ScaleOutOutcome.NO_CAPACITY, List.of());
                        } else {
                            boolean refused = status > 0 || status == HttpTransport.NOT_SENT;
                            callback.rented(
                                    refused ? ScaleOutOutcome.REFUSED : ScaleOutOutcome.UNKNOWN,
                                    List.of());
                        }
                    } catch (MalformedMessageException e) {
                        callback.rented(ScaleOutOutcome.UNKNOWN, List.of());
                    }
                });
    }

    private static String error(byte[] body) throws MalformedMessageException {
        return new Fields(Cbor.decodeMap(body)).textOr("error", "");
    }

    public void delete(List<String> hosts, DeleteCallback callback) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("hosts", new ArrayList<Object>(hosts));
        request(
                Call.DELETE,
                "POST",
                "/machines/delete",
                Cbor.encode(map),
                (status, body) -> callback.deleted(status == 200));
    }

    private void request(
            Call call, String method, String path, byte[] body, HttpTransport.Callback callback) {
        waiting.get(call)
                .addLast(
                        () ->
                                transport.request(
                                        address, method, path, body, TIMEOUT_MICROS, callback));
        pump();
    }

    private ArrayDeque<Runnable> first() {
        return waiting.values().stream().filter(queue -> !queue.isEmpty()).findFirst().orElse(null);
    }

    private void pump() {
        for (ArrayDeque<Runnable> first = first(); first != null; first = first()) {
            long wait = budget.waitMicros(loop.nowMicros(), 1);
            if (wait > 0) {
                if (!wakeScheduled) {
                    wakeScheduled = true;
                    loop.schedule(
                            wait,
                            () -> {
                                wakeScheduled = false;
                                pump();
                            });
                }
                return;
            }
            budget.take(loop.nowMicros(), 1);
            first.pollFirst().run();
        }
    }
}
