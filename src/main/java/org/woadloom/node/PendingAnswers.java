package org.woadloom.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.protocol.Heartbeat;

/** Heartbeats that the scheduler has not answered yet, by request id. */
final class PendingAnswers {
    /** Receives the scheduler's answer to one heartbeat; exactly one method is called, once. */
    interface Callback {
        void onAnswer(SchedulerAction.AnswerHeartbeat answer);

        /** The heartbeat was not accepted; its agent has to send it to another node. */
        void onRejected();
    }

    private final EventQueue queue;
    private final Map<Long, Callback> callbacks = new HashMap<>();
    private long lastRequestId;

    PendingAnswers(EventQueue queue) {
        this.queue = queue;
    }

    /** Passes a heartbeat to the scheduler, or rejects it at once if too many are queued. */
    void submit(Heartbeat heartbeat, Callback callback) {
        long requestId = ++lastRequestId;
        callbacks.put(requestId, callback);
        if (!queue.offer(new SchedulerEvent.HeartbeatReceived(requestId, heartbeat))) {
            reject(requestId);
        }
    }

    void answer(SchedulerAction.AnswerHeartbeat answer) {
        Callback callback = callbacks.remove(answer.requestId());
        if (callback != null) {
            callback.onAnswer(answer);
        }
    }

    void reject(long requestId) {
        Callback callback = callbacks.remove(requestId);
        if (callback != null) {
            callback.onRejected();
        }
    }

    /** Rejects all heartbeats, so that the agents try another node at once instead of waiting. */
    void rejectAll() {
        List<Callback> unanswered = new ArrayList<>(callbacks.values());
        callbacks.clear();
        unanswered.forEach(Callback::onRejected);
    }
}
