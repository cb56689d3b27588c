package org.woadloom.soak;

import java.util.Map;
import java.util.Random;
import org.woadloom.net.EventLoop;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.sim.SimulatedEventLoop;
import org.woadloom.sim.SimulatedStore;
import org.woadloom.store.FinalRecord;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreKeys;

/**
 * The simulated store on the real clock, with latency, a request rate limit and injected faults.
 * Requests carry the index of the node that sent them, so that faults can affect a single node.
 */
final class SoakStore {
    private static final int UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int MIN_LATENCY_MICROS = 1_000;
    private static final int LATENCY_SPREAD_MICROS = 5_000;
    private static final int MIN_DROPPED_DELAY_MICROS = 2_000_000;
    private static final int DROPPED_DELAY_SPREAD_MICROS = 8_000_000;
    private static final int DROPPED_PERCENT = 30;
    private static final long CLOCK_INTERVAL_MICROS = 1_000;
    private static final int NO_NODE = -1;

    private final EventLoop loop;
    private final Random random;
    private final ServiceSettings.Store limits;
    private final SimulatedEventLoop clock = new SimulatedEventLoop();
    private final SimulatedStore store;
    private final long startMicros;
    private double requestTokens;
    private long requestTokensMicros;
    private boolean dropsResponses;
    private int refusedNode = NO_NODE;

    SoakStore(EventLoop loop, Random random, ServiceSettings.Store limits) {
        this.loop = loop;
        this.random = random;
        this.limits = limits;
        store = new SimulatedStore(clock, limits).withFullPages();
        startMicros = loop.nowMicros();
    }

    void advanceClockPeriodically() {
        clock.run(loop.nowMicros() - startMicros);
        loop.schedule(CLOCK_INTERVAL_MICROS, this::advanceClockPeriodically);
    }

    /** Stores the final state of a job before the run starts. */
    void putFinalState(FinalRecord finalState) {
        store.put(StoreKeys.finalState(finalState.jobId()), finalState.toMap(RecordFormat.COMPACT));
    }

    void setOutage(boolean out) {
        store.setOutage(out);
    }

    void setDropsResponses(boolean drops) {
        dropsResponses = drops;
    }

    void refuseNode(int node) {
        refusedNode = node;
    }

    void acceptAllNodes() {
        refusedNode = NO_NODE;
    }

    void handle(
            int node,
            String method,
            String path,
            Map<String, Object> body,
            SimulatedStore.Answer answer) {
        int latency = MIN_LATENCY_MICROS + random.nextInt(LATENCY_SPREAD_MICROS);
        loop.schedule(latency, () -> handleAfterLatency(node, method, path, body, answer));
    }

    private void handleAfterLatency(
            int node,
            String method,
            String path,
            Map<String, Object> body,
            SimulatedStore.Answer answer) {
        boolean isWatch = path.startsWith("/follow?") && !path.contains("blockMs=0");
        if (node == refusedNode && !isWatch) {
            answer.answer(UNAVAILABLE, Map.of("error", "trouble"));
        } else if (!takeRequestToken()) {
            answer.answer(TOO_MANY_REQUESTS, Map.of("error", "too many requests"));
        } else if (dropsResponses && path.equals("/txn") && random.nextInt(100) < DROPPED_PERCENT) {
            dropResponse(method, path, body);
        } else {
            store.handle(method, path, body, answer);
        }
    }

    /** Sends no response; half of the requests are applied at once, the others 2 to 10 s late. */
    private void dropResponse(String method, String path, Map<String, Object> body) {
        long delay =
                random.nextBoolean()
                        ? 1
                        : MIN_DROPPED_DELAY_MICROS + random.nextInt(DROPPED_DELAY_SPREAD_MICROS);
        loop.schedule(delay, () -> store.handle(method, path, body, (status, map) -> {}));
    }

    private boolean takeRequestToken() {
        long now = loop.nowMicros();
        double refilled = (now - requestTokensMicros) * limits.rps() / 1e6;
        requestTokens = Math.min(limits.rps(), requestTokens + refilled);
        requestTokensMicros = now;
        if (requestTokens < 1) {
            return false;
        }
        requestTokens--;
        return true;
    }
}
