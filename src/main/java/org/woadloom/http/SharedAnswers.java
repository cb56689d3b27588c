package org.woadloom.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Requests for the same thing that come while the first is under way cost the store no second
 * write. What the first one's answer rests on may be older than they are, so each decides by itself
 * what the answer means to it.
 */
final class SharedAnswers<K> {
    private final Map<K, Work> underWay = new HashMap<>();

    private record Work(long untilMicros, List<Consumer<Response>> answers) {}

    /**
     * Does the work, unless it is under way for this key; either way one of the two hears the
     * answer, once.
     *
     * @param first hears the answer to the work that it begins
     * @param joined hears the answer to work that had begun before
     * @param untilMicros nobody joins the work any more after this moment, when it should have been
     *     answered
     */
    void share(
            K key,
            long nowMicros,
            long untilMicros,
            Consumer<Response> first,
            Consumer<Response> joined,
            Consumer<Consumer<Response>> work) {
        Work before = underWay.get(key);
        if (before != null && nowMicros < before.untilMicros) {
            before.answers.add(joined);
            return;
        }
        Work begun = new Work(untilMicros, new ArrayList<>(List.of(first)));
        underWay.put(key, begun);
        work.accept(
                response -> {
                    if (underWay.get(key) == begun) {
                        underWay.remove(key);
                    }
                    begun.answers.forEach(one -> one.accept(response));
                });
    }
}
