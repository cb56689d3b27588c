package org.woadloom.node;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.woadloom.net.EventLoop;

/**
 * Holds heartbeats that arrived while there was no leader, and routes them once there is one. If
 * none is found in time, the agent is told to try another node.
 */
final class DeferredHeartbeats {
    /** Less than the four seconds for which an agent waits for an answer. */
    static final long MAX_WAIT_MICROS = 3_000_000;

    private final EventLoop loop;
    private final int maxWaiting;
    private final Consumer<PendingHeartbeat> route;
    private long refusedHeartbeats;
    private final Set<Entry> waiting = new LinkedHashSet<>();

    /** Compared by identity: two heartbeats may have the same content. */
    private static final class Entry {
        private final PendingHeartbeat heartbeat;

        Entry(PendingHeartbeat heartbeat) {
            this.heartbeat = heartbeat;
        }
    }

    DeferredHeartbeats(EventLoop loop, int maxWaiting, Consumer<PendingHeartbeat> route) {
        this.loop = loop;
        this.maxWaiting = maxWaiting;
        this.route = route;
    }

    /**
     * Holds a heartbeat, or tells its agent to try another node at once if too many are waiting.
     */
    void defer(PendingHeartbeat heartbeat) {
        long remainingMicros = heartbeat.deadlineMicros() - loop.nowMicros();
        boolean isFull = waiting.size() >= maxWaiting;
        if (isFull) {
            refusedHeartbeats++;
        }
        if (remainingMicros <= 0 || isFull) {
            answerWrongNode(heartbeat);
            return;
        }
        Entry entry = new Entry(heartbeat);
        waiting.add(entry);
        loop.schedule(
                remainingMicros,
                () -> {
                    if (waiting.remove(entry)) {
                        answerWrongNode(heartbeat);
                    }
                });
    }

    private static void answerWrongNode(PendingHeartbeat heartbeat) {
        heartbeat.answer().accept(HeartbeatResponses.wrongNode());
    }

    /** Heartbeats that were sent back because too many were waiting, since the process started. */
    long refusedHeartbeats() {
        return refusedHeartbeats;
    }

    /** Routes all waiting heartbeats. */
    void releaseAll() {
        List<Entry> released = new ArrayList<>(waiting);
        waiting.clear();
        released.forEach(entry -> route.accept(entry.heartbeat));
    }
}
