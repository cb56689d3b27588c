package org.woadloom.worker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.Command;
import org.woadloom.core.Effect;
import org.woadloom.net.HttpTransport;
import org.woadloom.wire.Cbor;
import org.woadloom.wire.Order;
import org.woadloom.wire.WireException;
import org.woadloom.wire.WorkerReport;

/** Direct commands to workers. */
public final class WorkerClient {
    private static final long TIMEOUT_MICROS = 2_000_000;

    private final HttpTransport transport;
    private final int mostInFlight;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private int inFlight;

    public interface Callback {
        void result(Command.DirectResult result);
    }

    /** @param mostInFlight how many commands may be under way, each of them on a connection of its own */
    public WorkerClient(HttpTransport transport, int mostInFlight) {
        this.transport = transport;
        this.mostInFlight = mostInFlight;
    }

    public void send(Effect.SendDirect send, Callback callback) {
        waiting.addLast(() -> request(send, callback));
        pump();
    }

    private void pump() {
        while (inFlight < mostInFlight && !waiting.isEmpty()) {
            inFlight++;
            waiting.pollFirst().run();
        }
    }

    private void request(Effect.SendDirect send, Callback callback) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("epoch", send.epoch());
        map.put("tenure", send.tenure());
        map.put("orders", orders(send.orders()));
        transport.request(send.addr(), "POST", "/do", Cbor.encode(map), TIMEOUT_MICROS, (status, body) -> {
            inFlight--;
            pump();
            WorkerReport report = null;
            if (status == 200 || status == 409) {
                try {
                    report = WorkerReport.read(body);
                } catch (WireException e) {
                    // An address may have passed to another machine; without its report nothing is known.
                    callback.result(new Command.DirectResult(send.sendId(), send.host(), HttpTransport.NO_RESPONSE,
                            null));
                    return;
                }
                if (!report.host().equals(send.host())) {
                    callback.result(new Command.DirectResult(send.sendId(), send.host(), HttpTransport.NO_RESPONSE,
                            null));
                    return;
                }
            }
            callback.result(new Command.DirectResult(send.sendId(), send.host(), status, report));
        });
    }

    public static List<Object> orders(List<Order> orders) {
        List<Object> list = new ArrayList<>(orders.size());
        for (Order order : orders) {
            list.add(order.toMap());
        }
        return list;
    }
}
