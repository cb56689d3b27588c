package org.woadloom.wire;

/** How a job's tasks belong together. */
public enum Shape {
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

    static Shape parse(String text) throws WireException {
        for (Shape shape : values()) {
            if (shape.wireName().equals(text)) {
                return shape;
            }
        }
        throw new WireException("shape: expected batch, group or service");
    }
}
