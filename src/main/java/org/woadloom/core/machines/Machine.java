package org.woadloom.core.machines;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.liveness.AgentLiveness;
import org.woadloom.core.placement.Resources;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.Priority;
import org.woadloom.protocol.TaskId;
import org.woadloom.store.MachineRecord;

/** A machine as the leader knows it. */
public final class Machine {
    public final String host;
    public final String machineType;
    public final String zone;
    public final boolean spot;
    private final SchedulerState state;

    /** What the worker has said, and whether it hears us. */
    public final AgentLiveness liveness;

    MachineType type;
    private Resources capacity = Resources.NONE;
    String address = "";

    long lastAnsweredMicros = -1;

    /** When the cloud takes the machine away, or -1. */
    long spotTerminationMicros = -1;

    // The record.
    long revision;
    boolean recorded;
    boolean writing;
    boolean reading;
    boolean decommissioningRecorded;
    long retryAtMicros;

    /** The stored record says that the worker was heard. */
    boolean reportedRecorded;

    /** When the last write of the record began. */
    long writeStartedMicros = Long.MIN_VALUE / 2;

    /** The record as it is being written says so. */
    boolean reportedInWrite;

    /** The record is to be written once more, as its form has changed. */
    boolean rewriteNeeded;

    /**
     * When it was rented is known from the record, and not only since when this leader knows it.
     */
    boolean lifecycleKnown;

    // Its coming and going.
    public final long firstSeenMicros;

    /**
     * It was rented, listed or recorded, or its worker was certainly there: more than a name in a
     * report.
     */
    private boolean isConfirmed;

    long rentedMicros;
    long idleSinceMicros;
    boolean decommissioning;
    boolean deleting;
    boolean deleted;
    boolean listedAsFailed;

    /** Given up while its lease may still run: it is deleted without being emptied. */
    boolean abandoned;

    // Direct commands.
    long commandInFlight;
    long directRetryAtMicros;
    private boolean requestToken;

    /** When it was last spoken to because it was silent. */
    long lastProbeMicros = AgentLiveness.NEVER;

    long quarantinedUntilMicros;
    long refusesUntilMicros;
    public final Map<String, Long> failedJobs = new LinkedHashMap<>();
    public final ImageCache images = new ImageCache();
    private final Map<TaskId, TaskAttempt> attempts = new LinkedHashMap<>();
    private Resources used = Resources.NONE;

    /** What is in use taken from the size, or null after a change. */
    private Resources balance;

    /** How many tasks of each rank are here that have not been told to stop. */
    private final int[] runningByPriority = new int[Priority.values().length];

    private int stoppingTasks;

    public Machine(MachineRecord record, SchedulerState state) {
        this.host = record.host();
        this.machineType = record.machineType();
        this.zone = record.zone();
        this.spot = record.spot();
        this.decommissioning = record.decommissioning();
        this.decommissioningRecorded = record.decommissioning();
        this.state = state;
        this.firstSeenMicros = state.nowMicros();
        this.liveness = new AgentLiveness(state.term(), state.minFence(), state.livenessTimeouts());
        this.lifecycleKnown = record.lifecycle() != null;
        this.reportedRecorded = lifecycleKnown && record.lifecycle().hasReported();
        // By another node's time of day, which may be ahead of ours.
        this.rentedMicros =
                state.nowMicros()
                        - (lifecycleKnown
                                ? Math.max(
                                        0,
                                        state.wallMicros() - record.lifecycle().rentedWallMicros())
                                : 0);
        this.idleSinceMicros = state.nowMicros();
    }

    /** The machine exists, or did: it is recorded, and returned if need be. */
    public void confirmExistence() {
        if (!isConfirmed) {
            isConfirmed = true;
            markForPersistence();
        }
    }

    public boolean isConfirmed() {
        return isConfirmed;
    }

    /** There may be something to send to the worker. */
    public void markPendingCommands() {
        state.markPendingCommands(this);
    }

    /** There may be something to write of the machine, or to do about its going. */
    void markForPersistence() {
        state.markForPersistence(this);
    }

    /** The machine is to be given back, once nothing is on it. */
    public void decommission() {
        decommissioning = true;
        markForPersistence();
    }

    public MachineRecord toRecord() {
        return new MachineRecord(
                host,
                machineType,
                zone,
                spot,
                decommissioning,
                state.recordsMachineLifecycle()
                        ? new MachineRecord.Lifecycle(
                                state.wallMicros() - (state.nowMicros() - rentedMicros),
                                isKnownAlive() || reportedRecorded)
                        : null);
    }

    /** True while a write that began at the given moment or before may still change the record. */
    public boolean mayRecordChange(long sinceMicros) {
        return (writing || reading) && writeStartedMicros <= sinceMicros;
    }

    /** Has the record written in the form that is in force now. */
    public void rewriteNeeded() {
        rewriteNeeded = true;
        markForPersistence();
    }

    /** Has the present token sent to the worker, with or without orders. */
    public void requestToken() {
        requestToken = true;
        markPendingCommands();
    }

    boolean tokenDue() {
        return requestToken;
    }

    boolean takeTokenDue() {
        boolean due = requestToken;
        requestToken = false;
        return due;
    }

    /**
     * True once the worker has acknowledged a token of this term: no earlier leader can reach it
     * any more.
     */
    public boolean hasAcknowledgedTerm() {
        return liveness.hasAcknowledgedTerm();
    }

    public boolean isKnownAlive() {
        return liveness.isKnownAlive();
    }

    /** True for a worker that was in touch lately and whose lease is not known to be over. */
    public boolean isUp() {
        return hasAcknowledgedTerm() && liveness.incarnation() >= liveness.minIncarnation();
    }

    /**
     * True unless a direct command went unanswered just now; launches go in answers to reports
     * then.
     */
    public boolean acceptsDirectCommands(long nowMicros) {
        return nowMicros >= directRetryAtMicros;
    }

    public void add(TaskAttempt attempt) {
        attempts.put(attempt.task(), attempt);
        used = used.plus(attempt.job.taskResources);
        balance = null;
        if (attempt.isStopping()) {
            stoppingTasks++;
        } else {
            runningByPriority[attempt.job.priority().ordinal()]++;
        }
    }

    public void remove(TaskAttempt attempt) {
        if (attempts.remove(attempt.task(), attempt)) {
            used = used.minus(attempt.job.taskResources);
            balance = null;
            if (attempt.isStopping()) {
                stoppingTasks--;
            } else {
                runningByPriority[attempt.job.priority().ordinal()]--;
            }
        }
    }

    public Collection<TaskAttempt> attempts() {
        return attempts.values();
    }

    /** A copy, for loops that remove. */
    public List<TaskAttempt> snapshot() {
        return new ArrayList<>(attempts.values());
    }

    public boolean isEmpty() {
        return attempts.isEmpty();
    }

    public Resources used() {
        return used;
    }

    public Resources capacity() {
        return capacity;
    }

    public void setCapacity(Resources to) {
        capacity = to;
        balance = null;
    }

    /** Its size without what is in use; negative where more is recorded than it has. */
    public Resources balance() {
        if (balance == null) {
            balance = capacity.minus(used);
        }
        return balance;
    }

    /** What a processor costs here, by the prices last seen; 0 while they are unknown. */
    public double pricePerCpu() {
        return type == null || type.cpus() <= 0
                ? 0
                : (spot ? type.spotPrice() : type.onDemandPrice()) / type.cpus();
    }

    public Resources free() {
        return balance().withoutNegatives();
    }

    /** To be called when a task that is here is told to stop. */
    public void onStopping(TaskAttempt attempt) {
        markPendingCommands();
        if (attempts.get(attempt.task()) == attempt) {
            runningByPriority[attempt.job.priority().ordinal()]--;
            stoppingTasks++;
        }
    }

    /** To be called when the rank of a task's job has changed. */
    public void onPriorityChanged(TaskAttempt attempt, Priority before) {
        if (attempts.get(attempt.task()) == attempt && !attempt.isStopping()) {
            runningByPriority[before.ordinal()]--;
            runningByPriority[attempt.job.priority().ordinal()]++;
        }
    }

    /** True if room will come free here without anything more being stopped. */
    public boolean hasStoppingTasks() {
        return stoppingTasks > 0;
    }

    /** True if a task of a lower rank is here that has not been told to stop. */
    public boolean hasTasksBelow(Priority priority) {
        for (int i = 0; i < priority.ordinal(); i++) {
            if (runningByPriority[i] > 0) {
                return true;
            }
        }
        return false;
    }

    public MachineType type() {
        return type;
    }

    public String address() {
        return address;
    }

    public long lastAnsweredMicros() {
        return lastAnsweredMicros;
    }

    /** When the cloud takes the machine away, or -1. */
    public long spotTerminationMicros() {
        return spotTerminationMicros;
    }

    public long revision() {
        return revision;
    }

    public boolean isRecorded() {
        return recorded;
    }

    public boolean isWriting() {
        return writing;
    }

    public boolean isReading() {
        return reading;
    }

    public boolean isDecommissioningRecorded() {
        return decommissioningRecorded;
    }

    public long retryAtMicros() {
        return retryAtMicros;
    }

    /** The stored record says that the worker was heard. */
    public boolean isReportedRecorded() {
        return reportedRecorded;
    }

    /** The record is to be written once more, as its form has changed. */
    public boolean isRewriteNeeded() {
        return rewriteNeeded;
    }

    /**
     * When it was rented is known from the record, and not only since when this leader knows it.
     */
    public boolean isLifecycleKnown() {
        return lifecycleKnown;
    }

    public long rentedMicros() {
        return rentedMicros;
    }

    public long idleSinceMicros() {
        return idleSinceMicros;
    }

    public boolean isDecommissioning() {
        return decommissioning;
    }

    public boolean isDeleting() {
        return deleting;
    }

    public boolean isDeleted() {
        return deleted;
    }

    public boolean isListedAsFailed() {
        return listedAsFailed;
    }

    /** Given up while its lease may still run: it is deleted without being emptied. */
    public boolean isAbandoned() {
        return abandoned;
    }

    public long commandInFlight() {
        return commandInFlight;
    }

    public long directRetryAtMicros() {
        return directRetryAtMicros;
    }

    public long quarantinedUntilMicros() {
        return quarantinedUntilMicros;
    }

    public long refusesUntilMicros() {
        return refusesUntilMicros;
    }

    /** Sets what kind of machine it is, null while the cloud has not told of that kind. */
    public void setType(MachineType newType) {
        type = newType;
        setCapacity(newType == null ? Resources.NONE : Resources.of(newType));
    }

    /** The cloud has just rented it. */
    public void onRented(long nowMicros) {
        rentedMicros = nowMicros;
    }

    /** Gives it up while its lease may still run: it is deleted without being emptied first. */
    public void abandon() {
        decommission();
        abandoned = true;
    }

    /** Its record stands in the store as it should. */
    public void onRecorded(long newRevision) {
        recorded = true;
        revision = newRevision;
    }
}
