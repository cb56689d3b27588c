package org.woadloom.node;

import java.util.function.Consumer;
import org.woadloom.http.Response;

/**
 * A heartbeat whose agent waits for an answer.
 *
 * @param body the heartbeat as the agent sent it
 * @param answer takes the answer, once
 * @param untilMicros the time on the loop's clock until which the answer is of use
 */
record PendingHeartbeat(byte[] body, Consumer<Response> answer, long untilMicros) {}
