package org.woadloom.core.jobs;

/** How a job's durable record stands against what the core knows. */
public final class PersistenceState {
    /** What a change needs: the more urgent a change, the sooner it is written. */
    public enum WriteReason {
        NONE,
        PHASE,
        OUTCOME,
        IMMEDIATE
    }

    private final Runnable onWriteNeeded;

    /** The record's stamp as far as known. */
    long revision;

    /** Versions up to this one are durable. */
    long durableVersion;

    /** The first version in which all tasks are done, 0 while there is none. */
    private long completionVersion;

    /** The version that is being written, 0 for none. */
    long versionInFlight;

    private long nextVersion = 1;
    WriteReason pendingReason = WriteReason.NONE;
    private boolean readAsComplete;

    /**
     * The answer to a write was lost or it met a conflict: the record must be read before the next
     * write.
     */
    boolean readNeeded;

    boolean readInFlight;
    long lastWriteMicros = Long.MIN_VALUE / 2;
    long retryAtMicros;

    /**
     * There is none any more, and the final state that took its place is not this leader's: nothing
     * is written.
     */
    private boolean isReplaced;

    /** The final state is being written or is written. */
    boolean finalStateInFlight;

    /**
     * @param needed hears when the record needs anything
     */
    PersistenceState(long revision, Runnable onWriteNeeded) {
        this.revision = revision;
        this.onWriteNeeded = onWriteNeeded;
    }

    /** The version that the next write will have; a change made now is durable with it. */
    public long nextVersion() {
        return nextVersion;
    }

    public void requestWrite(WriteReason reason) {
        if (reason.compareTo(pendingReason) > 0) {
            pendingReason = reason;
            onWriteNeeded.run();
        }
    }

    public long beginWrite(long nowMicros, boolean allDone) {
        versionInFlight = nextVersion++;
        if (allDone && completionVersion == 0) {
            completionVersion = versionInFlight;
        }
        pendingReason = WriteReason.NONE;
        lastWriteMicros = nowMicros;
        return versionInFlight;
    }

    /**
     * The write was not executed; what it held is still to be written, not before the given time.
     */
    void onWriteRefused(long retryAtMicros) {
        versionInFlight = 0;
        finalStateInFlight = false;
        requestWrite(WriteReason.IMMEDIATE);
        this.retryAtMicros = retryAtMicros;
    }

    /**
     * The record was read after a write without a clear outcome: everything is written again on its
     * stamp.
     */
    void onRecordRead() {
        readNeeded = false;
        readInFlight = false;
        versionInFlight = 0;
        finalStateInFlight = false;
        requestWrite(WriteReason.IMMEDIATE);
    }

    /** Another's final state has taken the record's place. */
    void onReplaced() {
        isReplaced = true;
        readNeeded = false;
        pendingReason = WriteReason.NONE;
    }

    boolean isReplaced() {
        return isReplaced;
    }

    /** The record as it was read says that all is done. */
    void onReadAsComplete() {
        readAsComplete = true;
    }

    /** True once the store says that all tasks are done. */
    boolean isCompletionDurable() {
        return readAsComplete || completionVersion > 0 && durableVersion >= completionVersion;
    }

    public void onWriteConfirmed(long version, long newRevision) {
        durableVersion = Math.max(durableVersion, version);
        revision = Math.max(revision, newRevision);
        if (versionInFlight == version) {
            versionInFlight = 0;
            readNeeded = false;
        }
    }

    /** The record's stamp as far as known. */
    public long revision() {
        return revision;
    }

    /** Versions up to this one are durable. */
    public long durableVersion() {
        return durableVersion;
    }

    /** The version that is being written, 0 for none. */
    public long versionInFlight() {
        return versionInFlight;
    }

    public WriteReason pendingReason() {
        return pendingReason;
    }

    /**
     * The answer to a write was lost or it met a conflict: the record must be read before the next
     * write.
     */
    public boolean isReadNeeded() {
        return readNeeded;
    }

    public boolean isReadInFlight() {
        return readInFlight;
    }

    public long lastWriteMicros() {
        return lastWriteMicros;
    }

    public long retryAtMicros() {
        return retryAtMicros;
    }

    /** The final state is being written or is written. */
    public boolean isFinalStateInFlight() {
        return finalStateInFlight;
    }
}
