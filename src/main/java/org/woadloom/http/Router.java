package org.woadloom.http;

import java.util.function.Consumer;
import org.woadloom.metrics.NodeMetrics;

/** Finds what answers a request, whatever carries it. */
public final class Router {
    static final String REPORT = "/v1/report";
    private static final String JOBS = "/v1/jobs";
    private static final String CANCEL = "/cancel";

    /** Answers the reports of workers. */
    public interface ReportApi {
        void onHeartbeat(byte[] body, Consumer<Response> answer);
    }

    /** Whether the node takes requests. */
    public interface Gate {
        /** Why nothing is to be taken by this process, or null. */
        String closedReason();

        /** Why users' requests can't be answered yet, or null. */
        String notReadyReason();

        /** Somebody who is neither a worker nor another node has reached this one. */
        void onOutsideRequest();

        /** False while others can serve users and this node can't. */
        boolean isHealthy();
    }

    private final Gate gate;
    private final JobApi jobs;
    private final ReportApi reports;
    private final NodeMetrics metrics;

    public Router(Gate gate, JobApi jobs, ReportApi reports, NodeMetrics metrics) {
        this.gate = gate;
        this.jobs = jobs;
        this.reports = reports;
        this.metrics = metrics;
    }

    public void handle(String method, String path, byte[] body, Consumer<Response> answer) {
        boolean post = method.equals("POST");
        boolean get = method.equals("GET");
        if (!path.equals(REPORT)) {
            gate.onOutsideRequest();
        }
        String closed = gate.closedReason();
        if (closed != null && !path.equals("/metrics")) {
            answer.accept(Response.unavailable(closed));
        } else if (gate.notReadyReason() != null && path.startsWith(JOBS)) {
            answer.accept(Response.unavailable(gate.notReadyReason()));
        } else if (post && path.equals(REPORT)) {
            reports.onHeartbeat(body, counted("report", answer));
        } else if (get && path.equals("/healthz")) {
            answer.accept(
                    gate.isHealthy()
                            ? Response.text("ok\n")
                            : Response.unavailable("alone without the state service"));
        } else if (post && path.equals(JOBS)) {
            jobs.submit(body, counted("submit", answer));
        } else if (get && path.startsWith(JOBS + "/")) {
            jobs.status(path.substring(JOBS.length() + 1), counted("show", answer));
        } else if (post && path.startsWith(JOBS + "/") && path.endsWith(CANCEL)) {
            jobs.cancel(
                    path.substring(JOBS.length() + 1, path.length() - CANCEL.length()),
                    counted("cancel", answer));
        } else if (get && path.equals("/metrics")) {
            answer.accept(Response.json(metrics.toMap()));
        } else {
            answer.accept(Response.error(404, "no such path"));
        }
    }

    private Consumer<Response> counted(String what, Consumer<Response> answer) {
        return response -> {
            metrics.answered(what, response.status());
            answer.accept(response);
        };
    }
}
