package org.woadloom.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadloom.core.SchedulerAction.SendDirectCommand;
import org.woadloom.core.SchedulerEvent.DirectCommandCompleted;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.protocol.TaskCommand;

/**
 * Sends direct commands to agents. Commands to agents that did not answer the last one take half of
 * the connections at most, and go after the others: where many machines hang at once, each of them
 * holds a connection until the timeout. Nothing is retried here; the scheduler decides that.
 */
public final class AgentClient {
    private static final long TIMEOUT_MICROS = 2_000_000;

    /** Twice the largest cluster, in machines. */
    private static final int MAX_SILENT_ADDRESSES = 10_000;

    private static final int STATUS_OK = 200;

    /** The agent refuses a command, and answers with its own state. */
    private static final int STATUS_CONFLICT = 409;

    private static final String COMMANDS_PATH = "/do";
    private static final String FENCING_TOKEN_FIELD = "epoch";
    private static final String INCARNATION_FIELD = "tenure";
    private static final String COMMANDS_FIELD = "orders";

    private final HttpTransport transport;
    private final int maxInFlight;
    private final ArrayDeque<QueuedCommand> queue = new ArrayDeque<>();
    private final ArrayDeque<QueuedCommand> queueToSilent = new ArrayDeque<>();
    private int inFlight;
    private int silentInFlight;

    /**
     * Addresses that did not answer the last command, the longest silent first; those of machines
     * that were removed drop out in time.
     */
    private final Set<String> silentAddresses = new LinkedHashSet<>();

    private record QueuedCommand(SendDirectCommand send, Callback callback) {}

    /** Is called once with the result of a command. */
    public interface Callback {
        void onCompleted(DirectCommandCompleted result);
    }

    /**
     * @param maxInFlight how many commands may be in flight, each on a connection of its own
     */
    public AgentClient(HttpTransport transport, int maxInFlight) {
        this.transport = transport;
        this.maxInFlight = maxInFlight;
    }

    /** Sends a command, as soon as there is a connection for it. */
    public void send(SendDirectCommand send, Callback callback) {
        boolean silent = silentAddresses.contains(send.address());
        (silent ? queueToSilent : queue).addLast(new QueuedCommand(send, callback));
        sendQueued();
    }

    private void sendQueued() {
        while (inFlight < maxInFlight && !queue.isEmpty()) {
            request(queue.pollFirst(), false);
        }
        while (inFlight < maxInFlight
                && silentInFlight < Math.max(1, maxInFlight / 2)
                && !queueToSilent.isEmpty()) {
            request(queueToSilent.pollFirst(), true);
        }
    }

    private void request(QueuedCommand command, boolean wasSilent) {
        inFlight++;
        silentInFlight += wasSilent ? 1 : 0;
        SendDirectCommand send = command.send;
        transport.request(
                send.address(),
                "POST",
                COMMANDS_PATH,
                encode(send),
                TIMEOUT_MICROS,
                (status, body) -> {
                    onCompleted(send.address(), wasSilent, status);
                    command.callback.onCompleted(resultOf(send, status, body));
                });
    }

    private void onCompleted(String address, boolean wasSilent, int status) {
        inFlight--;
        silentInFlight -= wasSilent ? 1 : 0;
        if (status != HttpTransport.NO_RESPONSE) {
            silentAddresses.remove(address);
        } else if (silentAddresses.add(address) && silentAddresses.size() > MAX_SILENT_ADDRESSES) {
            silentAddresses.remove(silentAddresses.iterator().next());
        }
        sendQueued();
    }

    /**
     * An address may have passed to another machine: without a heartbeat of the right one nothing
     * is known of the command.
     */
    private static DirectCommandCompleted resultOf(
            SendDirectCommand send, int status, byte[] body) {
        if (status != STATUS_OK && status != STATUS_CONFLICT) {
            return result(send, status, null);
        }
        try {
            Heartbeat heartbeat = Heartbeat.read(body);
            if (heartbeat.host().equals(send.host())) {
                return result(send, status, heartbeat);
            }
        } catch (MalformedMessageException e) {
            // As if the answer had not come.
        }
        return result(send, HttpTransport.NO_RESPONSE, null);
    }

    private static DirectCommandCompleted result(
            SendDirectCommand send, int status, Heartbeat heartbeat) {
        return new DirectCommandCompleted(send.commandId(), send.host(), status, heartbeat);
    }

    private static byte[] encode(SendDirectCommand send) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(FENCING_TOKEN_FIELD, send.fencingToken());
        map.put(INCARNATION_FIELD, send.incarnation());
        map.put(COMMANDS_FIELD, encodeCommands(send.commands()));
        return Cbor.encode(map);
    }

    /** The commands as the protocol has them, in a body of their own or in a heartbeat's answer. */
    public static List<Object> encodeCommands(List<TaskCommand> commands) {
        List<Object> list = new ArrayList<>(commands.size());
        for (TaskCommand command : commands) {
            list.add(command.toMap());
        }
        return list;
    }
}
