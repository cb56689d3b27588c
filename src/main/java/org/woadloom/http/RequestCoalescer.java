package org.woadloom.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Coalesces equal requests (single flight): those that come while the first is under way cost the
 * store no second write. What the first one's answer rests on may be older than they are, so each
 * decides by itself what the answer means to it.
 *
 * @param <K> what makes requests equal
 * @param <A> the answer
 */
final class RequestCoalescer<K, A> {
    private final Map<K, InFlight<A>> inFlight = new HashMap<>();

    private record InFlight<A>(long deadlineMicros, List<Consumer<A>> waiting) {}

    /**
     * Starts the request, unless one with this key is in flight; either way exactly one of {@code
     * first} and {@code joined} gets the answer, once.
     *
     * @param deadlineMicros when the request should have been answered: nobody joins it after that
     * @param first gets the answer to the request that this call starts
     * @param joined gets the answer to a request that was started before
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
                    @SuppressWarnings("ReferenceEquality") // A later request may be equal.
                    boolean current = inFlight.get(key) == started;
                    if (current) {
                        inFlight.remove(key);
                    }
                    started.waiting.forEach(waiting -> waiting.accept(answer));
                });
    }
}
