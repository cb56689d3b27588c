package org.woadloom.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Requests for the same thing that come while the first is under way hear the first one's answer: users who try again cost
 * the store no second write.
 */
final class SharedAnswers<K> {
    private final Map<K, Work> underWay = new HashMap<>();

    private record Work(long untilMicros, List<Consumer<Response>> answers) {
    }

    /**
     * Does the work, unless it is under way for this key; either way the answer is told once.
     *
     * @param untilMicros nobody joins the work any more after this moment, when it should have been answered
     */
    void share(K key, long nowMicros, long untilMicros, Consumer<Response> answer, Consumer<Consumer<Response>> work) {
        Work before = underWay.get(key);
        if (before != null && nowMicros < before.untilMicros) {
            before.answers.add(answer);
            return;
        }
        Work begun = new Work(untilMicros, new ArrayList<>(List.of(answer)));
        underWay.put(key, begun);
        work.accept(response -> {
            if (underWay.get(key) == begun) {
                underWay.remove(key);
            }
            begun.answers.forEach(one -> one.accept(response));
        });
    }
}
