package org.woadloom.core.jobs;

/**
 * How a job's durable record stands against what the scheduler knows.
 *
 * <p>Every write has a version, counted per job and term. One write is in flight at a time; the
 * request that is open, or needed before the next write, is the {@link Exchange}:
 *
 * <pre>
 * IDLE ----- startWrite --------------------------&gt; WRITING
 * WRITING -- onWriteConfirmed, onWriteRefused -----&gt; IDLE
 * WRITING -- requireRead (outcome not clear) -----&gt; READ_NEEDED
 * READ_NEEDED -- startRead -----------------------&gt; READING
 * READING -- onReadFailed ------------------------&gt; READ_NEEDED
 * READING -- onRecordRead ------------------------&gt; IDLE
 * READING -- onReplaced --------------------------&gt; REPLACED, for good
 * </pre>
 */
public final class PersistenceState {
    /** Why the record must be written: the more urgent the change, the later in this order. */
    public enum WriteUrgency {
        NONE,
        /** Tasks have moved on without an end, such as from pulling to running. */
        TASK_PROGRESS,
        /** Tasks have ended or are gone. */
        TASK_ENDED,
        /** Users or start commands wait for the write. */
        IMMEDIATE
    }

    private enum Exchange {
        IDLE,
        WRITING,
        /** A write has met a conflict or its answer was lost: nothing is known of the record. */
        READ_NEEDED,
        READING,
        /** A final state that is not this leader's has taken the record's place. */
        REPLACED
    }

    /** In place of a version. */
    private static final long NO_VERSION = 0;

    private final Runnable onWriteNeeded;
    private Exchange exchange = Exchange.IDLE;
    private long revision;
    private long durableVersion;

    /** The first version in which all tasks are completed. */
    private long completionVersion = NO_VERSION;

    /** The version of the last write until its outcome is clear. */
    private long versionInFlight = NO_VERSION;

    private long nextVersion = 1;
    private WriteUrgency pendingReason = WriteUrgency.NONE;
    private boolean readAsComplete;
    private boolean finalStateInFlight;

    /** Half of the range, so that differences to it do not overflow. */
    private long lastWriteMicros = Long.MIN_VALUE / 2;

    private long retryAtMicros;

    /**
     * @param onWriteNeeded called when there is a more urgent reason to write than before
     */
    PersistenceState(long revision, Runnable onWriteNeeded) {
        this.revision = revision;
        this.onWriteNeeded = onWriteNeeded;
    }

    // What is to be done.

    /** Asks for a write; one that is already asked for keeps the more urgent reason. */
    public void requestWrite(WriteUrgency reason) {
        if (reason.compareTo(pendingReason) > 0) {
            pendingReason = reason;
            onWriteNeeded.run();
        }
    }

    WriteUrgency pendingReason() {
        return pendingReason;
    }

    /** True while there is anything to write or to read. */
    boolean needsExchange() {
        return pendingReason != WriteUrgency.NONE || isReadNeeded();
    }

    /**
     * True while no write may leave before the record was read, whether that read is open or not.
     */
    boolean isReadNeeded() {
        return exchange == Exchange.READ_NEEDED || exchange == Exchange.READING;
    }

    /** True while a read that is needed is open. */
    boolean isReading() {
        return exchange == Exchange.READING;
    }

    /** True if a write may leave now. */
    boolean isIdle() {
        return exchange == Exchange.IDLE;
    }

    /**
     * True once another's final state has taken the record's place: nothing is written any more.
     */
    boolean isReplaced() {
        return exchange == Exchange.REPLACED;
    }

    /** No request leaves before this time. */
    long retryAtMicros() {
        return retryAtMicros;
    }

    /** When the last write left, long ago if there was none. */
    long lastWriteMicros() {
        return lastWriteMicros;
    }

    // Versions and revisions.

    /** The version that the next write will have; a change made now is durable with it. */
    public long nextVersion() {
        return nextVersion;
    }

    /** Versions up to this one are durable. */
    public long durableVersion() {
        return durableVersion;
    }

    /** The record names this version of the current term, whatever became of the write's answer. */
    void onVersionRead(long version) {
        durableVersion = version;
    }

    /** The record's revision as far as known: the condition of the next write. */
    long revision() {
        return revision;
    }

    void onRevisionRead(long readRevision) {
        revision = readRevision;
    }

    /** True once the store says that all tasks are completed. */
    boolean isCompletionDurable() {
        return readAsComplete
                || (completionVersion != NO_VERSION && durableVersion >= completionVersion);
    }

    /** The record as it was read says that all tasks are completed. */
    void onReadAsComplete() {
        readAsComplete = true;
    }

    // Writes.

    /**
     * A write leaves.
     *
     * @param allCompleted whether it says that all tasks are completed
     * @return its version
     */
    long startWrite(long nowMicros, boolean allCompleted) {
        exchange = Exchange.WRITING;
        versionInFlight = nextVersion++;
        if (allCompleted && completionVersion == NO_VERSION) {
            completionVersion = versionInFlight;
        }
        pendingReason = WriteUrgency.NONE;
        lastWriteMicros = nowMicros;
        return versionInFlight;
    }

    /** The same for the job's final state. */
    long startFinalWrite(long nowMicros, boolean allCompleted) {
        finalStateInFlight = true;
        return startWrite(nowMicros, allCompleted);
    }

    /** True for the version of the last write as long as its outcome is not clear. */
    boolean isInFlight(long version) {
        return versionInFlight == version;
    }

    /** The same where that write is of the final state. */
    boolean isFinalStateInFlight(long version) {
        return finalStateInFlight && versionInFlight == version;
    }

    void onWriteConfirmed(long version, long newRevision) {
        durableVersion = Math.max(durableVersion, version);
        revision = Math.max(revision, newRevision);
        if (versionInFlight == version) {
            versionInFlight = NO_VERSION;
            becomeIdle();
        }
    }

    /**
     * The write was not executed; what it held is still to be written, not before the given time.
     */
    void onWriteRefused(long retryAtMicros) {
        versionInFlight = NO_VERSION;
        finalStateInFlight = false;
        if (exchange == Exchange.WRITING) {
            exchange = Exchange.IDLE;
        }
        requestWrite(WriteUrgency.IMMEDIATE);
        this.retryAtMicros = retryAtMicros;
    }

    // Reads.

    /** Nothing may be concluded from the last write: the record is read before the next one. */
    void requireRead() {
        if (!isReplaced()) {
            exchange = Exchange.READ_NEEDED;
        }
    }

    /** A read leaves; if it gets no answer another may leave at the given time. */
    void startRead(long retryAtMicros) {
        exchange = Exchange.READING;
        this.retryAtMicros = retryAtMicros;
    }

    /** The read got no answer; another may leave at the given time. */
    void onReadFailed(long retryAtMicros) {
        exchange = Exchange.READ_NEEDED;
        this.retryAtMicros = retryAtMicros;
    }

    /** The record was read: everything is written again, on the revision that was read. */
    void onRecordRead() {
        versionInFlight = NO_VERSION;
        finalStateInFlight = false;
        becomeIdle();
        requestWrite(WriteUrgency.IMMEDIATE);
    }

    /** The read found no record: a final state that is not this leader's has taken its place. */
    void onReplaced() {
        exchange = Exchange.REPLACED;
        pendingReason = WriteUrgency.NONE;
    }

    private void becomeIdle() {
        if (!isReplaced()) {
            exchange = Exchange.IDLE;
        }
    }
}
