package org.woadloom.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A machine type that the cloud offers. Prices are per hour. */
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

    private static final double DEFAULT_IMAGE_GB_PER_SECOND = 0.1;
    private static final double DEFAULT_BOOT_SECONDS = 60;
    private static final double MICROS_PER_SECOND = 1e6;

    /** Allows for the rounding of sums of resources. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** Field names in the cloud's list, and of the list itself. */
    static final class Field {
        static final String NAME = "name";
        static final String CPUS = "vcpus";
        static final String GPUS = "cards";
        static final String MEMORY_GB = "ramGb";
        static final String IMAGE_CACHE_GB = "cacheGb";
        static final String IMAGE_GB_PER_SECOND = "pullGbPerS";
        static final String ON_DEMAND_PRICE = "rate";
        static final String SPOT_PRICE = "marketPrice";
        static final String BOOT_SECONDS = "readyS";
        static final String ZONES = "yards";
        static final String LIST = "hosttypes";

        private Field() {}
    }

    /** The fields that are read from the cloud's list of machine types. */
    public static final KnownFields LIST_FIELDS =
            KnownFields.of()
                    .with(
                            Field.LIST,
                            KnownFields.of(
                                    Field.NAME,
                                    Field.CPUS,
                                    Field.GPUS,
                                    Field.MEMORY_GB,
                                    Field.IMAGE_CACHE_GB,
                                    Field.IMAGE_GB_PER_SECOND,
                                    Field.ON_DEMAND_PRICE,
                                    Field.SPOT_PRICE,
                                    Field.BOOT_SECONDS,
                                    Field.ZONES));

    public static MachineType parse(Object value) throws MalformedMessageException {
        Fields fields = Fields.of(value, Field.LIST);
        return new MachineType(
                fields.text(Field.NAME),
                fields.nonNegativeNumber(Field.CPUS),
                fields.nonNegativeNumberOr(Field.GPUS, 0),
                fields.nonNegativeNumber(Field.MEMORY_GB),
                fields.nonNegativeNumberOr(Field.IMAGE_CACHE_GB, 0),
                fields.nonNegativeNumberOr(Field.IMAGE_GB_PER_SECOND, DEFAULT_IMAGE_GB_PER_SECOND),
                fields.nonNegativeNumber(Field.ON_DEMAND_PRICE),
                fields.nonNegativeNumberOr(
                        Field.SPOT_PRICE, fields.nonNegativeNumber(Field.ON_DEMAND_PRICE)),
                (long)
                        (fields.nonNegativeNumberOr(Field.BOOT_SECONDS, DEFAULT_BOOT_SECONDS)
                                * MICROS_PER_SECOND),
                List.copyOf(fields.textList(Field.ZONES)));
    }

    public static List<MachineType> parseAll(Map<String, Object> map)
            throws MalformedMessageException {
        List<MachineType> types = new ArrayList<>();
        for (Object item : new Fields(map).list(Field.LIST)) {
            types.add(parse(item));
        }
        return types;
    }

    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(Field.NAME, name);
        map.put(Field.CPUS, cpus);
        map.put(Field.GPUS, gpus);
        map.put(Field.MEMORY_GB, memoryGb);
        map.put(Field.IMAGE_CACHE_GB, imageCacheGb);
        map.put(Field.IMAGE_GB_PER_SECOND, imageGbPerSecond);
        map.put(Field.ON_DEMAND_PRICE, onDemandPrice);
        map.put(Field.SPOT_PRICE, spotPrice);
        map.put(Field.BOOT_SECONDS, bootMicros / MICROS_PER_SECOND);
        map.put(Field.ZONES, zones);
        return map;
    }

    /** Whether one task of the job fits on an empty machine of this type. */
    public boolean fits(JobDescription job) {
        return job.cpus() <= cpus + ROUNDING_TOLERANCE
                && job.gpus() <= gpus + ROUNDING_TOLERANCE
                && job.memoryGb() <= memoryGb + ROUNDING_TOLERANCE;
    }
}
