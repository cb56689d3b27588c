package org.woadloom.protocol;

/** How the tasks of a job relate to one another. */
public enum JobKind {
    /** Independent tasks that each run to completion. */
    ARRAY("batch"),
    /** Tasks that wait for one another before they start, and run to completion together. */
    GANG("group"),
    /** Replicas that each run until the job is cancelled. */
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
                JobDescription.Field.KIND
                        + ": expected batch, group or service, was "
                        + ErrorText.quoted(text));
    }
}
