package org.woadloom.node;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.woadloom.net.EventLoop;

/**
 * Heartbeats that arrived while there was no leader. They are routed once there is one; an agent
 * whose heartbeat waits in vain is sent to another node in time.
 */
final class DeferredHeartbeats {
    /** Less than the four seconds for which an agent waits for an answer. */
    static final long WAIT_MICROS = 3_000_000;

    private final EventLoop loop;
    private final int maxWaiting;
    private final Consumer<PendingHeartbeat> route;
    private long refused;
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

    /** Keeps a heartbeat, or sends its agent elsewhere at once where too many wait. */
    void defer(PendingHeartbeat heartbeat) {
        long remainingMicros = heartbeat.untilMicros() - loop.nowMicros();
        boolean isFull = waiting.size() >= maxWaiting;
        if (isFull) {
            refused++;
        }
        if (remainingMicros <= 0 || isFull) {
            sendElsewhere(heartbeat);
            return;
        }
        Entry entry = new Entry(heartbeat);
        waiting.add(entry);
        loop.schedule(
                remainingMicros,
                () -> {
                    if (waiting.remove(entry)) {
                        sendElsewhere(heartbeat);
                    }
                });
    }

    private static void sendElsewhere(PendingHeartbeat heartbeat) {
        heartbeat.answer().accept(HeartbeatResponses.wrongNode());
    }

    /** Heartbeats that were sent back because too many waited, since the process started. */
    long refused() {
        return refused;
    }

    /** Routes all that wait. */
    void releaseAll() {
        List<Entry> released = new ArrayList<>(waiting);
        waiting.clear();
        released.forEach(entry -> route.accept(entry.heartbeat));
    }
}
