package org.woadloom.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Coalesces equal requests (single flight): requests that arrive while an equal one is in flight
 * share its answer and cost the store no second write. The shared answer may rest on data read
 * before a joining request arrived, so each joining caller decides for itself whether the answer is
 * still valid.
 *
 * @param <K> the key; requests with equal keys are coalesced
 * @param <A> the answer
 */
final class RequestCoalescer<K, A> {
    private final Map<K, InFlight<A>> inFlight = new HashMap<>();

    private record InFlight<A>(long deadlineMicros, List<Consumer<A>> waiting) {}

    /**
     * Starts the request unless one with this key is in flight. Exactly one of {@code first} and
     * {@code joined} is called with the answer, once.
     *
     * @param deadlineMicros when the request should be answered; later requests don't join it
     * @param first receives the answer if this call starts the request
     * @param joined receives the answer if this call joins an earlier request
     */
    void coalesce(
            K key,
            long nowMicros,
            long deadlineMicros,
            Consumer<A> first,
            Consumer<A> joined,
            Consumer<Consumer<A>> request) {
        InFlight<A> earlier = inFlight.get(key);
        if (earlier != null && nowMicros < earlier.deadlineMicros) {
            earlier.waiting.add(joined);
            return;
        }
        InFlight<A> started = new InFlight<>(deadlineMicros, new ArrayList<>(List.of(first)));
        inFlight.put(key, started);
        request.accept(
                answer -> {
                    // Compares identity, as a later request may be equal.
                    @SuppressWarnings("ReferenceEquality")
                    boolean current = inFlight.get(key) == started;
                    if (current) {
                        inFlight.remove(key);
                    }
                    started.waiting.forEach(waiting -> waiting.accept(answer));
                });
    }
}
