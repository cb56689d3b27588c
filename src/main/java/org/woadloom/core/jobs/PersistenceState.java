package org.woadloom.core.jobs;

/** How a job's durable record stands against what the core knows. */
public final class PersistenceState {
    /** What a change needs: the more urgent a change, the sooner it is written. */
    public enum WriteReason {
        NONE,
        PHASE,
        OUTCOME,
        LAUNCH
    }

    private final Runnable needed;

    /** The record's stamp as far as known. */
    public long revision;

    /** Versions up to this one are durable. */
    public long durable;

    /** The first version in which all tasks are done, 0 while there is none. */
    private long doneVersion;

    /** The version that is being written, 0 for none. */
    public long writing;

    private long next = 1;
    public WriteReason need = WriteReason.NONE;
    private boolean readDone;

    /**
     * The answer to a write was lost or it met a conflict: the record must be read before the next
     * write.
     */
    public boolean reading;

    public boolean readSent;
    public long lastWriteMicros = Long.MIN_VALUE / 2;
    public long retryMicros;

    /**
     * There is none any more, and the final state that took its place is not this leader's: nothing
     * is written.
     */
    private boolean gone;

    /** The final state is being written or is written. */
    public boolean finishing;

    /**
     * @param needed hears when the record needs anything
     */
    PersistenceState(long revision, Runnable needed) {
        this.revision = revision;
        this.needed = needed;
    }

    /** The version that the next write will have; a change made now is durable with it. */
    public long nextVersion() {
        return next;
    }

    public void needs(WriteReason at) {
        if (at.compareTo(need) > 0) {
            need = at;
            needed.run();
        }
    }

    public long begin(long nowMicros, boolean allDone) {
        writing = next++;
        if (allDone && doneVersion == 0) {
            doneVersion = writing;
        }
        need = WriteReason.NONE;
        lastWriteMicros = nowMicros;
        return writing;
    }

    /**
     * The write was not executed; what it held is still to be written, not before the given time.
     */
    void refused(long againMicros) {
        writing = 0;
        finishing = false;
        needs(WriteReason.LAUNCH);
        retryMicros = againMicros;
    }

    /**
     * The record was read after a write without a clear outcome: everything is written again on its
     * stamp.
     */
    void readAgain() {
        reading = false;
        readSent = false;
        writing = 0;
        finishing = false;
        needs(WriteReason.LAUNCH);
    }

    /** Another's final state has taken the record's place. */
    void replaced() {
        gone = true;
        reading = false;
        need = WriteReason.NONE;
    }

    boolean gone() {
        return gone;
    }

    /** The record as it was read says that all is done. */
    void readAsDone() {
        readDone = true;
    }

    /** True once the store says that all tasks are done. */
    boolean doneDurably() {
        return readDone || doneVersion > 0 && durable >= doneVersion;
    }

    public void confirmed(long version, long newRevision) {
        durable = Math.max(durable, version);
        revision = Math.max(revision, newRevision);
        if (writing == version) {
            writing = 0;
            reading = false;
        }
    }
}
