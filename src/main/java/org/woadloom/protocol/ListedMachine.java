package org.woadloom.protocol;

/** One machine as the cloud's list shows it; the list lags, so absence from it says nothing. */
public record ListedMachine(
        String host,
        String address,
        String machineType,
        String zone,
        boolean spot,
        String status,
        long rentedForMicros) {
    public static ListedMachine parse(Object value) throws MalformedMessageException {
        Fields f = Fields.of(value, "hosts");
        return new ListedMachine(
                f.text("uid"),
                f.textOr("addr", ""),
                f.text("hosttype"),
                f.text("yard"),
                f.flagOr("reclaimable", false),
                f.text("status"),
                (long) (f.amountOr("heldS", 0) * 1e6));
    }

    public boolean failed() {
        return status.equals("failed");
    }
}
