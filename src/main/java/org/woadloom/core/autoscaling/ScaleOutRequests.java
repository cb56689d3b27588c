package org.woadloom.core.autoscaling;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.machines.MachineRegistry;
import org.woadloom.store.MachineRecord;

/**
 * Sends requests for machines to the cloud, at most one at a time per kind, and handles the
 * answers.
 */
final class ScaleOutRequests {
    /** The cloud's limit for one request. */
    private static final int MAX_MACHINES_PER_REQUEST = 50;

    /**
     * More concurrent requests would exceed the cloud's rate limit, whatever the size of the fleet.
     */
    private static final int MAX_CONCURRENT_REQUESTS = 4;

    /** How long after an unclear answer the same request is sent again. */
    private static final long RETRY_MICROS = 1_500_000;

    /** The cloud answers a request within this time unless it is down. */
    static final long ANSWER_TIMEOUT_MICROS = 3_000_000;

    private final SchedulerState state;
    private final MachineRegistry machines;
    private final RefusedKinds refusedKinds;
    private final Map<String, ScaleOutRequest> requests = new LinkedHashMap<>();

    ScaleOutRequests(SchedulerState state, MachineRegistry machines, RefusedKinds refusedKinds) {
        this.state = state;
        this.machines = machines;
        this.refusedKinds = refusedKinds;
    }

    Collection<ScaleOutRequest> pending() {
        return requests.values();
    }

    /** Sends again the requests whose last answer was unclear. */
    void sendDue() {
        for (ScaleOutRequest request : requests.values()) {
            if (request.isDue(state.nowMicros())) {
                state.emit(request.send());
            }
        }
    }

    /**
     * Requests the given number of machines of each kind, as far as the limits for requests allow.
     */
    void request(Map<MachineKind, Integer> countByKind) {
        for (Map.Entry<MachineKind, Integer> entry : countByKind.entrySet()) {
            if (requests.size() >= MAX_CONCURRENT_REQUESTS) {
                return;
            }
            // The answer to a pending request shows whether more machines of its kind are
            // available; requesting more before that would waste one of the few calls.
            if (find(entry.getKey()) == null) {
                request(entry.getKey(), entry.getValue());
            }
        }
    }

    private void request(MachineKind kind, int count) {
        ScaleOutRequest request =
                new ScaleOutRequest(
                        state.newRequestName(),
                        kind,
                        Math.min(MAX_MACHINES_PER_REQUEST, count),
                        state.nowMicros());
        requests.put(request.name(), request);
        state.log(
                LogEntry.info(LogEvent.SCALE_OUT_REQUESTED)
                        .with("request", request.name())
                        .with("count", request.count())
                        .with("type", kind.type().name())
                        .with("zone", kind.zone())
                        .with("spot", kind.spot()));
        state.emit(request.send());
    }

    /** True for a kind that the cloud refused recently, or does not answer a request for. */
    boolean isUnavailable(MachineKind kind) {
        if (refusedKinds.isRefused(kind)) {
            return true;
        }
        ScaleOutRequest request = find(kind);
        return request != null
                && state.nowMicros() - request.createdMicros() > ANSWER_TIMEOUT_MICROS;
    }

    private ScaleOutRequest find(MachineKind kind) {
        for (ScaleOutRequest request : requests.values()) {
            if (request.kind().equals(kind)) {
                return request;
            }
        }
        return null;
    }

    void onCompleted(SchedulerEvent.ScaleOutCompleted result) {
        ScaleOutRequest request = requests.get(result.requestName());
        if (request == null) {
            return;
        }
        switch (result.outcome()) {
            case RENTED -> {
                requests.remove(request.name());
                onRented(request, result);
            }
            case NO_CAPACITY -> {
                requests.remove(request.name());
                refusedKinds.onRefused(request.kind());
                state.log(
                        LogEntry.info(LogEvent.SCALE_OUT_REFUSED).with("request", request.name()));
            }
                // The cloud may have granted the request; it gives the repeated one the same
                // answer.
            case REFUSED, UNKNOWN -> request.retryAt(state.nowMicros() + RETRY_MICROS);
        }
    }

    private void onRented(ScaleOutRequest request, SchedulerEvent.ScaleOutCompleted result) {
        MachineKind kind = request.kind();
        for (String host : result.hosts()) {
            Machine machine =
                    machines.adopt(
                            new MachineRecord(
                                    host, kind.type().name(), kind.zone(), kind.spot(), false));
            machine.onRented(state.nowMicros());
        }
        if (result.hosts().size() < request.count()) {
            refusedKinds.onRefused(kind);
        }
        state.log(
                LogEntry.info(LogEvent.SCALE_OUT_COMPLETED)
                        .with("request", request.name())
                        .with("machines", String.join(",", result.hosts())));
    }
}
