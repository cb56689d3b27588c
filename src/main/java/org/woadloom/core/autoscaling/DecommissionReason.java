package org.woadloom.core.autoscaling;

/** Why a machine is decommissioned. */
enum DecommissionReason {
    MISSING_FROM_LIST("silent and no longer listed", true),
    SILENT_WITH_TASKS("silent with tasks on it", true),
    UNREACHABLE("unreachable", true),
    FAILED_OR_LOST("failed to boot, lost, or reclaimed by the cloud", false),
    IDLE("idle", false);

    private final String logText;
    private final boolean abandons;

    DecommissionReason(String logText, boolean abandons) {
        this.logText = logText;
        this.abandons = abandons;
    }

    /** The value of the log entry's {@code reason}. */
    String logText() {
        return logText;
    }

    /**
     * True if the machine is deleted without being drained, although its agent's lease may still be
     * valid.
     */
    boolean abandons() {
        return abandons;
    }
}
