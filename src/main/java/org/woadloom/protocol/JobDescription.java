package org.woadloom.protocol;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * A job as its user submits it. {@code hosttypes}, {@code yard} and {@code dueS} are null where the
 * user set no limit; amounts and durations keep the protocol's units here and become microseconds
 * in the core. {@code awaits} is empty for a job that waits for no other; it was written by no
 * version before 2.
 */
public record JobDescription(
        String uid,
        String jobclass,
        String crew,
        JobKind shape,
        Priority rank,
        int shards,
        double vcpus,
        double cards,
        double ramGb,
        String bundle,
        double pullGb,
        List<String> hosttypes,
        String yard,
        boolean samePlace,
        boolean apart,
        boolean reclaimable,
        double runtimeS,
        double snapshotEveryS,
        double snapshotCostS,
        Double dueS,
        List<String> awaits) {

    public static final int MAX_SHARDS = 100_000;
    private static final int MAX_NAME = 120;

    /** What users must give, and stored records leave out where it has the usual value. */
    private static final List<String> LEFT_OUT_IN_RECORDS =
            List.of(
                    "cards",
                    "pullGb",
                    "samePlace",
                    "apart",
                    "reclaimable",
                    "runtimeS",
                    "snapshotEveryS",
                    "snapshotCostS");

    /** True for text that has the form of a job id and can be part of a key and of a path. */
    public static boolean isUid(String text) {
        if (!text.startsWith("j-") || text.length() < 3 || text.length() > 66) {
            return false;
        }
        for (int i = 2; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!(c >= '0' && c <= '9'
                    || c >= 'a' && c <= 'z'
                    || c >= 'A' && c <= 'Z'
                    || c == '-'
                    || c == '_')) {
                return false;
            }
        }
        return true;
    }

    /** As its user submits it: only what may be null may be missing. */
    public static JobDescription submitted(Map<String, Object> map)
            throws MalformedMessageException {
        for (String field : LEFT_OUT_IN_RECORDS) {
            if (map.get(field) == null) {
                throw new MalformedMessageException(field + ": is missing");
            }
        }
        return parse(map);
    }

    /** As a record holds it, of this version or an earlier one. */
    public static JobDescription parse(Map<String, Object> map) throws MalformedMessageException {
        Fields f = new Fields(map);
        String uid = f.text("uid");
        if (!isUid(uid)) {
            throw new MalformedMessageException("uid: expected an id such as j-000412");
        }
        long shards = f.integer("shards");
        if (shards < 1 || shards > MAX_SHARDS) {
            throw new MalformedMessageException("shards: expected 1 to " + MAX_SHARDS);
        }
        List<String> hosttypes = f.has("hosttypes") ? List.copyOf(f.texts("hosttypes")) : null;
        double vcpus = f.amount("vcpus");
        double cards = f.amountOr("cards", 0);
        double ramGb = f.amount("ramGb");
        if (vcpus == 0 && cards == 0 && ramGb == 0) {
            throw new MalformedMessageException("vcpus: a task must take something of its machine");
        }
        return new JobDescription(
                uid,
                name(f, "jobclass"),
                name(f, "crew"),
                JobKind.parse(f.text("shape")),
                Priority.parse(f.text("rank")),
                (int) shards,
                vcpus,
                cards,
                ramGb,
                name(f, "bundle"),
                f.amountOr("pullGb", 0),
                hosttypes,
                f.textOr("yard", null),
                f.flagOr("samePlace", false),
                f.flagOr("apart", false),
                f.flagOr("reclaimable", false),
                f.amountOr("runtimeS", 0),
                f.amountOr("snapshotEveryS", 0),
                f.amountOr("snapshotCostS", 0),
                f.has("dueS") ? Double.valueOf(f.amount("dueS")) : null,
                awaits(f));
    }

    /**
     * The jobs that have to be done before this one starts; each is named once here, however often
     * its user did.
     */
    private static List<String> awaits(Fields f) throws MalformedMessageException {
        return f.has("awaits") ? List.copyOf(new LinkedHashSet<>(f.texts("awaits"))) : List.of();
    }

    /** The same job where what it waited for is done. */
    public JobDescription released() {
        return awaits.isEmpty()
                ? this
                : new JobDescription(
                        uid,
                        jobclass,
                        crew,
                        shape,
                        rank,
                        shards,
                        vcpus,
                        cards,
                        ramGb,
                        bundle,
                        pullGb,
                        hosttypes,
                        yard,
                        samePlace,
                        apart,
                        reclaimable,
                        runtimeS,
                        snapshotEveryS,
                        snapshotCostS,
                        dueS,
                        List.of());
    }

    private static String name(Fields f, String field) throws MalformedMessageException {
        String text = f.text(field);
        if (text.isEmpty() || text.length() > MAX_NAME) {
            throw new MalformedMessageException(
                    field + ": expected 1 to " + MAX_NAME + " characters");
        }
        return text;
    }

    public boolean service() {
        return shape == JobKind.SERVICE;
    }

    public boolean gang() {
        return shape == JobKind.GROUP;
    }

    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", uid);
        map.put("jobclass", jobclass);
        map.put("crew", crew);
        map.put("shape", shape.wireName());
        map.put("rank", rank.wireName());
        map.put("shards", (long) shards);
        map.put("vcpus", vcpus);
        map.put("cards", cards);
        map.put("ramGb", ramGb);
        map.put("bundle", bundle);
        map.put("pullGb", pullGb);
        map.put("hosttypes", hosttypes);
        map.put("yard", yard);
        map.put("samePlace", samePlace);
        map.put("apart", apart);
        map.put("reclaimable", reclaimable);
        map.put("runtimeS", runtimeS);
        map.put("snapshotEveryS", snapshotEveryS);
        map.put("snapshotCostS", snapshotCostS);
        map.put("dueS", dueS);
        if (!awaits.isEmpty()) {
            map.put("awaits", awaits);
        }
        return map;
    }
}
