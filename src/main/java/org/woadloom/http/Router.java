package org.woadloom.http;

import java.util.function.Consumer;
import org.woadloom.metrics.NodeMetrics;

/** Routes requests by method and path, apart from how they are carried. */
public final class Router {
    static final String HEARTBEATS = "/v1/report";
    private static final String JOBS = "/v1/jobs";
    private static final String JOB_PREFIX = JOBS + "/";
    private static final String CANCEL_SUFFIX = "/cancel";
    private static final String HEALTH = "/healthz";
    private static final String METRICS = "/metrics";

    /** Answers the heartbeats of agents. */
    public interface HeartbeatHandler {
        void onHeartbeat(byte[] body, Consumer<Response> answer);
    }

    /** Whether the node accepts requests. */
    public interface Gate {
        /** Why this process accepts no request at all, or null. */
        String closedReason();

        /** Why users' requests can't be answered yet, or null. */
        String notReadyReason();

        /** A request that is neither an agent's nor another node's has reached this node. */
        void onOutsideRequest();

        /** False while others can serve users and this node can't. */
        boolean isHealthy();
    }

    private final Gate gate;
    private final JobApi jobs;
    private final HeartbeatHandler heartbeats;
    private final NodeMetrics metrics;

    public Router(Gate gate, JobApi jobs, HeartbeatHandler heartbeats, NodeMetrics metrics) {
        this.gate = gate;
        this.jobs = jobs;
        this.heartbeats = heartbeats;
        this.metrics = metrics;
    }

    public void handle(String method, String path, byte[] body, Consumer<Response> answer) {
        boolean post = method.equals("POST");
        boolean get = method.equals("GET");
        if (!path.equals(HEARTBEATS)) {
            gate.onOutsideRequest();
        }
        String closed = gate.closedReason();
        if (closed != null && !path.equals(METRICS)) {
            answer.accept(Response.unavailable(closed));
        } else if (gate.notReadyReason() != null && path.startsWith(JOBS)) {
            answer.accept(Response.unavailable(gate.notReadyReason()));
        } else if (post && path.equals(HEARTBEATS)) {
            heartbeats.onHeartbeat(body, counted("report", answer));
        } else if (get && path.equals(HEALTH)) {
            answer.accept(
                    gate.isHealthy()
                            ? Response.text("ok\n")
                            : Response.unavailable("alone without the state service"));
        } else if (post && path.equals(JOBS)) {
            jobs.submit(body, counted("submit", answer));
        } else if (get && path.startsWith(JOB_PREFIX)) {
            jobs.status(path.substring(JOB_PREFIX.length()), counted("show", answer));
        } else if (post && path.startsWith(JOB_PREFIX) && path.endsWith(CANCEL_SUFFIX)) {
            jobs.cancel(
                    path.substring(JOB_PREFIX.length(), path.length() - CANCEL_SUFFIX.length()),
                    counted("cancel", answer));
        } else if (get && path.equals(METRICS)) {
            answer.accept(Response.json(metrics.toMap()));
        } else {
            answer.accept(Response.error(HttpStatus.NOT_FOUND, "no such path"));
        }
    }

    private Consumer<Response> counted(String request, Consumer<Response> answer) {
        return response -> {
            metrics.recordResponse(request, response.status());
            answer.accept(response);
        };
    }
}
