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
        String jobId,
        String jobClass,
        String team,
        JobKind kind,
        Priority priority,
        int taskCount,
        double cpus,
        double gpus,
        double memoryGb,
        String image,
        double imageGb,
        List<String> machineTypes,
        String zone,
        boolean sameZone,
        boolean spreadAcrossZones,
        boolean spotAllowed,
        double estimatedRuntimeSeconds,
        double checkpointIntervalSeconds,
        double checkpointCostSeconds,
        Double deadlineSeconds,
        List<String> dependencies) {

    public static final int MAX_TASKS = 100_000;
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
    public static boolean isJobId(String text) {
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
        String jobId = f.text("uid");
        if (!isJobId(jobId)) {
            throw new MalformedMessageException("uid: expected an id such as j-000412");
        }
        long shards = f.integer("shards");
        if (shards < 1 || shards > MAX_TASKS) {
            throw new MalformedMessageException("shards: expected 1 to " + MAX_TASKS);
        }
        List<String> machineTypes = f.has("hosttypes") ? List.copyOf(f.texts("hosttypes")) : null;
        double cpus = f.amount("vcpus");
        double gpus = f.amountOr("cards", 0);
        double memoryGb = f.amount("ramGb");
        if (cpus == 0 && gpus == 0 && memoryGb == 0) {
            throw new MalformedMessageException("vcpus: a task must take something of its machine");
        }
        return new JobDescription(
                jobId,
                name(f, "jobclass"),
                name(f, "crew"),
                JobKind.parse(f.text("shape")),
                Priority.parse(f.text("rank")),
                (int) shards,
                cpus,
                gpus,
                memoryGb,
                name(f, "bundle"),
                f.amountOr("pullGb", 0),
                machineTypes,
                f.textOr("yard", null),
                f.flagOr("samePlace", false),
                f.flagOr("apart", false),
                f.flagOr("reclaimable", false),
                f.amountOr("runtimeS", 0),
                f.amountOr("snapshotEveryS", 0),
                f.amountOr("snapshotCostS", 0),
                f.has("dueS") ? Double.valueOf(f.amount("dueS")) : null,
                dependencies(f));
    }

    /**
     * The jobs that have to be done before this one starts; each is named once here, however often
     * its user did.
     */
    private static List<String> dependencies(Fields f) throws MalformedMessageException {
        return f.has("awaits") ? List.copyOf(new LinkedHashSet<>(f.texts("awaits"))) : List.of();
    }

    /** The same job where what it waited for is done. */
    public JobDescription withoutDependencies() {
        return dependencies.isEmpty()
                ? this
                : new JobDescription(
                        jobId,
                        jobClass,
                        team,
                        kind,
                        priority,
                        taskCount,
                        cpus,
                        gpus,
                        memoryGb,
                        image,
                        imageGb,
                        machineTypes,
                        zone,
                        sameZone,
                        spreadAcrossZones,
                        spotAllowed,
                        estimatedRuntimeSeconds,
                        checkpointIntervalSeconds,
                        checkpointCostSeconds,
                        deadlineSeconds,
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

    public boolean isService() {
        return kind == JobKind.SERVICE;
    }

    public boolean isGang() {
        return kind == JobKind.GANG;
    }

    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", jobId);
        map.put("jobclass", jobClass);
        map.put("crew", team);
        map.put("shape", kind.wireName());
        map.put("rank", priority.wireName());
        map.put("shards", (long) taskCount);
        map.put("vcpus", cpus);
        map.put("cards", gpus);
        map.put("ramGb", memoryGb);
        map.put("bundle", image);
        map.put("pullGb", imageGb);
        map.put("hosttypes", machineTypes);
        map.put("yard", zone);
        map.put("samePlace", sameZone);
        map.put("apart", spreadAcrossZones);
        map.put("reclaimable", spotAllowed);
        map.put("runtimeS", estimatedRuntimeSeconds);
        map.put("snapshotEveryS", checkpointIntervalSeconds);
        map.put("snapshotCostS", checkpointCostSeconds);
        map.put("dueS", deadlineSeconds);
        if (!dependencies.isEmpty()) {
            map.put("awaits", dependencies);
        }
        return map;
    }
}
