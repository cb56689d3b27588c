import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A job as its user describes it, and what is true of it: how long its tasks run, which are done. */
final class Job {
    static final Map<String, Job> ALL = new ConcurrentHashMap<>();

    final Map<String, Object> fields = new LinkedHashMap<>();
    final double runS;

    /** Tasks whose result is kept. */
    final Set<Integer> done = ConcurrentHashMap.newKeySet();

    Job(String uid, String jobclass, String crew, String shape, String rank, int shards, double runS) {
        this.runS = runS;
        fields.put("uid", uid);
        fields.put("jobclass", jobclass);
        fields.put("crew", crew);
        fields.put("shape", shape);
        fields.put("rank", rank);
        fields.put("shards", (long) shards);
        fields.put("vcpus", 1.0);
        fields.put("cards", 0.0);
        fields.put("ramGb", 1.0);
        fields.put("bundle", "img-01");
        fields.put("pullGb", 0.9);
        fields.put("hosttypes", null);
        fields.put("yard", null);
        fields.put("samePlace", false);
        fields.put("apart", false);
        fields.put("reclaimable", false);
        fields.put("runtimeS", shape.equals("service") ? 0.0 : runS);
        fields.put("snapshotEveryS", 0.0);
        fields.put("snapshotCostS", 0.0);
        fields.put("dueS", null);
        ALL.put(uid, this);
    }

    /** A service of one replica that is bound to Savannah. */
    static Job quoteDesk(String uid) {
        return new Job(uid, "quote-desk", "quote-office-0", "service", "critical", 1, 0)
                .with("vcpus", 2.0)
                .with("ramGb", 2.7)
                .with("yard", "savannah");
    }

    Job with(String field, Object value) {
        fields.put(field, value);
        return this;
    }

    Job types(String... names) {
        return with("hosttypes", List.of(names));
    }

    String uid() {
        return (String) fields.get("uid");
    }

    String image() {
        return (String) fields.get("bundle");
    }

    boolean service() {
        return fields.get("shape").equals("service");
    }

    double number(String field) {
        return ((Number) fields.get(field)).doubleValue();
    }
}
