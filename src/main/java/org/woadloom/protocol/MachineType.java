package org.woadloom.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A kind of machine that the cloud rents. Prices are per hour. */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memoryGb,
        double imageCacheGb,
        double imageGbPerSecond,
        double onDemandPrice,
        double spotPrice,
        long bootMicros,
        List<String> zones) {

    public static MachineType parse(Object value) throws MalformedMessageException {
        Fields f = Fields.of(value, "hosttypes");
        return new MachineType(
                f.text("name"),
                f.amount("vcpus"),
                f.amountOr("cards", 0),
                f.amount("ramGb"),
                f.amountOr("cacheGb", 0),
                f.amountOr("pullGbPerS", 0.1),
                f.amount("rate"),
                f.amountOr("marketPrice", f.amount("rate")),
                (long) (f.amountOr("readyS", 60) * 1e6),
                List.copyOf(f.texts("yards")));
    }

    public static List<MachineType> parseAll(Map<String, Object> map)
            throws MalformedMessageException {
        List<MachineType> types = new ArrayList<>();
        for (Object item : new Fields(map).list("hosttypes")) {
            types.add(parse(item));
        }
        return types;
    }

    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("name", name);
        map.put("vcpus", cpus);
        map.put("cards", gpus);
        map.put("ramGb", memoryGb);
        map.put("cacheGb", imageCacheGb);
        map.put("pullGbPerS", imageGbPerSecond);
        map.put("rate", onDemandPrice);
        map.put("marketPrice", spotPrice);
        map.put("readyS", bootMicros / 1e6);
        map.put("yards", zones);
        return map;
    }

    /** True if one task of the job fits on an empty machine of this type. */
    public boolean fits(JobDescription job) {
        return job.cpus() <= cpus + 1e-9
                && job.gpus() <= gpus + 1e-9
                && job.memoryGb() <= memoryGb + 1e-9;
    }
}
