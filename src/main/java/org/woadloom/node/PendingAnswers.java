package org.woadloom.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.protocol.Heartbeat;

/** Heartbeats that the scheduler has yet to answer, by the number of their request. */
final class PendingAnswers {
    /** Takes the scheduler's answer to one heartbeat; exactly one method is called, once. */
    interface Callback {
        void onAnswer(SchedulerAction.AnswerHeartbeat answer);

        /** The scheduler does not take the heartbeat: the agent has to send it to another node. */
        void onRejected();
    }

    private final EventQueue queue;
    private final Map<Long, Callback> callbacks = new HashMap<>();
    private long lastRequestId;

    PendingAnswers(EventQueue queue) {
        this.queue = queue;
    }

    /** Has the scheduler decide a heartbeat, or rejects it at once where too many wait. */
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

    /** The agents turn to another node at once instead of waiting for an answer. */
    void rejectAll() {
        List<Callback> unanswered = new ArrayList<>(callbacks.values());
        callbacks.clear();
        unanswered.forEach(Callback::onRejected);
    }
}
