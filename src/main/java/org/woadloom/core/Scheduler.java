package org.woadloom.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.autoscaling.Autoscaler;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.JobPersister;
import org.woadloom.core.jobs.JobRegistry;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.machines.AgentProber;
import org.woadloom.core.machines.DirectCommands;
import org.woadloom.core.machines.HeartbeatHandler;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.machines.MachineRegistry;
import org.woadloom.core.machines.TaskLossHandler;
import org.woadloom.core.placement.PlacementConstraints;
import org.woadloom.core.placement.PreemptionPlanner;
import org.woadloom.core.placement.TaskPlacer;
import org.woadloom.core.quota.ClassFairShare;
import org.woadloom.core.quota.GuaranteedQuota;
import org.woadloom.core.quota.QuotaRotation;
import org.woadloom.core.reservation.GangReservationPlanner;
import org.woadloom.core.reservation.Reservation;
import org.woadloom.core.reservation.Reservations;
import org.woadloom.core.rollout.FeatureRollout;
import org.woadloom.protocol.MachineType;
import org.woadloom.store.RecordFormat;

/**
 * The one owner of all state. It is pure: the same commands at the same times give the same
 * effects, and nothing in it reads a clock, a file or a socket.
 */
public final class Scheduler {
    private static final long SWEEP_MICROS = 100_000;
    private static final long FORGET_MICROS = 2_000_000;

    /** Backoffs, quarantines and reservations end by themselves. */
    private static final long SEARCH_MICROS = 500_000;

    private final SchedulerSettings settings;
    private List<MachineType> types = List.of();
    private int valueBytes;
    private RecordFormat format = RecordFormat.PLAIN;
    private double writesPerSecond;
    private boolean care;
    private boolean machineLife;
    private LeaderTerm leadership;

    /** The parts that exist only while this node leads. */
    private static final class LeaderTerm {
        final SchedulerState world;
        final TaskLossHandler losses;
        final JobRegistry jobs;
        final JobPersister recorder;
        final MachineRegistry machines;
        final HeartbeatHandler reports;
        final DirectCommands directs;
        final AgentProber contact;
        final Reservations reservations;
        final GangReservationPlanner gathering;
        final GuaranteedQuota guarantees;
        final ClassFairShare classShares;
        final QuotaRotation limitTurns;
        final TaskPlacer placer;
        final PreemptionPlanner preemption;
        final Autoscaler capacity;
        final FeatureRollout rollout;
        long sweepMicros;
        long forgetMicros;
        long searchMicros;

        LeaderTerm(SchedulerState world) {
            this.world = world;
            losses = new TaskLossHandler(world);
            jobs = new JobRegistry(world);
            recorder = new JobPersister(world, jobs);
            machines = new MachineRegistry(world, losses);
            reports = new HeartbeatHandler(world, machines, losses);
            directs = new DirectCommands(world, reports, losses);
            contact = new AgentProber(world, losses);
            PlacementConstraints eligibility = new PlacementConstraints(world);
            reservations = new Reservations(world);
            gathering = new GangReservationPlanner(world, eligibility, reservations);
            guarantees = new GuaranteedQuota(world);
            classShares = new ClassFairShare(world);
            limitTurns = new QuotaRotation(world, reservations);
            placer = new TaskPlacer(world, eligibility, reservations);
            preemption = new PreemptionPlanner(world, eligibility, reservations, gathering);
            capacity = new Autoscaler(world, eligibility, placer, machines, reservations);
            rollout = new FeatureRollout(world);
        }
    }

    public Scheduler(SchedulerSettings settings) {
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
    public List<SchedulerAction> step(
            long nowMicros, long wallMicros, List<SchedulerEvent> commands) {
        List<SchedulerAction> effects = new ArrayList<>();
        for (SchedulerEvent command : commands) {
            if (command instanceof SchedulerEvent.LeadershipAcquired lead) {
                takeOver(nowMicros, wallMicros, lead);
            } else if (command instanceof SchedulerEvent.LeadershipLost) {
                leadership = null;
            } else if (command instanceof SchedulerEvent.StoreLimitsChanged seen) {
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
            } else if (command instanceof SchedulerEvent.MachineTypesRead seen) {
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

    private void takeOver(long nowMicros, long wallMicros, SchedulerEvent.LeadershipAcquired lead) {
        SchedulerState world =
                new SchedulerState(
                        settings, valueBytes, format, lead.term(), nowMicros, wallMicros);
        world.writes.rate(writesPerSecond);
        world.machineLife(machineLife, nowMicros);
        world.cancellationsSeenMicros = lead.cancellationsSeenMicros();
        if (care) {
            world.warrants.agreed();
        }
        leadership = new LeaderTerm(world);
        for (SchedulerEvent.StoredMachine machine : lead.machines()) {
            leadership.machines.load(machine);
        }
        for (SchedulerEvent.StoredJob job : lead.jobs()) {
            leadership.jobs.load(job);
        }
        leadership.machines.typesSeen(types);
        long cameUp =
                lead.machines().stream()
                        .map(SchedulerEvent.StoredMachine::record)
                        .filter(
                                machine ->
                                        machine.lifecycle() != null
                                                && machine.lifecycle().hasReported())
                        .count();
        world.log(
                LogEntry.info(LogEvent.TERM_STARTED)
                        .with("term", lead.term())
                        .with("jobs", lead.jobs().size())
                        .with("machines", lead.machines().size())
                        .with("machines_reported", cameUp));
    }

    private static void apply(LeaderTerm l, SchedulerEvent command) {
        if (command instanceof SchedulerEvent.HeartbeatReceived report) {
            l.reports.report(report);
        } else if (command instanceof SchedulerEvent.PeerStatusReceived spoke) {
            l.machines.nodeSpoke(spoke);
        } else if (command instanceof SchedulerEvent.DirectCommandCompleted result) {
            l.directs.result(result);
        } else if (command instanceof SchedulerEvent.JobWriteCompleted written) {
            l.recorder.written(written);
        } else if (command instanceof SchedulerEvent.JobStored seen) {
            l.jobs.seen(seen.record(), seen.revision());
        } else if (command instanceof SchedulerEvent.JobRecordDamaged unread) {
            l.jobs.unread(unread);
        } else if (command instanceof SchedulerEvent.CancellationsConfirmed told) {
            l.jobs.told(told.jobIds());
        } else if (command instanceof SchedulerEvent.JobRecordNotFound missing) {
            l.jobs.missing(missing.jobId());
        } else if (command instanceof SchedulerEvent.DependencyResolved found) {
            l.world.pipelines.found(found);
        } else if (command instanceof SchedulerEvent.JobReadFailed unreadable) {
            l.recorder.readFailed(unreadable.jobId());
        } else if (command instanceof SchedulerEvent.MachineWriteCompleted written) {
            l.machines.written(written);
        } else if (command instanceof SchedulerEvent.MachineRecordRead seen) {
            l.machines.seen(seen);
        } else if (command instanceof SchedulerEvent.MachineReadFailed unreadable) {
            l.machines.unreadable(unreadable.host());
        } else if (command instanceof SchedulerEvent.MachinesListed listed) {
            l.machines.listed(listed.machines());
            l.capacity.listed(listed.machines());
        } else if (command instanceof SchedulerEvent.ScaleOutCompleted rented) {
            l.capacity.rented(rented);
        } else if (command instanceof SchedulerEvent.MachineDeletionCompleted deleted) {
            l.machines.deleted(deleted);
        } else if (command instanceof SchedulerEvent.RolloutStateRead seen) {
            l.rollout.seen(seen);
        } else if (command instanceof SchedulerEvent.RolloutWriteCompleted written) {
            l.rollout.written(written);
        } else if (command instanceof SchedulerEvent.RecordsCounted counted) {
            l.rollout.counted(counted);
        }
    }

    /**
     * What changed is dealt with at once. What only time brings about is looked for now and then,
     * as a walk over hundreds of machines for each report would cost more than the reports.
     */
    private static void work(LeaderTerm l) {
        SchedulerState world = l.world;
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
        if (world.placementWorthTrying || world.nowMicros >= l.searchMicros) {
            world.placementWorthTrying = false;
            l.searchMicros = world.nowMicros + SEARCH_MICROS;
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

    /**
     * A worker that neither we nor any node in our place answered for longer than its lease has
     * killed its tasks.
     */
    private static void endLeases(LeaderTerm l) {
        SchedulerState world = l.world;
        Map<String, Long> cared = new HashMap<>();
        for (Machine machine : world.machines.values()) {
            if (machine.up()
                    && !machine.deleted
                    && world.nowMicros - machine.lastAnsweredMicros > world.care.leaseOverMicros()
                    && world.nowMicros
                                    - cared.computeIfAbsent(
                                            machine.zone,
                                            zone ->
                                                    world.warrants.lastCareMicros(
                                                            zone, world.nowMicros))
                            > world.care.leaseOverMicros()) {
                world.log(
                        LogEntry.info(LogEvent.LEASE_EXPIRED)
                                .with("machine", machine.host)
                                .with("zone", machine.zone)
                                .with("term", world.term));
                machine.hearing.sessionOver();
                l.losses.session(machine, "lease expired");
            }
        }
    }

    /**
     * Tasks that can save leave a machine that the cloud is about to take; so do all on one that is
     * returned.
     */
    private static void drain(LeaderTerm l) {
        for (Machine machine : l.world.machines.values()) {
            if (machine.takenMicros < 0 && !machine.leaving) {
                continue;
            }
            for (TaskAttempt placement : machine.snapshot()) {
                Job job = placement.job;
                if (placement.neverSent()) {
                    l.losses.gone(placement);
                } else if (!placement.halting()
                        && (machine.leaving || job.description.checkpointIntervalSeconds() > 0)) {
                    placement.halt(job.description.checkpointCostSeconds());
                }
            }
        }
    }
}
