package org.woadloom.core.machines;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.liveness.AgentLiveness;
import org.woadloom.core.placement.Resources;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.Priority;
import org.woadloom.store.MachineRecord;

/** The leader's view of a machine and of the agent on it. */
public final class Machine {
    /** Stands for a time that is not known. */
    private static final long UNKNOWN_MICROS = -1;

    public final String host;
    public final String machineType;
    public final String zone;
    public final boolean spot;

    /** When this leader first saw the machine's host name. */
    public final long firstSeenMicros;

    /** When the agent was last alive, and whether our messages reach it. */
    public final AgentLiveness liveness;

    /** The estimated content of its image cache. */
    public final ImageCache images = new ImageCache();

    final MachineRecordState recordState;
    final MachineLifecycle lifecycle;
    final CommandChannel commands = new CommandChannel();

    /** The jobs whose tasks failed here recently, with the time of the latest failure of each. */
    final Map<String, Long> failedJobs = new LinkedHashMap<>();

    private final SchedulerState state;
    private final ResourceAccount resources = new ResourceAccount();
    private final boolean rentalTimeRecorded;
    private MachineType type;
    private String address = "";
    private boolean confirmed;
    private long rentedMicros;
    private long idleSinceMicros;
    private long lastLeaseRenewalMicros = UNKNOWN_MICROS;
    private long spotTerminationMicros = UNKNOWN_MICROS;
    private long quarantinedUntilMicros;
    private long placementPausedUntilMicros;

    /**
     * A machine whose record is stored, or that was rented, listed by the cloud, or named in a
     * heartbeat.
     */
    public Machine(MachineRecord record, SchedulerState state) {
        this.host = record.host();
        this.machineType = record.machineType();
        this.zone = record.zone();
        this.spot = record.spot();
        this.state = state;
        this.firstSeenMicros = state.nowMicros();
        this.liveness = new AgentLiveness(state.term(), state.minFence(), state.livenessTimeouts());
        this.recordState = new MachineRecordState(record);
        this.lifecycle = new MachineLifecycle(record.decommissioning());
        this.rentalTimeRecorded = record.lifecycle() != null;
        this.rentedMicros = state.nowMicros() - rentedForMicros(record, state);
        this.idleSinceMicros = state.nowMicros();
    }

    /**
     * How long ago the machine was rented. The recorded time is from another node's wall clock,
     * which may be ahead of ours, so a negative difference counts as 0.
     */
    private static long rentedForMicros(MachineRecord record, SchedulerState state) {
        return record.lifecycle() == null
                ? 0
                : Math.max(0, state.wallMicros() - record.lifecycle().rentedWallMicros());
    }

    // Existence and record

    /** Notes that the machine exists or has existed, so that its record is written. */
    public void confirmExistence() {
        if (!confirmed) {
            confirmed = true;
            markForPersistence();
        }
    }

    /**
     * True if the machine was rented, listed by the cloud or recorded, or its agent was proven
     * alive. Otherwise it is only a host name in a heartbeat that may be an old duplicate.
     */
    public boolean isConfirmed() {
        return confirmed;
    }

    /**
     * Queues the machine for a check whether its record has to be written or the machine deleted.
     */
    void markForPersistence() {
        state.markForPersistence(this);
    }

    /** Returns the record of the current state, in the format in which records are now written. */
    public MachineRecord toRecord() {
        MachineRecord.Lifecycle recordedLifecycle =
                state.recordsMachineLifecycle()
                        ? new MachineRecord.Lifecycle(
                                state.wallMicros() - (state.nowMicros() - rentedMicros),
                                isKnownAlive() || isHeartbeatRecorded())
                        : null;
        return new MachineRecord(
                host, machineType, zone, spot, isDecommissioning(), recordedLifecycle);
    }

    /** Notes that the stored record is up to date, at the given revision. */
    public void onRecorded(long newRevision) {
        recordState.onRecorded(newRevision);
    }

    public boolean isRecorded() {
        return recordState.isRecorded();
    }

    /** True while a write, read or deletion of the record is in flight. */
    public boolean isRecordRequestInFlight() {
        return recordState.isRequestInFlight();
    }

    /**
     * True while a write that started at or before the given time may still change the stored
     * record.
     */
    public boolean mayRecordChange(long sinceMicros) {
        return recordState.mayChange(sinceMicros);
    }

    /**
     * Requests that the record be written again, in the format in which records are now written.
     */
    public void requestRewrite() {
        recordState.requestRewrite();
        markForPersistence();
    }

    /** True if a rewrite was requested and its write has not started yet. */
    public boolean isRewriteNeeded() {
        return recordState.isRewriteNeeded();
    }

    /** True if the stored record says that the machine's agent has sent a heartbeat. */
    public boolean isHeartbeatRecorded() {
        return recordState.isHeartbeatRecorded();
    }

    /**
     * True if the rental time was read from the record. Otherwise it is when this leader first saw
     * the machine, until the cloud tells it.
     */
    public boolean isRentalTimeRecorded() {
        return rentalTimeRecorded;
    }

    // Lifecycle

    /** The cloud has just rented the machine to us. */
    public void onRented(long nowMicros) {
        rentedMicros = nowMicros;
    }

    /** Moves the rental time back to the one that the cloud lists, if that is earlier. */
    void onListedAsRented(long sinceMicros) {
        rentedMicros = Math.min(rentedMicros, sinceMicros);
    }

    public long rentedMicros() {
        return rentedMicros;
    }

    /** Marks the machine for deletion once it is empty. */
    public void decommission() {
        lifecycle.decommission();
        markForPersistence();
    }

    /**
     * Marks the machine for deletion without draining it first, although the agent's lease may
     * still be valid.
     */
    public void abandon() {
        lifecycle.abandon();
        markForPersistence();
    }

    /**
     * Marks the machine for deletion without draining it first, because the cloud lists it as
     * failed.
     */
    void fail() {
        lifecycle.fail();
        markForPersistence();
    }

    /** True once the machine is marked for deletion, and still true after it is deleted. */
    public boolean isDecommissioning() {
        return lifecycle.isDecommissioning();
    }

    /** True once the cloud has confirmed the deletion. */
    public boolean isDeleted() {
        return lifecycle.isDeleted();
    }

    /** When the cloud will reclaim a spot machine, or -1 if it has given no notice. */
    public long spotTerminationMicros() {
        return spotTerminationMicros;
    }

    void setSpotTermination(long micros) {
        spotTerminationMicros = micros;
    }

    // The agent and commands to it

    /** Where the agent accepts direct commands; empty while that is not known. */
    public String address() {
        return address;
    }

    void setAddress(String newAddress) {
        address = newAddress;
    }

    /**
     * When the agent's lease was last renewed by an answer of this leader, or may have started with
     * a new incarnation; -1 if never.
     */
    public long lastLeaseRenewalMicros() {
        return lastLeaseRenewalMicros;
    }

    /**
     * The agent's lease may run from now on: a heartbeat is answered, or the agent has acknowledged
     * this term or has a new incarnation.
     */
    void onLeaseRenewed() {
        lastLeaseRenewalMicros = state.nowMicros();
    }

    /**
     * True once the agent has acknowledged a token of this term, and so refuses earlier leaders.
     */
    public boolean hasAcknowledgedTerm() {
        return liveness.hasAcknowledgedTerm();
    }

    /** True once the agent was proven alive in this term. A silent agent stays known alive. */
    public boolean isKnownAlive() {
        return liveness.isKnownAlive();
    }

    /**
     * True if the agent has acknowledged a token of this term and its lease is not known to have
     * expired.
     */
    public boolean isUp() {
        return hasAcknowledgedTerm() && liveness.incarnation() >= liveness.minIncarnation();
    }

    /** Queues the machine for a check whether commands have to be sent to its agent. */
    public void markPendingCommands() {
        state.markPendingCommands(this);
    }

    /**
     * Requests that the current fencing token be sent to the agent, even if there are no commands.
     */
    public void requestToken() {
        commands.requestToken();
        markPendingCommands();
    }

    /**
     * False for a while after a direct command failed. Meanwhile starts are sent in the answers to
     * heartbeats.
     */
    public boolean acceptsDirectCommands(long nowMicros) {
        return !commands.isPaused(nowMicros);
    }

    /** The machine gets no tasks before this time, because tasks of several jobs failed on it. */
    public long quarantinedUntilMicros() {
        return quarantinedUntilMicros;
    }

    void quarantineUntil(long micros) {
        quarantinedUntilMicros = micros;
    }

    /** The machine gets no tasks before this time, because its agent refused one. */
    public long placementPausedUntilMicros() {
        return placementPausedUntilMicros;
    }

    void pausePlacementUntil(long micros) {
        placementPausedUntilMicros = micros;
    }

    // Attempts and resources

    /**
     * The machine's type with capacity and prices, or null while the cloud has not listed that
     * type.
     */
    public MachineType type() {
        return type;
    }

    /** Sets the type and with it the capacity; null if the cloud has not listed that type. */
    public void setType(MachineType newType) {
        type = newType;
        resources.setCapacity(newType == null ? Resources.NONE : Resources.of(newType));
    }

    /** The price per CPU at the latest known prices; 0 while they are unknown. */
    public double pricePerCpu() {
        if (type == null || type.cpus() <= 0) {
            return 0;
        }
        return (spot ? type.spotPrice() : type.onDemandPrice()) / type.cpus();
    }

    public void add(TaskAttempt attempt) {
        resources.add(attempt);
    }

    public void remove(TaskAttempt attempt) {
        resources.remove(attempt);
    }

    public Collection<TaskAttempt> attempts() {
        return resources.attempts();
    }

    /** Returns a copy of the attempts, for loops that remove attempts. */
    public List<TaskAttempt> snapshot() {
        return resources.snapshot();
    }

    public boolean isEmpty() {
        return resources.isEmpty();
    }

    public Resources capacity() {
        return resources.capacity();
    }

    public Resources used() {
        return resources.used();
    }

    /**
     * The capacity minus the used resources; negative if recovered attempts use more than the
     * capacity.
     */
    public Resources balance() {
        return resources.balance();
    }

    public Resources free() {
        return resources.balance().clampToNonNegative();
    }

    /** Must be called when a task on this machine is told to stop. */
    public void onStopping(TaskAttempt attempt) {
        markPendingCommands();
        resources.onStopping(attempt);
    }

    /** Must be called when the priority of the job of a task on this machine has changed. */
    public void onPriorityChanged(TaskAttempt attempt, Priority previous) {
        resources.onPriorityChanged(attempt, previous);
    }

    /** True if resources will become free here without stopping more tasks. */
    public boolean hasStoppingTasks() {
        return resources.hasStoppingTasks();
    }

    /** True if a task of lower priority is on the machine and not stopping. */
    public boolean hasTasksBelow(Priority priority) {
        return resources.hasTasksBelow(priority);
    }

    /** Notes that a task of the job has run here, so that its image is in the cache. */
    void onImageUsed(Job job) {
        images.touch(
                job.description.image(),
                job.description.imageGb(),
                type == null ? 0 : type.imageCacheGb());
    }

    /** Since when the machine has been empty; only meaningful while it is. */
    public long idleSinceMicros() {
        return idleSinceMicros;
    }

    /** Lets the idle time start now. */
    void restartIdleTime() {
        idleSinceMicros = state.nowMicros();
    }
}
