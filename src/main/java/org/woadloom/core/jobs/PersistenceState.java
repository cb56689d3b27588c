package org.woadloom.core.jobs;

/**
 * Tracks how far a job's stored record reflects what the scheduler knows.
 *
 * <p>Each write has a version, counted per job and term. At most one request is in flight per job;
 * its state is the {@link RequestState}:
 *
 * <pre>
 * IDLE ----- startWrite --------------------------&gt; WRITING
 * WRITING -- onWriteConfirmed, onWriteRefused -----&gt; IDLE
 * WRITING -- requireRead (outcome unknown) -------&gt; READ_NEEDED
 * READ_NEEDED -- startRead -----------------------&gt; READING
 * READING -- onReadFailed ------------------------&gt; READ_NEEDED
 * READING -- onRecordRead ------------------------&gt; IDLE
 * READING -- onReplaced --------------------------&gt; REPLACED (terminal)
 * </pre>
 */
public final class PersistenceState {
    /** How urgently the record must be written, from least to most urgent. */
    public enum WriteUrgency {
        NONE,
        /** A task has changed state without ending, such as from pulling its image to running. */
        TASK_PROGRESS,
        /** A task has ended or was lost. */
        TASK_ENDED,
        /** A user or a start command waits for the write. */
        IMMEDIATE
    }

    private enum RequestState {
        IDLE,
        WRITING,
        /** A write failed with a conflict or got no response, so the stored record must be read. */
        READ_NEEDED,
        READING,
        /** Another writer's final state has replaced the record. */
        REPLACED
    }

    private static final long NO_VERSION = 0;

    private final Runnable onWriteNeeded;
    private RequestState requestState = RequestState.IDLE;
    private long revision;
    private long durableVersion;

    /** The first version that has all tasks completed. */
    private long completionVersion = NO_VERSION;

    /** The version of the last write while its outcome is unknown. */
    private long versionInFlight = NO_VERSION;

    private long nextVersion = 1;
    private WriteUrgency pendingUrgency = WriteUrgency.NONE;
    private boolean readAsComplete;
    private boolean finalStateInFlight;

    /** Half of the range, so that subtracting it cannot overflow. */
    private long lastWriteMicros = Long.MIN_VALUE / 2;

    private long retryAtMicros;

    /**
     * @param onWriteNeeded called when the urgency of the pending write rises
     */
    PersistenceState(long revision, Runnable onWriteNeeded) {
        this.revision = revision;
        this.onWriteNeeded = onWriteNeeded;
    }

    // Pending work.

    /** Requests a write. If one is pending already, the more urgent of the two applies. */
    public void requestWrite(WriteUrgency urgency) {
        if (urgency.compareTo(pendingUrgency) > 0) {
            pendingUrgency = urgency;
            onWriteNeeded.run();
        }
    }

    WriteUrgency pendingUrgency() {
        return pendingUrgency;
    }

    /** True while a write or a read is pending. */
    boolean hasPendingRequest() {
        return pendingUrgency != WriteUrgency.NONE || isReadNeeded();
    }

    /**
     * True while the record must be read before the next write, including while that read is in
     * flight.
     */
    boolean isReadNeeded() {
        return requestState == RequestState.READ_NEEDED || requestState == RequestState.READING;
    }

    boolean isReading() {
        return requestState == RequestState.READING;
    }

    boolean isIdle() {
        return requestState == RequestState.IDLE;
    }

    /**
     * True once another writer's final state has replaced the record; nothing is written after
     * that.
     */
    boolean isReplaced() {
        return requestState == RequestState.REPLACED;
    }

    /** The earliest time of the next request. */
    long retryAtMicros() {
        return retryAtMicros;
    }

    /** When the last write was sent; far in the past if there was none. */
    long lastWriteMicros() {
        return lastWriteMicros;
    }

    // Versions and revisions.

    /** The version of the next write. A change made now is durable once this version is. */
    public long nextVersion() {
        return nextVersion;
    }

    /** The highest version known to be in the store. */
    public long durableVersion() {
        return durableVersion;
    }

    /**
     * Records that the store holds this version of the current term, whether or not the write got a
     * response.
     */
    void onVersionRead(long version) {
        durableVersion = version;
    }

    /**
     * The latest known revision of the record in the store; the next write is conditional on it.
     */
    long revision() {
        return revision;
    }

    void onRevisionRead(long readRevision) {
        revision = readRevision;
    }

    /**
     * True once the stored record has all tasks completed. The job may be cancelled nevertheless,
     * see {@link Job#durableOutcome}.
     */
    boolean isCompletionDurable() {
        return readAsComplete
                || (completionVersion != NO_VERSION && durableVersion >= completionVersion);
    }

    /** Records that all tasks are completed in the record that was read. */
    void onReadAsComplete() {
        readAsComplete = true;
    }

    // Writes.

    /**
     * Starts a write.
     *
     * @param allCompleted whether the written record has all tasks completed
     * @return the version of the write
     */
    long startWrite(long nowMicros, boolean allCompleted) {
        requestState = RequestState.WRITING;
        versionInFlight = nextVersion++;
        if (allCompleted && completionVersion == NO_VERSION) {
            completionVersion = versionInFlight;
        }
        pendingUrgency = WriteUrgency.NONE;
        lastWriteMicros = nowMicros;
        return versionInFlight;
    }

    /** Starts the write of the job's final state. */
    long startFinalWrite(long nowMicros, boolean allCompleted) {
        finalStateInFlight = true;
        return startWrite(nowMicros, allCompleted);
    }

    /** True if this version is in flight, or its outcome is unknown. */
    boolean isInFlight(long version) {
        return versionInFlight == version;
    }

    /** True if the write in flight is of the final state and has this version. */
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
     * Handles a write that was not executed. Its changes stay pending, and the retry waits until
     * the given time.
     */
    void onWriteRefused(long retryAtMicros) {
        versionInFlight = NO_VERSION;
        finalStateInFlight = false;
        if (requestState == RequestState.WRITING) {
            requestState = RequestState.IDLE;
        }
        requestWrite(WriteUrgency.IMMEDIATE);
        this.retryAtMicros = retryAtMicros;
    }

    // Reads.

    /** The outcome of the last write is unknown; requires a read before the next write. */
    void requireRead() {
        if (!isReplaced()) {
            requestState = RequestState.READ_NEEDED;
        }
    }

    /** Starts a read. If it gets no response, another one may start at the given time. */
    void startRead(long retryAtMicros) {
        requestState = RequestState.READING;
        this.retryAtMicros = retryAtMicros;
    }

    /** Handles a read without a response; another one may start at the given time. */
    void onReadFailed(long retryAtMicros) {
        requestState = RequestState.READ_NEEDED;
        this.retryAtMicros = retryAtMicros;
    }

    /**
     * Handles a completed read: the whole state is written again, conditional on the revision that
     * was read.
     */
    void onRecordRead() {
        versionInFlight = NO_VERSION;
        finalStateInFlight = false;
        becomeIdle();
        requestWrite(WriteUrgency.IMMEDIATE);
    }

    /** Handles a read that found no record: another writer's final state has replaced it. */
    void onReplaced() {
        requestState = RequestState.REPLACED;
        pendingUrgency = WriteUrgency.NONE;
    }

    private void becomeIdle() {
        if (!isReplaced()) {
            requestState = RequestState.IDLE;
        }
    }
}
