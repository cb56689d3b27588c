package org.woadloom.protocol;

/** How a job's tasks belong together. */
public enum JobKind {
    /** Independent tasks that each run to completion. */
    ARRAY("batch"),
    /**
     * A gang: tasks that run to completion together, and wait for one another before they start.
     */
    GANG("group"),
    /** Replicas that run until the job is cancelled. */
    SERVICE("service");

    private final String wireName;

    JobKind(String wireName) {
        this.wireName = wireName;
    }

    public String wireName() {
        return wireName;
    }

    static JobKind parse(String text) throws MalformedMessageException {
        for (JobKind kind : values()) {
            if (kind.wireName().equals(text)) {
                return kind;
            }
        }
        throw new MalformedMessageException(
                JobDescription.Field.KIND + ": expected batch, group or service");
    }
}
