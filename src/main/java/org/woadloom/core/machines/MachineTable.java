package org.woadloom.core.machines;

import java.util.ArrayList;
import java.util.List;
import org.woadloom.core.Command;
import org.woadloom.core.Effect;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.World;
import org.woadloom.core.care.Warrant;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.placement.Room;
import org.woadloom.state.MachineRecord;
import org.woadloom.wire.ListedMachine;
import org.woadloom.wire.MachineType;

/** Machines as they are rented, found, recorded and deleted. */
public final class MachineTable {
    private static final long RETRY_MICROS = 300_000;
    private static final long DELETE_RETRY_MICROS = 2_000_000;
    /** Machines of one deletion: the cloud's bound. */
    private static final int MAX_DELETE = 100;
    /** The deletion of a machine with work on it is the proof that the work is gone, so it waits for no other. */
    private static final int MOST_DELETIONS = 2;

    private final World world;
    private final Losses losses;
    /** Deletions that are under way: what is to go meanwhile goes with the next one, as the cloud takes few calls. */
    private int deletions;

    public MachineTable(World world, Losses losses) {
        this.world = world;
        this.losses = losses;
    }

    public void load(Command.StoredMachine stored) {
        Machine machine = create(stored.record());
        machine.confirm();
        machine.recorded = true;
        machine.stamp = stored.stamp();
    }

    /** A machine that was rented or listed; machines that nobody expected are taken over. */
    public Machine adopt(MachineRecord record) {
        Machine machine = reported(record);
        machine.confirm();
        return machine;
    }

    /**
     * A machine that a report names. One that is not known may have been deleted long ago, as copies of reports come late:
     * until it has answered, it is no more than a name, with no record and no part in anything.
     */
    public Machine reported(MachineRecord record) {
        Machine machine = world.machines.get(record.host());
        return machine != null ? machine : create(record);
    }

    private Machine create(MachineRecord record) {
        Machine machine = new Machine(record, world);
        world.machines.put(machine.host, machine);
        setType(machine);
        return machine;
    }

    public void typesSeen(List<MachineType> types) {
        for (MachineType type : types) {
            world.types.put(type.name(), type);
        }
        for (Machine machine : world.machines.values()) {
            setType(machine);
        }
        world.placementWorthTrying = true;
    }

    private void setType(Machine machine) {
        machine.type = world.types.get(machine.hosttype);
        machine.resize(machine.type == null ? Room.NONE : Room.of(machine.type));
    }

    public void listed(List<ListedMachine> machines) {
        for (ListedMachine listed : machines) {
            Machine machine = world.machines.get(listed.uid());
            if (machine == null || !machine.confirmed()) {
                machine = adopt(new MachineRecord(listed.uid(), listed.hosttype(), listed.yard(),
                        listed.reclaimable(), false));
                world.log(LogEntry.info(LogEvent.MACHINE_DISCOVERED).with("machine", machine.host).with("zone", machine.yard));
            }
            // A new leader learns here for how long its machines have been paid for.
            machine.rentedMicros = Math.min(machine.rentedMicros, world.nowMicros - listed.heldMicros());
            if (listed.failed() && !machine.leaving) {
                // A failed machine stays listed until it is deleted, and the deletion's answer is the proof we need.
                machine.leave();
                machine.listedFailed = true;
                world.log(LogEntry.info(LogEvent.MACHINE_FAILED).with("machine", machine.host).with("zone", machine.yard));
            }
            if (machine.addr.isEmpty()) {
                machine.addr = listed.addr();
            }
        }
    }

    /** A node tells how it stands, and gets a warrant for the zone that it is in. */
    public void nodeSpoke(Command.NodeSpoke spoke) {
        world.cancellationsSeenMicros = Math.max(world.cancellationsSeenMicros, spoke.cancellationsSeenMicros());
        String yard = world.settings.nodes().get(spoke.node());
        Warrant warrant = yard == null ? null : world.warrants.heard(spoke.node(), spoke.standing(), settled(yard),
                world.nowMicros);
        if (warrant != null) {
            world.emit(new Effect.GiveWarrant(spoke.node(), warrant));
        }
    }

    /** Up to this moment every cancellation has been carried out in the zone. */
    private long settled(String yard) {
        long settled = world.cancellationsSeenMicros;
        for (Job job : world.jobs.values()) {
            if (job.cancelled && job.placedIn(yard) > 0) {
                settled = Math.min(settled, job.cancelledSinceMicros);
            }
        }
        return settled;
    }

    public void emitWrites() {
        List<String> delete = new ArrayList<>();
        // A machine that is up can take tasks as soon as its record is there; the others have time.
        world.unsettled.removeIf(machine -> machine.deleted ? !machine.recorded && !machine.writing && !machine.reading
                : machine.recorded && !machine.reading && !machine.leaving && !machine.rewrite);
        for (Machine machine : world.unsettled) {
            if (machine.heard() && !machine.recorded && !machine.deleted && !machine.reading && !machine.writing
                    && world.nowMicros >= machine.retryMicros && world.writes.allowsMachine()) {
                put(machine);
            }
        }
        for (Machine machine : world.unsettled) {
            if (world.nowMicros < machine.retryMicros || machine.writing) {
                continue;
            }
            if (machine.reading) {
                machine.writing = true;
                world.emit(new Effect.ReadMachine(machine.host));
            } else if (machine.deleted) {
                if (machine.recorded && world.writes.allowsMachine()) {
                    world.writes.machine();
                    machine.writing = true;
                    world.emit(new Effect.DropMachine(machine.host, machine.stamp));
                }
            } else if (!machine.recorded || machine.leaving != machine.leavingRecorded
                    || machine.rewrite && !machine.deleting) {
                if (world.writes.allowsMachine()) {
                    put(machine);
                }
            } else if (deletions < (machine.abandoned ? MOST_DELETIONS : 1) && machine.leavingRecorded && !machine.deleting
                    && deletable(machine) && delete.size() < MAX_DELETE) {
                machine.deleting = true;
                delete.add(machine.host);
            }
        }
        if (!delete.isEmpty()) {
            deletions++;
            world.log(LogEntry.info(LogEvent.MACHINES_DELETING).with("machines", String.join(",", delete)));
            world.emit(new Effect.Delete(List.copyOf(delete)));
        }
    }

    private void put(Machine machine) {
        world.writes.machine();
        machine.writing = true;
        machine.writeBegunMicros = world.nowMicros;
        MachineRecord record = machine.toRecord();
        machine.upWriting = record.life() != null && record.life().up();
        machine.rewrite = false;
        world.emit(new Effect.PutMachine(record, machine.stamp));
    }

    /** A machine that still answers is emptied first; one that is lost is deleted to get proof. */
    private boolean deletable(Machine machine) {
        return machine.empty() || machine.listedFailed || machine.abandoned || !machine.up()
                || world.nowMicros - machine.hearing.aliveMicros() > world.settings.leaseMicros() / 2;
    }

    public void written(Command.MachineWritten result) {
        Machine machine = world.machines.get(result.host());
        if (machine == null) {
            return;
        }
        machine.writing = false;
        switch (result.outcome()) {
            case WRITTEN -> {
                machine.recorded = !result.dropped();
                machine.stamp = result.dropped() ? 0 : result.stamp();
                machine.leavingRecorded = result.leaving();
                machine.upRecorded = !result.dropped() && machine.upWriting;
                world.placementWorthTrying = true;
            }
            case CONFLICT, UNKNOWN -> {
                machine.reading = true;
                machine.unsettle();
            }
            case NOT_WRITTEN, TOO_LARGE -> machine.retryMicros = world.nowMicros + RETRY_MICROS;
        }
    }

    public void seen(Command.MachineSeen result) {
        Machine machine = world.machines.get(result.host());
        if (machine == null) {
            return;
        }
        machine.writing = false;
        machine.reading = false;
        // Recorded or not, the present state is written again on the stamp just read: that voids a late write.
        machine.recorded = machine.deleted && result.record() != null;
        machine.stamp = result.record() == null ? 0 : result.stamp();
        machine.leavingRecorded = result.record() != null && result.record().leaving();
        machine.unsettle();
    }

    public void unreadable(String host) {
        Machine machine = world.machines.get(host);
        if (machine != null) {
            machine.writing = false;
            machine.retryMicros = world.nowMicros + RETRY_MICROS;
        }
    }

    public void deleted(Command.Deleted result) {
        deletions--;
        for (String host : result.hosts()) {
            Machine machine = world.machines.get(host);
            if (machine == null) {
                continue;
            }
            machine.deleting = false;
            if (result.done()) {
                machine.deleted = true;
                machine.unsettle();
                losses.all(machine, "machine deleted");
                machine.hearing.gone(world.nowMicros);
            } else {
                machine.retryMicros = world.nowMicros + DELETE_RETRY_MICROS;
            }
        }
    }

    /** Forgets deleted machines once the list, which lags, can no longer show them. */
    public void forget() {
        long keep = 4 * world.settings.listLagMicros() + 60_000_000;
        world.machines.values().removeIf(machine -> {
            boolean forgotten = machine.confirmed()
                    ? machine.deleted && !machine.recorded && !machine.writing && world.nowMicros - machine.hearing.aliveMicros() > keep
                    : world.nowMicros - machine.knownSinceMicros > keep;
            if (forgotten) {
                world.leastFence = Math.max(world.leastFence, machine.hearing.fence() + 1);
                world.attentive.remove(machine);
            }
            return forgotten;
        });
    }
}
