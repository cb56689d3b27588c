package org.woadloom.worker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadloom.core.Command;
import org.woadloom.core.Effect;
import org.woadloom.net.HttpTransport;
import org.woadloom.wire.Cbor;
import org.woadloom.wire.Order;
import org.woadloom.wire.WireException;
import org.woadloom.wire.WorkerReport;

/**
 * Direct commands to workers. Those to workers that did not answer the last one take half of the connections at most, and go
 * after the others: where many machines hang at once, each of them holds a connection for as long as an answer is waited for.
 */
public final class WorkerClient {
    private static final long TIMEOUT_MICROS = 2_000_000;
    /** Twice the largest fleet. */
    private static final int MOST_REMEMBERED = 10_000;

    private final HttpTransport transport;
    private final int mostInFlight;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private final ArrayDeque<Waiting> toSilent = new ArrayDeque<>();
    private int inFlight;
    private int silentInFlight;
    /** Addresses that gave no answer to the last command, the longest silent first; what is gone drops out in time. */
    private final Set<String> silent = new LinkedHashSet<>();

    private record Waiting(Effect.SendDirect send, Callback callback) {
    }

    public interface Callback {
        void result(Command.DirectResult result);
    }

    /** @param mostInFlight how many commands may be under way, each of them on a connection of its own */
    public WorkerClient(HttpTransport transport, int mostInFlight) {
        this.transport = transport;
        this.mostInFlight = mostInFlight;
    }

    public void send(Effect.SendDirect send, Callback callback) {
        (silent.contains(send.addr()) ? toSilent : waiting).addLast(new Waiting(send, callback));
        pump();
    }

    private void pump() {
        while (inFlight < mostInFlight && !waiting.isEmpty()) {
            begin(waiting.pollFirst(), false);
        }
        while (inFlight < mostInFlight && silentInFlight < Math.max(1, mostInFlight / 2) && !toSilent.isEmpty()) {
            begin(toSilent.pollFirst(), true);
        }
    }

    private void begin(Waiting next, boolean wasSilent) {
        inFlight++;
        silentInFlight += wasSilent ? 1 : 0;
        request(next.send, wasSilent, next.callback);
    }

    private void ended(Effect.SendDirect send, boolean wasSilent, int status) {
        inFlight--;
        silentInFlight -= wasSilent ? 1 : 0;
        if (status != HttpTransport.NO_RESPONSE) {
            silent.remove(send.addr());
        } else if (silent.add(send.addr()) && silent.size() > MOST_REMEMBERED) {
            silent.remove(silent.iterator().next());
        }
        pump();
    }

    private void request(Effect.SendDirect send, boolean wasSilent, Callback callback) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("epoch", send.epoch());
        map.put("tenure", send.tenure());
        map.put("orders", orders(send.orders()));
        transport.request(send.addr(), "POST", "/do", Cbor.encode(map), TIMEOUT_MICROS, (status, body) -> {
            ended(send, wasSilent, status);
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
