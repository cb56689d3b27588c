package org.woadloom.cloud;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.Command.RentOutcome;
import org.woadloom.core.Effect;
import org.woadloom.net.HttpTransport;
import org.woadloom.net.Loop;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.state.Budget;
import org.woadloom.wire.Cbor;
import org.woadloom.wire.Fields;
import org.woadloom.wire.ListedMachine;
import org.woadloom.wire.MachineType;
import org.woadloom.wire.WireException;

/** The cloud's protocol, within the rate that the settings allow. */
public final class CloudClient {
    private static final long TIMEOUT_MICROS = 8_000_000;
    private static final double SHARE_OF_LIMIT = 0.8;
    /** The cloud's bound: nine calls list 4,000 machines. */
    private static final int PAGE = 500;

    private final Loop loop;
    private final HttpTransport transport;
    private final String address;
    private final Budget budget;
    private final EnumMap<Call, ArrayDeque<Runnable>> waiting = new EnumMap<>(Call.class);
    private boolean wakeScheduled;

    /** What goes first where calls must wait: deletions are proofs and end what is paid for, and lists can wait for long. */
    private enum Call { DELETE, RENT, READ }

    public interface TypesCallback {
        /** Null where the cloud did not give them. */
        void types(List<MachineType> types);
    }

    public interface ListCallback {
        void machines(List<ListedMachine> machines);
    }

    public interface RentCallback {
        void rented(RentOutcome outcome, List<String> hosts);
    }

    public interface DeleteCallback {
        void deleted(boolean done);
    }

    public CloudClient(Loop loop, HttpTransport transport, ServiceSettings settings) {
        this.loop = loop;
        this.transport = transport;
        this.address = settings.cloudAddress();
        for (Call call : Call.values()) {
            waiting.put(call, new ArrayDeque<>());
        }
        this.budget = new Budget(settings.cloud().rps() * SHARE_OF_LIMIT);
    }

    public void types(TypesCallback callback) {
        request(Call.READ, "GET", "/machine_types", null, (status, body) -> {
            try {
                callback.types(status == 200 ? MachineType.parseAll(Cbor.decodeMap(body)) : null);
            } catch (WireException e) {
                callback.types(null);
            }
        });
    }

    /** Reads the whole list; null where a page was not given. */
    public void list(ListCallback callback) {
        page("", new ArrayList<>(), callback);
    }

    private void page(String since, List<ListedMachine> found, ListCallback callback) {
        String path = "/machines?" + (since.isEmpty() ? "" : "since=" + since + "&") + "most=" + PAGE;
        request(Call.READ, "GET", path, null, (status, body) -> {
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
            } catch (WireException e) {
                callback.machines(null);
                return;
            }
            if (more) {
                page(found.get(found.size() - 1).uid(), found, callback);
            } else {
                callback.machines(found);
            }
        });
    }

    public void rent(Effect.Rent rent, RentCallback callback) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("claim", rent.claim());
        map.put("hosttype", rent.hosttype());
        map.put("yard", rent.yard());
        map.put("reclaimable", rent.reclaimable());
        map.put("count", (long) rent.count());
        request(Call.RENT, "POST", "/machines", Cbor.encode(map), (status, body) -> {
            try {
                if (status == 200) {
                    callback.rented(RentOutcome.RENTED, new Fields(Cbor.decodeMap(body)).texts("hosts"));
                } else if (status == 503 && "no capacity".equals(error(body))) {
                    callback.rented(RentOutcome.NO_CAPACITY, List.of());
                } else {
                    boolean refused = status > 0 || status == HttpTransport.NOT_SENT;
                    callback.rented(refused ? RentOutcome.REFUSED : RentOutcome.UNKNOWN, List.of());
                }
            } catch (WireException e) {
                callback.rented(RentOutcome.UNKNOWN, List.of());
            }
        });
    }

    private static String error(byte[] body) throws WireException {
        return new Fields(Cbor.decodeMap(body)).textOr("error", "");
    }

    public void delete(List<String> hosts, DeleteCallback callback) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("hosts", new ArrayList<Object>(hosts));
        request(Call.DELETE, "POST", "/machines/delete", Cbor.encode(map), (status, body) -> callback.deleted(status == 200));
    }

    private void request(Call call, String method, String path, byte[] body, HttpTransport.Callback callback) {
        waiting.get(call).addLast(() -> transport.request(address, method, path, body, TIMEOUT_MICROS, callback));
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
                    loop.schedule(wait, () -> {
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
