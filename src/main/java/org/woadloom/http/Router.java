package org.woadloom.http;

import java.util.function.Consumer;
import org.woadloom.metrics.NodeMetrics;

/** Routes requests by method and path, independently of the HTTP server. */
public final class Router {
    static final String HEARTBEAT_PATH = "/v1/report";
    private static final String JOBS_PATH = "/v1/jobs";
    private static final String JOB_PATH_PREFIX = JOBS_PATH + "/";
    private static final String CANCEL_SUFFIX = "/cancel";
    private static final String HEALTH_PATH = "/healthz";
    private static final String METRICS_PATH = "/metrics";

    private static final Response BODY_TOO_LARGE =
            Response.error(HttpStatus.BAD_REQUEST, "the request body is larger than 64 KiB");

    /** Answers agents' heartbeats. */
    public interface HeartbeatHandler {
        void onHeartbeat(byte[] body, Consumer<Response> answer);
    }

    /** Tells whether the node serves requests. */
    public interface Gate {
        /**
         * Returns why this process refuses all requests except for metrics, or null if it accepts
         * them.
         */
        String closedReason();

        /** Returns why users' requests can't be answered yet, or null if they can. */
        String notReadyReason();

        /**
         * Called for every request that is not a heartbeat, such as a user's or a load balancer's
         * probe.
         */
        void onOutsideRequest();

        /** Returns false while this node can't serve users but another node can. */
        boolean isHealthy();
    }

    private final Gate gate;
    private final JobApi jobs;
    private final HeartbeatHandler heartbeats;
    private final NodeMetrics metrics;
    private final MalformedRequests malformed;

    public Router(Gate gate, JobApi jobs, HeartbeatHandler heartbeats, NodeMetrics metrics) {
        this.gate = gate;
        this.jobs = jobs;
        this.heartbeats = heartbeats;
        this.metrics = metrics;
        malformed = new MalformedRequests(metrics);
    }

    public void handle(String method, String path, byte[] body, Consumer<Response> answer) {
        if (RequestSizeLimit.isExceededBy(body)) {
            String request = path.equals(HEARTBEAT_PATH) ? "report" : "submit";
            withMetrics(request, body, answer).accept(BODY_TOO_LARGE);
            return;
        }
        boolean post = method.equals("POST");
        boolean get = method.equals("GET");
        if (!path.equals(HEARTBEAT_PATH)) {
            gate.onOutsideRequest();
        }
        String closedReason = gate.closedReason();
        if (closedReason != null && !path.equals(METRICS_PATH)) {
            answer.accept(Response.unavailable(closedReason));
        } else if (gate.notReadyReason() != null && path.startsWith(JOBS_PATH)) {
            answer.accept(Response.unavailable(gate.notReadyReason()));
        } else if (post && path.equals(HEARTBEAT_PATH)) {
            heartbeats.onHeartbeat(body, withMetrics("report", body, answer));
        } else if (get && path.equals(HEALTH_PATH)) {
            answer.accept(
                    gate.isHealthy()
                            ? Response.text("ok\n")
                            : Response.unavailable("this node is cut off from the state service"));
        } else if (post && path.equals(JOBS_PATH)) {
            jobs.submit(body, withMetrics("submit", body, answer));
        } else if (get && path.startsWith(JOB_PATH_PREFIX)) {
            jobs.status(
                    path.substring(JOB_PATH_PREFIX.length()), withMetrics("show", body, answer));
        } else if (post && path.startsWith(JOB_PATH_PREFIX) && path.endsWith(CANCEL_SUFFIX)) {
            jobs.cancel(
                    path.substring(
                            JOB_PATH_PREFIX.length(), path.length() - CANCEL_SUFFIX.length()),
                    withMetrics("cancel", body, answer));
        } else if (get && path.equals(METRICS_PATH)) {
            answer.accept(Response.json(metrics.toMap()));
        } else {
            answer.accept(Response.error(HttpStatus.NOT_FOUND, "no such path"));
        }
    }

    private Consumer<Response> withMetrics(String request, byte[] body, Consumer<Response> answer) {
        return response -> {
            metrics.recordResponse(request, response.status());
            if (response.status() == HttpStatus.BAD_REQUEST) {
                malformed.onAnswered(request, body, response);
            }
            answer.accept(response);
        };
    }
}
