package org.woadloom.node;

import java.util.function.Consumer;
import org.woadloom.http.Response;

/**
 * A heartbeat whose agent waits for an answer.
 *
 * @param body the encoded heartbeat as sent by the agent
 * @param answer receives the answer, once
 * @param deadlineMicros the loop time after which an answer is useless
 */
record PendingHeartbeat(byte[] body, Consumer<Response> answer, long deadlineMicros) {}
