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

/** A machine as the leader knows it, with the agent on it. */
public final class Machine {
    /** For a time that has not come or is not known. */
    private static final long UNKNOWN_MICROS = -1;

    public final String host;
    public final String machineType;
    public final String zone;
    public final boolean spot;

    /** When this leader first met the machine's name. */
    public final long firstSeenMicros;

    /** What is known of the agent's messages, and whether it receives ours. */
    public final AgentLiveness liveness;

    /** The images that its cache should hold. */
    public final ImageCache images = new ImageCache();

    final MachineRecordState recordState;
    final MachineLifecycle lifecycle;
    final CommandChannel commands = new CommandChannel();

    /** Jobs whose tasks failed here lately, and when the last one of each did. */
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

    /** A machine of which the record is stored, or that was rented, listed, or named. */
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

    /** By another node's time of day, which may be ahead of ours. */
    private static long rentedForMicros(MachineRecord record, SchedulerState state) {
        return record.lifecycle() == null
                ? 0
                : Math.max(0, state.wallMicros() - record.lifecycle().rentedWallMicros());
    }

    // Existence and record

    /** The machine exists, or did: it is recorded, and deleted if need be. */
    public void confirmExistence() {
        if (!confirmed) {
            confirmed = true;
            markForPersistence();
        }
    }

    /**
     * True if it was rented, listed or recorded, or its agent was certainly there: it is more than
     * a name in a heartbeat.
     */
    public boolean isConfirmed() {
        return confirmed;
    }

    /** There may be something to write of the machine, or it may have to be deleted. */
    void markForPersistence() {
        state.markForPersistence(this);
    }

    /** The record of the present state, in the form that is in force now. */
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

    /** Its record stands in the store as it should. */
    public void onRecorded(long newRevision) {
        recordState.onRecorded(newRevision);
    }

    public boolean isRecorded() {
        return recordState.isRecorded();
    }

    /** True while a write, read or deletion of the record is under way. */
    public boolean isRecordRequestInFlight() {
        return recordState.isRequestInFlight();
    }

    /** True while a write that began at the given moment or before may still change the record. */
    public boolean mayRecordChange(long sinceMicros) {
        return recordState.mayChange(sinceMicros);
    }

    /** Has the record written in the form that is in force now. */
    public void requestRewrite() {
        recordState.requestRewrite();
        markForPersistence();
    }

    /** True if the record is to be written once more, as its form has changed. */
    public boolean isRewriteNeeded() {
        return recordState.isRewriteNeeded();
    }

    /** True if the stored record says that an agent on the machine has reported. */
    public boolean isHeartbeatRecorded() {
        return recordState.isReportedRecorded();
    }

    /** True if the record, and not only this leader, knows since when the machine is rented. */
    public boolean isRentalTimeRecorded() {
        return rentalTimeRecorded;
    }

    // Lifecycle

    /** The cloud has just rented it. */
    public void onRented(long nowMicros) {
        rentedMicros = nowMicros;
    }

    /** The cloud lists it as rented since this time, or later. */
    void onListedAsRented(long sinceMicros) {
        rentedMicros = Math.min(rentedMicros, sinceMicros);
    }

    public long rentedMicros() {
        return rentedMicros;
    }

    /** The machine is to be deleted, once it is empty. */
    public void decommission() {
        lifecycle.decommission();
        markForPersistence();
    }

    /** Gives it up while its lease may still run: it is deleted without being emptied first. */
    public void abandon() {
        lifecycle.abandon();
        markForPersistence();
    }

    /** The cloud lists it as failed. */
    void fail() {
        lifecycle.fail();
        markForPersistence();
    }

    /** True from the moment at which it is decommissioned, also when it is deleted. */
    public boolean isDecommissioning() {
        return lifecycle.isDecommissioning();
    }

    /** True once the cloud has confirmed the deletion. */
    public boolean isDeleted() {
        return lifecycle.isDeleted();
    }

    /** When the cloud takes a spot machine away, or -1. */
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

    /** When a heartbeat of the agent was last answered, which renewed its lease, or -1. */
    public long lastLeaseRenewalMicros() {
        return lastLeaseRenewalMicros;
    }

    /** The agent's lease may run from now, as its heartbeat is answered or it was restarted. */
    void onLeaseRenewed() {
        lastLeaseRenewalMicros = state.nowMicros();
    }

    /**
     * True once the agent has acknowledged a token of this term, and so refuses earlier leaders.
     */
    public boolean hasAcknowledgedTerm() {
        return liveness.hasAcknowledgedTerm();
    }

    public boolean isKnownAlive() {
        return liveness.isKnownAlive();
    }

    /** True for an agent that was in touch lately and whose lease is not known to be over. */
    public boolean isUp() {
        return hasAcknowledgedTerm() && liveness.incarnation() >= liveness.minIncarnation();
    }

    /** There may be something to send to the agent. */
    public void markPendingCommands() {
        state.markPendingCommands(this);
    }

    /** Has the present token sent to the agent, with or without commands. */
    public void requestToken() {
        commands.requestToken();
        markPendingCommands();
    }

    /** False after a direct command went unanswered; starts go in heartbeats' answers then. */
    public boolean acceptsDirectCommands(long nowMicros) {
        return !commands.isPaused(nowMicros);
    }

    /** Until when it gets no tasks because tasks of several jobs failed on it. */
    public long quarantinedUntilMicros() {
        return quarantinedUntilMicros;
    }

    void quarantineUntil(long micros) {
        quarantinedUntilMicros = micros;
    }

    /** Until when it gets no tasks because it refused one. */
    public long placementPausedUntilMicros() {
        return placementPausedUntilMicros;
    }

    void pausePlacementUntil(long micros) {
        placementPausedUntilMicros = micros;
    }

    // Attempts and resources

    /** Its type with capacity and prices, or null while the cloud has not told of that type. */
    public MachineType type() {
        return type;
    }

    /** Sets the type and with it the capacity; null if the cloud has not told of that type. */
    public void setType(MachineType newType) {
        type = newType;
        resources.setCapacity(newType == null ? Resources.NONE : Resources.of(newType));
    }

    /** The price of a CPU by the prices last seen; 0 while they are unknown. */
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

    /** A copy of the attempts, for loops that remove. */
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

    /** The capacity minus what is in use; negative where recorded attempts use more. */
    public Resources balance() {
        return resources.balance();
    }

    public Resources free() {
        return resources.balance().clampToNonNegative();
    }

    /** To be called when a task that is here is told to stop. */
    public void onStopping(TaskAttempt attempt) {
        markPendingCommands();
        resources.onStopping(attempt);
    }

    /** To be called when the priority of a task's job has changed. */
    public void onPriorityChanged(TaskAttempt attempt, Priority previous) {
        resources.onPriorityChanged(attempt, previous);
    }

    /** True if resources will come free here without anything more being stopped. */
    public boolean hasStoppingTasks() {
        return resources.hasStoppingTasks();
    }

    /** True if a task of a lower priority is here that is not stopping. */
    public boolean hasTasksBelow(Priority priority) {
        return resources.hasTasksBelow(priority);
    }

    /** A task of the job has run here, so its image is in the cache. */
    void onImageUsed(Job job) {
        images.touch(
                job.description.image(),
                job.description.imageGb(),
                type == null ? 0 : type.imageCacheGb());
    }

    /** Since when nothing is on it, while nothing is. */
    public long idleSinceMicros() {
        return idleSinceMicros;
    }

    /** The idle time counts from now. */
    void restartIdleTime() {
        idleSinceMicros = state.nowMicros();
    }
}
