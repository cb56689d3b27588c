package org.woadloom.http;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.ErrorText;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.KnownFields;
import org.woadloom.protocol.MalformedMessageException;

/** Logs and counts the requests that are answered with status 400, with the reason. */
final class MalformedRequests {
    private static final Logger LOG = LoggerFactory.getLogger(MalformedRequests.class);
    private static final KnownFields SENDER_FIELDS =
            KnownFields.of(JobDescription.Field.JOB_ID, Heartbeat.Field.HOST);
    private static final KnownFields ERROR_FIELDS = KnownFields.of(Response.ERROR_FIELD);

    /** The field that is counted for a body that is malformed as a whole. */
    private static final String WHOLE_BODY = "body";

    private final NodeMetrics metrics;

    MalformedRequests(NodeMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * @param request kind of request, as named in the metrics
     */
    void onAnswered(String request, byte[] body, Response response) {
        String error = textOf(response.body(), ERROR_FIELDS, Response.ERROR_FIELD);
        metrics.recordMalformedRequest(request, fieldOf(error));
        LOG.info(
                "event=request_malformed request={} job={} host={} bytes={} error=\"{}\"",
                request,
                textOf(body, SENDER_FIELDS, JobDescription.Field.JOB_ID),
                textOf(body, SENDER_FIELDS, Heartbeat.Field.HOST),
                body.length,
                error);
    }

    /** Error texts begin with the name of the field, if one field is the reason. */
    private static String fieldOf(String error) {
        int nameEnd = error.indexOf(": ");
        boolean hasName = nameEnd > 0 && error.indexOf(' ') > nameEnd;
        return hasName ? error.substring(0, nameEnd) : WHOLE_BODY;
    }

    /** Returns a text field in printable form, or a dash if it can't be read. */
    private static String textOf(byte[] body, KnownFields known, String field) {
        try {
            String text = new Fields(Cbor.decodeMap(body, known)).text(field);
            return ErrorText.printable(text);
        } catch (MalformedMessageException e) {
            return "-";
        }
    }
}
