package org.woadloom.sim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Makes a node a stand-in for a version that knows of no rollout: what it writes and reads of one
 * is kept from the store, and for version 1 what it says and learns of versions as well. It may
 * lead without asking what is required.
 */
final class EarlierVersions {
    private static final String ROLLOUT = "rollout/";
    private static final String VERSIONS = "version/";

    private EarlierVersions() {}

    static void toState(
            SimulatedStore state,
            boolean production,
            String method,
            String path,
            Map<String, Object> body,
            SimulatedStore.Answer respond) {
        if (path.startsWith("/keys/" + ROLLOUT)
                || production && path.startsWith("/keys/" + VERSIONS)) {
            respond.answer(state.down ? 503 : 404, Map.of("generation", 0L));
        } else if (path.contains("prefix=" + ROLLOUT)) {
            state.handle(
                    method, path.replace("prefix=" + ROLLOUT, "prefix=unknown/"), body, respond);
        } else if (path.equals("/txn")) {
            txn(state, production, body, respond);
        } else {
            state.handle(method, path, body, respond);
        }
    }

    private static void txn(
            SimulatedStore state,
            boolean production,
            Map<String, Object> body,
            SimulatedStore.Answer respond) {
        List<Map<?, ?>> changes = ProductionFilter.changes(body);
        if (changes.stream().anyMatch(change -> (ROLLOUT + "state").equals(change.get("put")))) {
            respond.answer(409, Map.of("failed", List.of(ROLLOUT + "state"), "generation", 0L));
            return;
        }
        Map<String, Object> known = new LinkedHashMap<>();
        known.put(
                "if",
                ((List<?>) body.get("if"))
                        .stream()
                                .filter(
                                        condition ->
                                                !(ROLLOUT + "state")
                                                        .equals(
                                                                ((Map<?, ?>) condition)
                                                                        .get("path")))
                                .toList());
        known.put(
                "then",
                changes.stream()
                        .filter(
                                change ->
                                        !(change.get("put") instanceof String key
                                                && (key.startsWith(ROLLOUT)
                                                        || production && key.startsWith(VERSIONS))))
                        .toList());
        if (production) {
            ProductionFilter.checkWritten("/txn", known);
        }
        state.handle("POST", "/txn", known, respond);
    }
}
