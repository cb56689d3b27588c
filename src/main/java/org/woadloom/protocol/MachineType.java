package org.woadloom.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A kind of machine that the cloud rents. Prices are per hour. */
public record MachineType(
        String name,
        double vcpus,
        double cards,
        double ramGb,
        double cacheGb,
        double pullGbPerS,
        double rate,
        double marketPrice,
        long readyMicros,
        List<String> yards) {

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
        map.put("vcpus", vcpus);
        map.put("cards", cards);
        map.put("ramGb", ramGb);
        map.put("cacheGb", cacheGb);
        map.put("pullGbPerS", pullGbPerS);
        map.put("rate", rate);
        map.put("marketPrice", marketPrice);
        map.put("readyS", readyMicros / 1e6);
        map.put("yards", yards);
        return map;
    }

    /** True if one task of the job fits on an empty machine of this type. */
    public boolean holds(JobDescription job) {
        return job.vcpus() <= vcpus + 1e-9
                && job.cards() <= cards + 1e-9
                && job.ramGb() <= ramGb + 1e-9;
    }
}
