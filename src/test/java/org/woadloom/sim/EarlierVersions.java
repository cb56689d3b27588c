package org.woadloom.sim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Makes a node behave like a version without rollouts: filters its requests to the store so that it
 * neither reads nor writes rollout records, nor version records if it simulates version 1. The
 * condition on the rollout state is removed too, so the node can become leader whatever version the
 * rollout requires.
 */
final class EarlierVersions {
    private static final String ROLLOUT_PREFIX = "rollout/";
    private static final String VERSION_PREFIX = "version/";

    private EarlierVersions() {}

    static void forwardToStore(
            SimulatedStore store,
            boolean isVersion1,
            String method,
            String path,
            Map<String, Object> body,
            SimulatedStore.Answer respond) {
        if (path.startsWith("/keys/" + ROLLOUT_PREFIX)
                || isVersion1 && path.startsWith("/keys/" + VERSION_PREFIX)) {
            respond.answer(store.down ? 503 : 404, Map.of("generation", 0L));
        } else if (path.contains("prefix=" + ROLLOUT_PREFIX)) {
            store.handle(
                    method,
                    path.replace("prefix=" + ROLLOUT_PREFIX, "prefix=unknown/"),
                    body,
                    respond);
        } else if (path.equals("/txn")) {
            forwardTransaction(store, isVersion1, body, respond);
        } else {
            store.handle(method, path, body, respond);
        }
    }

    private static void forwardTransaction(
            SimulatedStore store,
            boolean isVersion1,
            Map<String, Object> body,
            SimulatedStore.Answer respond) {
        List<Map<?, ?>> changes = ProductionFilter.changes(body);
        if (changes.stream()
                .anyMatch(change -> (ROLLOUT_PREFIX + "state").equals(change.get("put")))) {
            respond.answer(
                    409, Map.of("failed", List.of(ROLLOUT_PREFIX + "state"), "generation", 0L));
            return;
        }
        Map<String, Object> forwarded = new LinkedHashMap<>();
        forwarded.put(
                "if",
                ((List<?>) body.get("if"))
                        .stream()
                                .filter(
                                        condition ->
                                                !(ROLLOUT_PREFIX + "state")
                                                        .equals(
                                                                ((Map<?, ?>) condition)
                                                                        .get("path")))
                                .toList());
        forwarded.put(
                "then",
                changes.stream()
                        .filter(
                                change ->
                                        !(change.get("put") instanceof String key
                                                && (key.startsWith(ROLLOUT_PREFIX)
                                                        || isVersion1
                                                                && key.startsWith(VERSION_PREFIX))))
                        .toList());
        if (isVersion1) {
            ProductionFilter.checkReadableByVersion1("/txn", forwarded);
        }
        store.handle("POST", "/txn", forwarded, respond);
    }
}
