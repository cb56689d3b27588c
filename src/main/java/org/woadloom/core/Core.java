package org.woadloom.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.capacity.Capacity;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.JobTable;
import org.woadloom.core.jobs.Placement;
import org.woadloom.core.jobs.Recorder;
import org.woadloom.core.machines.Contact;
import org.woadloom.core.machines.Directs;
import org.woadloom.core.machines.Losses;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.machines.MachineTable;
import org.woadloom.core.machines.Reports;
import org.woadloom.core.placement.Eligibility;
import org.woadloom.core.placement.Placer;
import org.woadloom.core.placement.Preemption;
import org.woadloom.core.reservation.Gathering;
import org.woadloom.core.reservation.Reservation;
import org.woadloom.core.reservation.Reservations;
import org.woadloom.core.rollout.RolloutPlan;
import org.woadloom.core.teams.ClassShares;
import org.woadloom.core.teams.Guarantees;
import org.woadloom.core.teams.LimitTurns;
import org.woadloom.state.RecordFormat;
import org.woadloom.wire.MachineType;

/**
 * The one owner of all state. It is pure: the same commands at the same times give the same effects, and nothing in it
 * reads a clock, a file or a socket.
 */
public final class Core {
    private static final long SWEEP_MICROS = 100_000;
    private static final long FORGET_MICROS = 2_000_000;
    /** Backoffs, quarantines and reservations end by themselves. */
    private static final long SEARCH_MICROS = 500_000;
    /**
     * A search walks over all open jobs several times, and in a large fleet something changes in every step. With more jobs
     * than this the next search waits in proportion, so that heartbeats keep most of the processor time: a fifth of a
     * second at 12,000 jobs. With fewer nothing waits.
     */
    private static final int SEARCH_JOBS = 4_000;
    private static final long SEARCH_PAUSE_MICROS_A_JOB = 25;

    private final CoreSettings settings;
    private List<MachineType> types = List.of();
    private int valueBytes;
    private RecordFormat format = RecordFormat.PLAIN;
    private double writesPerSecond;
    private boolean care;
    private boolean machineLife;
    private Leadership leadership;

    /** The parts that exist only while this node leads. */
    private static final class Leadership {
        final World world;
        final Losses losses;
        final JobTable jobs;
        final Recorder recorder;
        final MachineTable machines;
        final Reports reports;
        final Directs directs;
        final Contact contact;
        final Reservations reservations;
        final Gathering gathering;
        final Guarantees guarantees;
        final ClassShares classShares;
        final LimitTurns limitTurns;
        final Placer placer;
        final Preemption preemption;
        final Capacity capacity;
        final RolloutPlan rollout;
        long sweepMicros;
        long forgetMicros;
        long searchMicros;
        long searchNotBeforeMicros;

        Leadership(World world) {
            this.world = world;
            losses = new Losses(world);
            jobs = new JobTable(world);
            recorder = new Recorder(world, jobs);
            machines = new MachineTable(world, losses);
            reports = new Reports(world, machines, losses);
            directs = new Directs(world, reports, losses);
            contact = new Contact(world, losses);
            Eligibility eligibility = new Eligibility(world);
            reservations = new Reservations(world);
            gathering = new Gathering(world, eligibility, reservations);
            guarantees = new Guarantees(world);
            classShares = new ClassShares(world);
            limitTurns = new LimitTurns(world, reservations);
            placer = new Placer(world, eligibility, reservations);
            preemption = new Preemption(world, eligibility, reservations, gathering);
            capacity = new Capacity(world, eligibility, placer, machines, reservations);
            rollout = new RolloutPlan(world);
        }
    }

    public Core(CoreSettings settings) {
        this.settings = settings;
    }

    public int jobs() {
        return leadership == null ? 0 : leadership.world.jobs.size();
    }

    /** Jobs that wait for others. */
    public int waiting() {
        return leadership == null ? 0 : leadership.world.pipelines.waiting();
    }

    public int machines() {
        return leadership == null ? 0 : leadership.world.machines.size();
    }

    /** Machines that report and that nothing reaches. */
    public int deafMachines() {
        return leadership == null ? 0 : leadership.contact.deaf();
    }

    public int reservations() {
        return leadership == null ? 0 : leadership.reservations.size();
    }

    /** Records that a rollout still has to rewrite. */
    public int toRewrite() {
        return leadership == null ? 0 : leadership.rollout.left();
    }

    /** Records that could not be read when a rollout counted them. */
    public int unreadable() {
        return leadership == null ? 0 : leadership.rollout.unreadable();
    }

    /** Applies the commands in order, then does what has become possible or due. */
    public List<Effect> step(long nowMicros, long wallMicros, List<Command> commands) {
        List<Effect> effects = new ArrayList<>();
        for (Command command : commands) {
            if (command instanceof Command.Lead lead) {
                takeOver(nowMicros, wallMicros, lead);
            } else if (command instanceof Command.StepDown) {
                leadership = null;
            } else if (command instanceof Command.StorageSeen seen) {
                valueBytes = seen.valueBytes();
                format = seen.format();
                writesPerSecond = seen.writesPerSecond();
                care = seen.care();
                machineLife = seen.machineLife();
                if (leadership != null) {
                    leadership.world.valueBytes = valueBytes;
                    leadership.world.format = format;
                    leadership.world.machineLife(machineLife, nowMicros);
                    leadership.world.writes.rate(writesPerSecond);
                    if (care) {
                        leadership.world.warrants.agreed();
                    }
                    leadership.world.placementWorthTrying = true;
                }
            } else if (command instanceof Command.TypesSeen seen) {
                types = seen.types();
                if (leadership != null) {
                    leadership.machines.typesSeen(types);
                }
            } else if (leadership != null) {
                leadership.world.nowMicros = nowMicros;
                leadership.world.wallMicros = wallMicros;
                apply(leadership, command);
            }
        }
        if (leadership != null) {
            leadership.world.nowMicros = nowMicros;
            leadership.world.wallMicros = wallMicros;
            work(leadership);
            effects.addAll(leadership.world.takeEffects());
        }
        return effects;
    }

    private void takeOver(long nowMicros, long wallMicros, Command.Lead lead) {
        World world = new World(settings, valueBytes, format, lead.term(), nowMicros, wallMicros);
        world.writes.rate(writesPerSecond);
        world.machineLife(machineLife, nowMicros);
        world.cancellationsSeenMicros = lead.cancellationsSeenMicros();
        if (care) {
            world.warrants.agreed();
        }
        leadership = new Leadership(world);
        for (Command.StoredMachine machine : lead.machines()) {
            leadership.machines.load(machine);
        }
        for (Command.StoredJob job : lead.jobs()) {
            leadership.jobs.load(job);
        }
        leadership.machines.typesSeen(types);
        long cameUp = lead.machines().stream().map(Command.StoredMachine::record)
                .filter(machine -> machine.life() != null && machine.life().up()).count();
        world.log(LogEntry.info(LogEvent.TERM_STARTED).with("term", lead.term()).with("jobs", lead.jobs().size())
                .with("machines", lead.machines().size()).with("machines_reported", cameUp));
    }

    private static void apply(Leadership l, Command command) {
        if (command instanceof Command.Report report) {
            l.reports.report(report);
        } else if (command instanceof Command.NodeSpoke spoke) {
            l.machines.nodeSpoke(spoke);
        } else if (command instanceof Command.DirectResult result) {
            l.directs.result(result);
        } else if (command instanceof Command.JobWritten written) {
            l.recorder.written(written);
        } else if (command instanceof Command.JobSeen seen) {
            l.jobs.seen(seen.record(), seen.stamp());
        } else if (command instanceof Command.JobUnread unread) {
            l.jobs.unread(unread);
        } else if (command instanceof Command.CancellationsTold told) {
            l.jobs.told(told.uids());
        } else if (command instanceof Command.JobMissing missing) {
            l.jobs.missing(missing.uid());
        } else if (command instanceof Command.JobFound found) {
            l.world.pipelines.found(found);
        } else if (command instanceof Command.JobUnreadable unreadable) {
            l.recorder.readFailed(unreadable.uid());
        } else if (command instanceof Command.MachineWritten written) {
            l.machines.written(written);
        } else if (command instanceof Command.MachineSeen seen) {
            l.machines.seen(seen);
        } else if (command instanceof Command.MachineUnreadable unreadable) {
            l.machines.unreadable(unreadable.host());
        } else if (command instanceof Command.MachinesListed listed) {
            l.machines.listed(listed.machines());
            l.capacity.listed(listed.machines());
        } else if (command instanceof Command.Rented rented) {
            l.capacity.rented(rented);
        } else if (command instanceof Command.Deleted deleted) {
            l.machines.deleted(deleted);
        } else if (command instanceof Command.RolloutSeen seen) {
            l.rollout.seen(seen);
        } else if (command instanceof Command.RolloutWritten written) {
            l.rollout.written(written);
        } else if (command instanceof Command.RecordsCounted counted) {
            l.rollout.counted(counted);
        }
    }

    /**
     * What changed is dealt with at once. What only time brings about is looked for now and then, as a walk over hundreds
     * of machines for each report would cost more than the reports.
     */
    private static void work(Leadership l) {
        World world = l.world;
        boolean sweep = world.nowMicros >= l.sweepMicros;
        if (sweep) {
            l.sweepMicros = world.nowMicros + SWEEP_MICROS;
            endLeases(l);
            drain(l);
            l.contact.review();
        }
        if (world.nowMicros >= l.forgetMicros) {
            l.forgetMicros = world.nowMicros + FORGET_MICROS;
            l.machines.forget();
            l.reports.forget();
        }
        world.pipelines.review();
        if ((world.placementWorthTrying || world.nowMicros >= l.searchMicros) && world.nowMicros >= l.searchNotBeforeMicros) {
            world.placementWorthTrying = false;
            l.searchMicros = world.nowMicros + SEARCH_MICROS;
            l.searchNotBeforeMicros = world.nowMicros + searchPauseMicros(world.jobs.size());
            l.guarantees.update();
            l.classShares.update();
            l.limitTurns.update();
            List<Reservation> failed = l.reservations.sync();
            l.placer.place();
            List<Job> queue = l.placer.queue();
            l.gathering.gather(failed, queue);
            l.preemption.makeRoom(queue);
        }
        l.capacity.review();
        world.served.review();
        l.rollout.review();
        world.writes.refill(world.nowMicros);
        l.recorder.emitWrites();
        l.machines.emitWrites();
        l.directs.emitSends();
    }

    private static long searchPauseMicros(int openJobs) {
        return Math.max(0, openJobs - SEARCH_JOBS) * SEARCH_PAUSE_MICROS_A_JOB;
    }

    /** A worker that neither we nor any node in our place answered for longer than its lease has killed its tasks. */
    private static void endLeases(Leadership l) {
        World world = l.world;
        Map<String, Long> cared = new HashMap<>();
        for (Machine machine : world.machines.values()) {
            if (machine.up() && !machine.deleted
                    && world.nowMicros - machine.lastAnsweredMicros > world.care.leaseOverMicros()
                    && world.nowMicros - cared.computeIfAbsent(machine.yard, yard -> world.warrants.lastCareMicros(yard,
                            world.nowMicros)) > world.care.leaseOverMicros()) {
                world.log(LogEntry.info(LogEvent.LEASE_EXPIRED).with("machine", machine.host).with("zone", machine.yard)
                        .with("term", world.term));
                machine.hearing.sessionOver();
                l.losses.session(machine, "lease expired");
            }
        }
    }

    /** Tasks that can save leave a machine that the cloud is about to take; so do all on one that is returned. */
    private static void drain(Leadership l) {
        for (Machine machine : l.world.machines.values()) {
            if (machine.takenMicros < 0 && !machine.leaving) {
                continue;
            }
            for (Placement placement : machine.snapshot()) {
                Job job = placement.job;
                if (placement.neverSent()) {
                    l.losses.gone(placement);
                } else if (!placement.halting() && (machine.leaving || job.description.snapshotEveryS() > 0)) {
                    placement.halt(job.description.snapshotCostS());
                }
            }
        }
    }
}
