package org.woadloom.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.protocol.TaskCommand;

/**
 * Direct commands to workers. Those to workers that did not answer the last one take half of the
 * connections at most, and go after the others: where many machines hang at once, each of them
 * holds a connection for as long as an answer is waited for.
 */
public final class AgentClient {
    private static final long TIMEOUT_MICROS = 2_000_000;

    /** Twice the largest fleet. */
    private static final int MOST_REMEMBERED = 10_000;

    private final HttpTransport transport;
    private final int mostInFlight;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private final ArrayDeque<Waiting> toSilent = new ArrayDeque<>();
    private int inFlight;
    private int silentInFlight;

    /**
     * Addresses that gave no answer to the last command, the longest silent first; what is gone
     * drops out in time.
     */
    private final Set<String> silent = new LinkedHashSet<>();

    private record Waiting(SchedulerAction.SendDirectCommand send, Callback callback) {}

    public interface Callback {
        void result(SchedulerEvent.DirectCommandCompleted result);
    }

    /**
     * @param mostInFlight how many commands may be under way, each of them on a connection of its
     *     own
     */
    public AgentClient(HttpTransport transport, int mostInFlight) {
        this.transport = transport;
        this.mostInFlight = mostInFlight;
    }

    public void send(SchedulerAction.SendDirectCommand send, Callback callback) {
        (silent.contains(send.address()) ? toSilent : waiting).addLast(new Waiting(send, callback));
        pump();
    }

    private void pump() {
        while (inFlight < mostInFlight && !waiting.isEmpty()) {
            begin(waiting.pollFirst(), false);
        }
        while (inFlight < mostInFlight
                && silentInFlight < Math.max(1, mostInFlight / 2)
                && !toSilent.isEmpty()) {
            begin(toSilent.pollFirst(), true);
        }
    }

    private void begin(Waiting next, boolean wasSilent) {
        inFlight++;
        silentInFlight += wasSilent ? 1 : 0;
        request(next.send, wasSilent, next.callback);
    }

    private void ended(SchedulerAction.SendDirectCommand send, boolean wasSilent, int status) {
        inFlight--;
        silentInFlight -= wasSilent ? 1 : 0;
        if (status != HttpTransport.NO_RESPONSE) {
            silent.remove(send.address());
        } else if (silent.add(send.address()) && silent.size() > MOST_REMEMBERED) {
            silent.remove(silent.iterator().next());
        }
        pump();
    }

    private void request(
            SchedulerAction.SendDirectCommand send, boolean wasSilent, Callback callback) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("epoch", send.fencingToken());
        map.put("tenure", send.incarnation());
        map.put("orders", orders(send.commands()));
        transport.request(
                send.address(),
                "POST",
                "/do",
                Cbor.encode(map),
                TIMEOUT_MICROS,
                (status, body) -> {
                    ended(send, wasSilent, status);
                    Heartbeat heartbeat = null;
                    if (status == 200 || status == 409) {
                        try {
                            heartbeat = Heartbeat.read(body);
                        } catch (MalformedMessageException e) {
                            // An address may have passed to another machine; without its report
                            // nothing is known.
                            callback.result(
                                    new SchedulerEvent.DirectCommandCompleted(
                                            send.commandId(),
                                            send.host(),
                                            HttpTransport.NO_RESPONSE,
                                            null));
                            return;
                        }
                        if (!heartbeat.host().equals(send.host())) {
                            callback.result(
                                    new SchedulerEvent.DirectCommandCompleted(
                                            send.commandId(),
                                            send.host(),
                                            HttpTransport.NO_RESPONSE,
                                            null));
                            return;
                        }
                    }
                    callback.result(
                            new SchedulerEvent.DirectCommandCompleted(
                                    send.commandId(), send.host(), status, heartbeat));
                });
    }

    public static List<Object> orders(List<TaskCommand> commands) {
        List<Object> list = new ArrayList<>(commands.size());
        for (TaskCommand command : commands) {
            list.add(command.toMap());
        }
        return list;
    }
}
