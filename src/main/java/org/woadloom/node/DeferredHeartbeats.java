package org.woadloom.node;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.woadloom.http.Response;
import org.woadloom.net.EventLoop;

/**
 * Reports that came while there was no leader. They go on their way once there is one, or are sent
 * back in time.
 */
final class DeferredHeartbeats {
    /** Less than the four seconds for which a worker waits. */
    static final long WAIT_MICROS = 3_000_000;

    private final EventLoop loop;
    private final int maxWaiting;
    private final Consumer<PendingHeartbeat> route;
    private long refused;
    private final Set<Entry> waiting = new LinkedHashSet<>();

    /** One report, with the time until which it may wait for its answer. */
    record PendingHeartbeat(byte[] body, Consumer<Response> answer, long untilMicros) {}

    /** Told apart by identity: two reports may have the same content. */
    private static final class Entry {
        final PendingHeartbeat report;

        Entry(PendingHeartbeat report) {
            this.report = report;
        }
    }

    DeferredHeartbeats(EventLoop loop, int maxWaiting, Consumer<PendingHeartbeat> route) {
        this.loop = loop;
        this.maxWaiting = maxWaiting;
        this.route = route;
    }

    void defer(PendingHeartbeat report) {
        long left = report.untilMicros - loop.nowMicros();
        boolean full = waiting.size() >= maxWaiting;
        refused += full ? 1 : 0;
        if (left <= 0 || full) {
            report.answer.accept(Response.of(421, Map.of()));
            return;
        }
        Entry entry = new Entry(report);
        waiting.add(entry);
        loop.schedule(
                left,
                () -> {
                    if (waiting.remove(entry)) {
                        report.answer.accept(Response.of(421, Map.of()));
                    }
                });
    }

    /** Reports that were sent back because too many waited, since the process began. */
    long refused() {
        return refused;
    }

    /** Sends all on their way. */
    void releaseAll() {
        List<Entry> all = new ArrayList<>(waiting);
        waiting.clear();
        all.forEach(entry -> route.accept(entry.report));
    }
}
