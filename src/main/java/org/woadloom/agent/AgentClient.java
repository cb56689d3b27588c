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
 * Sends commands directly to agents, outside the answers to their heartbeats. Commands to agents
 * that did not answer the previous one are sent after all others and use at most half of the
 * connections: when many machines hang at once, each holds its connection until the timeout. Failed
 * commands are not retried here; that is up to the scheduler.
 */
public final class AgentClient {
    private static final long TIMEOUT_MICROS = 2_000_000;

    /** Twice the largest cluster, in machines. */
    private static final int MAX_UNRESPONSIVE_ADDRESSES = 10_000;

    private static final int STATUS_OK = 200;

    /** The agent refused the command; the body is its current heartbeat. */
    private static final int STATUS_CONFLICT = 409;

    private static final String COMMANDS_PATH = "/do";
    private static final String FENCING_TOKEN_FIELD = "epoch";
    private static final String INCARNATION_FIELD = "tenure";
    private static final String COMMANDS_FIELD = "orders";

    private final HttpTransport transport;
    private final int maxInFlight;
    private final ArrayDeque<QueuedCommand> queue = new ArrayDeque<>();
    private final ArrayDeque<QueuedCommand> unresponsiveQueue = new ArrayDeque<>();
    private int inFlight;
    private int unresponsiveInFlight;

    /**
     * The addresses that did not answer the last command, the longest unresponsive first. The size
     * limit evicts those of machines that no longer exist.
     */
    private final Set<String> unresponsiveAddresses = new LinkedHashSet<>();

    private record QueuedCommand(SendDirectCommand send, Callback callback) {}

    /** Is called exactly once with the result of a command. */
    public interface Callback {
        void onCompleted(DirectCommandCompleted result);
    }

    /**
     * @param maxInFlight the maximum number of commands in flight, each of which needs a connection
     */
    public AgentClient(HttpTransport transport, int maxInFlight) {
        this.transport = transport;
        this.maxInFlight = maxInFlight;
    }

    /** Sends a command as soon as a connection is available. */
    public void send(SendDirectCommand send, Callback callback) {
        boolean unresponsive = unresponsiveAddresses.contains(send.address());
        (unresponsive ? unresponsiveQueue : queue).addLast(new QueuedCommand(send, callback));
        sendQueued();
    }

    private void sendQueued() {
        while (inFlight < maxInFlight && !queue.isEmpty()) {
            request(queue.pollFirst(), false);
        }
        while (inFlight < maxInFlight
                && unresponsiveInFlight < Math.max(1, maxInFlight / 2)
                && !unresponsiveQueue.isEmpty()) {
            request(unresponsiveQueue.pollFirst(), true);
        }
    }

    private void request(QueuedCommand command, boolean wasUnresponsive) {
        inFlight++;
        unresponsiveInFlight += wasUnresponsive ? 1 : 0;
        SendDirectCommand send = command.send;
        transport.request(
                send.address(),
                "POST",
                COMMANDS_PATH,
                encode(send),
                TIMEOUT_MICROS,
                (status, body) -> {
                    onCompleted(send.address(), wasUnresponsive, status);
                    command.callback.onCompleted(resultOf(send, status, body));
                });
    }

    private void onCompleted(String address, boolean wasUnresponsive, int status) {
        inFlight--;
        unresponsiveInFlight -= wasUnresponsive ? 1 : 0;
        if (status != HttpTransport.NO_RESPONSE) {
            unresponsiveAddresses.remove(address);
        } else if (unresponsiveAddresses.add(address)
                && unresponsiveAddresses.size() > MAX_UNRESPONSIVE_ADDRESSES) {
            unresponsiveAddresses.remove(unresponsiveAddresses.iterator().next());
        }
        sendQueued();
    }

    /**
     * The address may meanwhile belong to another machine, so an answer counts only if it is a
     * heartbeat of the machine that the command was for.
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
            // Handled like a missing response.
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

    /**
     * Encodes commands in the form that both a direct command and the answer to a heartbeat use.
     */
    public static List<Object> encodeCommands(List<TaskCommand> commands) {
        List<Object> list = new ArrayList<>(commands.size());
        for (TaskCommand command : commands) {
            list.add(command.toMap());
        }
        return list;
    }
}
