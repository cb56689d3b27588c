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
    private final SchedulerState world;

    /** What the worker has said, and whether it hears us. */
    public final AgentLiveness hearing;

    public MachineType type;
    private Resources size = Resources.NONE;
    public String addr = "";

    public long lastAnsweredMicros = -1;

    /** When the cloud takes the machine away, or -1. */
    public long takenMicros = -1;

    // The record.
    public long revision;
    public boolean recorded;
    public boolean writing;
    public boolean reading;
    public boolean leavingRecorded;
    public long retryMicros;

    /** The stored record says that the worker was heard. */
    public boolean upRecorded;

    /** When the last write of the record began. */
    long writeBegunMicros = Long.MIN_VALUE / 2;

    /** The record as it is being written says so. */
    boolean upWriting;

    /** The record is to be written once more, as its form has changed. */
    public boolean rewrite;

    /**
     * When it was rented is known from the record, and not only since when this leader knows it.
     */
    public boolean lifeKnown;

    // Its coming and going.
    public final long knownSinceMicros;

    /**
     * It was rented, listed or recorded, or its worker was certainly there: more than a name in a
     * report.
     */
    private boolean confirmed;

    public long rentedMicros;
    public long idleSinceMicros;
    public boolean leaving;
    public boolean deleting;
    public boolean deleted;
    public boolean listedFailed;

    /** Given up while its lease may still run: it is deleted without being emptied. */
    public boolean abandoned;

    // Direct commands.
    public long sendInFlight;
    public long directAgainMicros;
    private boolean greet;

    /** When it was last spoken to because it was silent. */
    long probedMicros = AgentLiveness.NEVER;

    public long quarantinedUntilMicros;
    public long fullUntilMicros;
    public final Map<String, Long> failedJobs = new LinkedHashMap<>();
    public final ImageCache images = new ImageCache();
    private final Map<TaskId, TaskAttempt> placements = new LinkedHashMap<>();
    private Resources used = Resources.NONE;

    /** What is in use taken from the size, or null after a change. */
    private Resources room;

    /** How many tasks of each rank are here that have not been told to stop. */
    private final int[] byRank = new int[Priority.values().length];

    private int halting;

    public Machine(MachineRecord record, SchedulerState world) {
        this.host = record.host();
        this.machineType = record.machineType();
        this.zone = record.zone();
        this.spot = record.spot();
        this.leaving = record.decommissioning();
        this.leavingRecorded = record.decommissioning();
        this.world = world;
        this.knownSinceMicros = world.nowMicros;
        this.hearing = new AgentLiveness(world.term, world.leastFence, world.hearingRules);
        this.lifeKnown = record.lifecycle() != null;
        this.upRecorded = lifeKnown && record.lifecycle().hasReported();
        // By another node's time of day, which may be ahead of ours.
        this.rentedMicros =
                world.nowMicros
                        - (lifeKnown
                                ? Math.max(
                                        0, world.wallMicros - record.lifecycle().rentedWallMicros())
                                : 0);
        this.idleSinceMicros = world.nowMicros;
    }

    /** The machine exists, or did: it is recorded, and returned if need be. */
    public void confirm() {
        if (!confirmed) {
            confirmed = true;
            unsettle();
        }
    }

    public boolean confirmed() {
        return confirmed;
    }

    /** There may be something to send to the worker. */
    public void attend() {
        world.attentive.add(this);
    }

    /** There may be something to write of the machine, or to do about its going. */
    void unsettle() {
        world.unsettled.add(this);
    }

    /** The machine is to be given back, once nothing is on it. */
    public void leave() {
        leaving = true;
        unsettle();
    }

    public MachineRecord toRecord() {
        return new MachineRecord(
                host,
                machineType,
                zone,
                spot,
                leaving,
                world.machineLife
                        ? new MachineRecord.Lifecycle(
                                world.wallMicros - (world.nowMicros - rentedMicros),
                                heard() || upRecorded)
                        : null);
    }

    /** True while a write that began at the given moment or before may still change the record. */
    public boolean mayChange(long sinceMicros) {
        return (writing || reading) && writeBegunMicros <= sinceMicros;
    }

    /** Has the record written in the form that is in force now. */
    public void rewrite() {
        rewrite = true;
        unsettle();
    }

    /** Has the present token sent to the worker, with or without orders. */
    public void greet() {
        greet = true;
        attend();
    }

    boolean greetingDue() {
        return greet;
    }

    boolean takeGreeting() {
        boolean due = greet;
        greet = false;
        return due;
    }

    /**
     * True once the worker has acknowledged a token of this term: no earlier leader can reach it
     * any more.
     */
    public boolean acknowledged() {
        return hearing.acknowledged();
    }

    public boolean heard() {
        return hearing.heard();
    }

    /** True for a worker that was in touch lately and whose lease is not known to be over. */
    public boolean up() {
        return acknowledged() && hearing.incarnation() >= hearing.leastTenure();
    }

    /**
     * True unless a direct command went unanswered just now; launches go in answers to reports
     * then.
     */
    public boolean directWorks(long nowMicros) {
        return nowMicros >= directAgainMicros;
    }

    public void add(TaskAttempt placement) {
        placements.put(placement.task(), placement);
        used = used.plus(placement.job.room);
        room = null;
        if (placement.halting()) {
            halting++;
        } else {
            byRank[placement.job.priority().ordinal()]++;
        }
    }

    public void remove(TaskAttempt placement) {
        if (placements.remove(placement.task(), placement)) {
            used = used.minus(placement.job.room);
            room = null;
            if (placement.halting()) {
                halting--;
            } else {
                byRank[placement.job.priority().ordinal()]--;
            }
        }
    }

    public Collection<TaskAttempt> placements() {
        return placements.values();
    }

    /** A copy, for loops that remove. */
    public List<TaskAttempt> snapshot() {
        return new ArrayList<>(placements.values());
    }

    public boolean empty() {
        return placements.isEmpty();
    }

    public Resources used() {
        return used;
    }

    public Resources size() {
        return size;
    }

    public void resize(Resources to) {
        size = to;
        room = null;
    }

    /** Its size without what is in use; negative where more is recorded than it has. */
    public Resources room() {
        if (room == null) {
            room = size.minus(used);
        }
        return room;
    }

    /** What a processor costs here, by the prices last seen; 0 while they are unknown. */
    public double pricePerCpu() {
        return type == null || type.cpus() <= 0
                ? 0
                : (spot ? type.spotPrice() : type.onDemandPrice()) / type.cpus();
    }

    public Resources free() {
        return room().floor();
    }

    /** To be called when a task that is here is told to stop. */
    public void halted(TaskAttempt placement) {
        attend();
        if (placements.get(placement.task()) == placement) {
            byRank[placement.job.priority().ordinal()]--;
            halting++;
        }
    }

    /** To be called when the rank of a task's job has changed. */
    public void reranked(TaskAttempt placement, Priority before) {
        if (placements.get(placement.task()) == placement && !placement.halting()) {
            byRank[before.ordinal()]--;
            byRank[placement.job.priority().ordinal()]++;
        }
    }

    /** True if room will come free here without anything more being stopped. */
    public boolean hasHalting() {
        return halting > 0;
    }

    /** True if a task of a lower rank is here that has not been told to stop. */
    public boolean hasBelow(Priority priority) {
        for (int i = 0; i < priority.ordinal(); i++) {
            if (byRank[i] > 0) {
                return true;
            }
        }
        return false;
    }
}
