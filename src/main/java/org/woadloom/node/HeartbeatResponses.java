package org.woadloom.node;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.agent.AgentClient;
import org.woadloom.core.SchedulerAction;
import org.woadloom.http.Response;

/** Builds the HTTP responses to an agent's heartbeat. */
final class HeartbeatResponses {
    private static final int OK = 200;

    /** Tells the agent to send its heartbeat to another node. */
    private static final int MISDIRECTED_REQUEST = 421;

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String FENCING_TOKEN = "epoch";
    private static final String COMMANDS = "orders";
    private static final String REDIRECT_TARGET = "overseer";

    private HeartbeatResponses() {}

    /**
     * Renews the agent's lease under the fencing token that the scheduler chose, and passes on the
     * scheduler's commands.
     */
    static Response decided(SchedulerAction.AnswerHeartbeat answer) {
        return renewed(answer.fencingToken(), AgentClient.encodeCommands(answer.commands()));
    }

    /** Renews the lease under the agent's own token, without commands. */
    static Response renewed(long fencingToken) {
        return renewed(fencingToken, List.of());
    }

    private static Response renewed(long fencingToken, List<Object> commands) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put(FENCING_TOKEN, fencingToken);
        body.put(COMMANDS, commands);
        return Response.of(OK, body);
    }

    /** This node can't get a decision on the heartbeat; the agent tries other nodes. */
    static Response wrongNode() {
        return Response.of(MISDIRECTED_REQUEST, Map.of());
    }

    /** Tells the agent to send its heartbeats to the target node. */
    static Response redirect(String target) {
        return Response.of(MISDIRECTED_REQUEST, Map.of(REDIRECT_TARGET, target));
    }

    /**
     * True for a response that does not renew the lease because no node that may do so was reached.
     */
    static boolean isUndecided(Response response) {
        return response.status() == MISDIRECTED_REQUEST || response.status() == SERVICE_UNAVAILABLE;
    }
}
