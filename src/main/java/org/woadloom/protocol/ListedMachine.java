package org.woadloom.protocol;

/**
 * A machine in the cloud's list of machines. The list lags behind, so a machine that is missing in
 * it may still exist.
 *
 * @param rentedForMicros how long the machine has been rented, as charged by the cloud
 */
public record ListedMachine(
        String host,
        String address,
        String machineType,
        String zone,
        boolean spot,
        String status,
        long rentedForMicros) {
    private static final String FAILED = "failed";
    private static final double MICROS_PER_SECOND = 1e6;

    /** Field names in the cloud's list, and of the list itself. */
    static final class Field {
        static final String HOST = "uid";
        static final String ADDRESS = "addr";
        static final String MACHINE_TYPE = "hosttype";
        static final String ZONE = "yard";
        static final String SPOT = "reclaimable";
        static final String STATUS = "status";
        static final String RENTED_FOR_SECONDS = "heldS";
        static final String LIST = "hosts";

        private Field() {}
    }

    /** The fields that are read of one machine in the list. */
    public static final KnownFields KNOWN_FIELDS =
            KnownFields.of(
                    Field.HOST,
                    Field.ADDRESS,
                    Field.MACHINE_TYPE,
                    Field.ZONE,
                    Field.SPOT,
                    Field.STATUS,
                    Field.RENTED_FOR_SECONDS);

    public static ListedMachine parse(Object value) throws MalformedMessageException {
        Fields fields = Fields.of(value, Field.LIST);
        return new ListedMachine(
                fields.text(Field.HOST),
                fields.textOr(Field.ADDRESS, ""),
                fields.text(Field.MACHINE_TYPE),
                fields.text(Field.ZONE),
                fields.flagOr(Field.SPOT, false),
                fields.text(Field.STATUS),
                (long)
                        (fields.nonNegativeNumberOr(Field.RENTED_FOR_SECONDS, 0)
                                * MICROS_PER_SECOND));
    }

    public boolean hasFailed() {
        return status.equals(FAILED);
    }
}
