package org.woadloom.node;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.agent.AgentClient;
import org.woadloom.core.SchedulerAction;
import org.woadloom.http.Response;

/** The answers to an agent's heartbeat, as they go over HTTP. */
final class HeartbeatResponses {
    private static final int OK = 200;

    /** The agent has to turn to another node. */
    private static final int MISDIRECTED_REQUEST = 421;

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String FENCING_TOKEN = "epoch";
    private static final String COMMANDS = "orders";
    private static final String REDIRECT_TARGET = "overseer";

    private HeartbeatResponses() {}

    /** The scheduler's decision: the lease is renewed under its token. */
    static Response decided(SchedulerAction.AnswerHeartbeat answer) {
        return renewed(answer.fencingToken(), AgentClient.encodeCommands(answer.commands()));
    }

    /** The lease is renewed under the agent's own token, and nothing is to be done. */
    static Response renewed(long fencingToken) {
        return renewed(fencingToken, List.of());
    }

    private static Response renewed(long fencingToken, List<Object> commands) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put(FENCING_TOKEN, fencingToken);
        body.put(COMMANDS, commands);
        return Response.of(OK, body);
    }

    /** This node can't have the heartbeat decided; the agent tries the others. */
    static Response wrongNode() {
        return Response.of(MISDIRECTED_REQUEST, Map.of());
    }

    /** The agent is to send its heartbeats to this node. */
    static Response redirect(String target) {
        return Response.of(MISDIRECTED_REQUEST, Map.of(REDIRECT_TARGET, target));
    }

    /** True for a response that does not renew the lease, as nobody who may was reached. */
    static boolean isUndecided(Response response) {
        return response.status() == MISDIRECTED_REQUEST || response.status() == SERVICE_UNAVAILABLE;
    }
}
