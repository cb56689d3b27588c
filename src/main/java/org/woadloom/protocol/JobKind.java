package org.woadloom.protocol;

/** How a job's tasks belong together. */
public enum JobKind {
    /** Independent tasks that each run to completion. */
    BATCH,
    /**
     * A gang: tasks that run to completion together, and wait for one another before they start.
     */
    GROUP,
    /** Replicas that run until the job is cancelled. */
    SERVICE;

    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    static JobKind parse(String text) throws MalformedMessageException {
        for (JobKind shape : values()) {
            if (shape.wireName().equals(text)) {
                return shape;
            }
        }
        throw new MalformedMessageException("shape: expected batch, group or service");
    }
}
