package org.woadloom.protocol;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * A job as submitted by its user. Durations are in seconds as in the protocol; the core converts
 * them to microseconds.
 *
 * @param machineTypes the machine types that the tasks may run on; null for any
 * @param zone the zone that all tasks must run in; null for any
 * @param deadlineSeconds the deadline, counted from the submission; null for none
 * @param dependencies the jobs that must be done before this one starts; may be empty. Version 1
 *     did not write this field
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

    /** Field names in a submission and in a stored record. */
    public static final class Field {
        public static final String JOB_ID = "uid";
        public static final String JOB_CLASS = "jobclass";
        public static final String TEAM = "crew";
        public static final String KIND = "shape";
        public static final String PRIORITY = "rank";
        public static final String TASK_COUNT = "shards";
        public static final String CPUS = "vcpus";
        public static final String GPUS = "cards";
        public static final String MEMORY_GB = "ramGb";
        public static final String IMAGE = "bundle";
        public static final String IMAGE_GB = "pullGb";
        public static final String MACHINE_TYPES = "hosttypes";
        public static final String ZONE = "yard";
        public static final String SAME_ZONE = "samePlace";
        public static final String SPREAD_ACROSS_ZONES = "apart";
        public static final String SPOT_ALLOWED = "reclaimable";
        public static final String ESTIMATED_RUNTIME_SECONDS = "runtimeS";
        public static final String CHECKPOINT_INTERVAL_SECONDS = "snapshotEveryS";
        public static final String CHECKPOINT_COST_SECONDS = "snapshotCostS";
        public static final String DEADLINE_SECONDS = "dueS";
        public static final String DEPENDENCIES = "awaits";

        private Field() {}
    }

    /** The fields that are read from a submission. */
    public static final KnownFields KNOWN_FIELDS =
            KnownFields.of(
                    Field.JOB_ID,
                    Field.JOB_CLASS,
                    Field.TEAM,
                    Field.KIND,
                    Field.PRIORITY,
                    Field.TASK_COUNT,
                    Field.CPUS,
                    Field.GPUS,
                    Field.MEMORY_GB,
                    Field.IMAGE,
                    Field.IMAGE_GB,
                    Field.MACHINE_TYPES,
                    Field.ZONE,
                    Field.SAME_ZONE,
                    Field.SPREAD_ACROSS_ZONES,
                    Field.SPOT_ALLOWED,
                    Field.ESTIMATED_RUNTIME_SECONDS,
                    Field.CHECKPOINT_INTERVAL_SECONDS,
                    Field.CHECKPOINT_COST_SECONDS,
                    Field.DEADLINE_SECONDS,
                    Field.DEPENDENCIES);

    public static final int MAX_TASKS = 100_000;
    private static final String JOB_ID_PREFIX = "j-";
    private static final int MIN_JOB_ID_LENGTH = 3;
    private static final int MAX_JOB_ID_LENGTH = 66;

    /**
     * Fields that are mandatory in a submission; stored records omit them when they have the
     * default value.
     */
    private static final List<String> OPTIONAL_IN_RECORDS =
            List.of(
                    Field.GPUS,
                    Field.IMAGE_GB,
                    Field.SAME_ZONE,
                    Field.SPREAD_ACROSS_ZONES,
                    Field.SPOT_ALLOWED,
                    Field.ESTIMATED_RUNTIME_SECONDS,
                    Field.CHECKPOINT_INTERVAL_SECONDS,
                    Field.CHECKPOINT_COST_SECONDS);

    /** Whether the text is a well-formed job id, which is safe in store keys and URL paths. */
    public static boolean isJobId(String text) {
        if (!text.startsWith(JOB_ID_PREFIX)
                || text.length() < MIN_JOB_ID_LENGTH
                || text.length() > MAX_JOB_ID_LENGTH) {
            return false;
        }
        for (int i = JOB_ID_PREFIX.length(); i < text.length(); i++) {
            if (!isJobIdCharacter(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isJobIdCharacter(char c) {
        return (c >= '0' && c <= '9')
                || (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || c == '-'
                || c == '_';
    }

    /** Parses a submission, in which only nullable fields may be missing. */
    public static JobDescription parseSubmission(Map<String, Object> map)
            throws MalformedMessageException {
        for (String field : OPTIONAL_IN_RECORDS) {
            if (map.get(field) == null) {
                throw new MalformedMessageException(field + ": missing or null, expected a value");
            }
        }
        return parse(map);
    }

    /** Parses the description in a stored record, written by this version or an earlier one. */
    public static JobDescription parse(Map<String, Object> map) throws MalformedMessageException {
        Fields fields = new Fields(map);
        String jobId = fields.text(Field.JOB_ID);
        if (!isJobId(jobId)) {
            throw new MalformedMessageException(
                    Field.JOB_ID
                            + ": expected an id such as j-000412, was "
                            + ErrorText.quoted(jobId));
        }
        long taskCount = fields.integer(Field.TASK_COUNT);
        if (taskCount < 1 || taskCount > MAX_TASKS) {
            throw new MalformedMessageException(
                    Field.TASK_COUNT + ": expected 1 to " + MAX_TASKS + ", was " + taskCount);
        }
        List<String> machineTypes =
                fields.has(Field.MACHINE_TYPES)
                        ? List.copyOf(fields.textList(Field.MACHINE_TYPES))
                        : null;
        double cpus = fields.nonNegativeNumber(Field.CPUS);
        double gpus = fields.nonNegativeNumberOr(Field.GPUS, 0);
        double memoryGb = fields.nonNegativeNumber(Field.MEMORY_GB);
        if (cpus == 0 && gpus == 0 && memoryGb == 0) {
            throw new MalformedMessageException(
                    Field.CPUS + ": a task must request CPUs, GPUs or memory");
        }
        return new JobDescription(
                jobId,
                nonEmptyText(fields, Field.JOB_CLASS),
                nonEmptyText(fields, Field.TEAM),
                JobKind.parse(fields.text(Field.KIND)),
                Priority.parse(fields.text(Field.PRIORITY)),
                (int) taskCount,
                cpus,
                gpus,
                memoryGb,
                nonEmptyText(fields, Field.IMAGE),
                fields.nonNegativeNumberOr(Field.IMAGE_GB, 0),
                machineTypes,
                fields.textOr(Field.ZONE, null),
                fields.flagOr(Field.SAME_ZONE, false),
                fields.flagOr(Field.SPREAD_ACROSS_ZONES, false),
                fields.flagOr(Field.SPOT_ALLOWED, false),
                fields.nonNegativeNumberOr(Field.ESTIMATED_RUNTIME_SECONDS, 0),
                fields.nonNegativeNumberOr(Field.CHECKPOINT_INTERVAL_SECONDS, 0),
                fields.nonNegativeNumberOr(Field.CHECKPOINT_COST_SECONDS, 0),
                fields.has(Field.DEADLINE_SECONDS)
                        ? Double.valueOf(fields.nonNegativeNumber(Field.DEADLINE_SECONDS))
                        : null,
                dependencies(fields));
    }

    /** Duplicates in the submission are dropped. */
    private static List<String> dependencies(Fields fields) throws MalformedMessageException {
        return fields.has(Field.DEPENDENCIES)
                ? List.copyOf(new LinkedHashSet<>(fields.textList(Field.DEPENDENCIES)))
                : List.of();
    }

    /** Returns this job as it is once its dependencies are done. */
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

    private static String nonEmptyText(Fields fields, String field)
            throws MalformedMessageException {
        String text = fields.text(field);
        if (text.isEmpty()) {
            throw new MalformedMessageException(field + ": must not be empty");
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
        map.put(Field.JOB_ID, jobId);
        map.put(Field.JOB_CLASS, jobClass);
        map.put(Field.TEAM, team);
        map.put(Field.KIND, kind.wireName());
        map.put(Field.PRIORITY, priority.wireName());
        map.put(Field.TASK_COUNT, (long) taskCount);
        map.put(Field.CPUS, cpus);
        map.put(Field.GPUS, gpus);
        map.put(Field.MEMORY_GB, memoryGb);
        map.put(Field.IMAGE, image);
        map.put(Field.IMAGE_GB, imageGb);
        map.put(Field.MACHINE_TYPES, machineTypes);
        map.put(Field.ZONE, zone);
        map.put(Field.SAME_ZONE, sameZone);
        map.put(Field.SPREAD_ACROSS_ZONES, spreadAcrossZones);
        map.put(Field.SPOT_ALLOWED, spotAllowed);
        map.put(Field.ESTIMATED_RUNTIME_SECONDS, estimatedRuntimeSeconds);
        map.put(Field.CHECKPOINT_INTERVAL_SECONDS, checkpointIntervalSeconds);
        map.put(Field.CHECKPOINT_COST_SECONDS, checkpointCostSeconds);
        map.put(Field.DEADLINE_SECONDS, deadlineSeconds);
        if (!dependencies.isEmpty()) {
            map.put(Field.DEPENDENCIES, dependencies);
        }
        return map;
    }
}
