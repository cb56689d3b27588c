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

    /**
     * A search walks over all open jobs several times, and in a large fleet something changes in
     * every step. With more jobs than this the next search waits in proportion, so that heartbeats
     * keep most of the processor time: a fifth of a second at 12,000 jobs. With fewer nothing
     * waits.
     */
    private static final int SEARCH_JOBS = 4_000;

    private static final long SEARCH_PAUSE_MICROS_A_JOB = 25;

    private final SchedulerSettings settings;
    private List<MachineType> types = List.of();
    private int valueBytes;
    private RecordFormat format = RecordFormat.PLAIN;
    private double writesPerSecond;
    private boolean delegationEnabled;
    private boolean recordsMachineLifecycle;
    private LeaderTerm leadership;

    /** The parts that exist only while this node leads. */
    private static final class LeaderTerm {
        final SchedulerState state;
        final TaskLossHandler taskLosses;
        final JobRegistry jobs;
        final JobPersister jobPersister;
        final MachineRegistry machines;
        final HeartbeatHandler heartbeats;
        final DirectCommands directCommands;
        final AgentProber prober;
        final Reservations reservations;
        final GangReservationPlanner gangPlanner;
        final GuaranteedQuota guaranteedQuota;
        final ClassFairShare classFairShare;
        final QuotaRotation quotaRotation;
        final TaskPlacer placer;
        final PreemptionPlanner preemption;
        final Autoscaler autoscaler;
        final FeatureRollout rollout;
        long nextSweepMicros;
        long nextForgetMicros;
        long nextSearchMicros;
        long searchNotBeforeMicros;

        LeaderTerm(SchedulerState state) {
            this.state = state;
            taskLosses = new TaskLossHandler(state);
            jobs = new JobRegistry(state);
            jobPersister = new JobPersister(state, jobs);
            machines = new MachineRegistry(state, taskLosses);
            heartbeats = new HeartbeatHandler(state, machines, taskLosses);
            directCommands = new DirectCommands(state, heartbeats, taskLosses);
            prober = new AgentProber(state, taskLosses);
            PlacementConstraints eligibility = new PlacementConstraints(state);
            reservations = new Reservations(state);
            gangPlanner = new GangReservationPlanner(state, eligibility, reservations);
            guaranteedQuota = new GuaranteedQuota(state);
            classFairShare = new ClassFairShare(state);
            quotaRotation = new QuotaRotation(state, reservations);
            placer = new TaskPlacer(state, eligibility, reservations);
            preemption = new PreemptionPlanner(state, eligibility, reservations, gangPlanner);
            autoscaler = new Autoscaler(state, eligibility, placer, machines, reservations);
            rollout = new FeatureRollout(state);
        }
    }

    public Scheduler(SchedulerSettings settings) {
        this.settings = settings;
    }

    public int jobs() {
        return leadership == null ? 0 : leadership.state.jobs().size();
    }

    /** Jobs that wait for others. */
    public int blockedJobs() {
        return leadership == null ? 0 : leadership.state.dependencies().blockedCount();
    }

    public int machines() {
        return leadership == null ? 0 : leadership.state.machines().size();
    }

    /** Machines that report and that nothing reaches. */
    public int unreachableMachines() {
        return leadership == null ? 0 : leadership.prober.unreachableCount();
    }

    public int reservations() {
        return leadership == null ? 0 : leadership.reservations.size();
    }

    /** Records that a rollout still has to rewrite. */
    public int recordsToMigrate() {
        return leadership == null ? 0 : leadership.rollout.recordsToMigrate();
    }

    /** Records that could not be read when a rollout counted them. */
    public int unreadableRecords() {
        return leadership == null ? 0 : leadership.rollout.unreadableRecords();
    }

    /** Applies the commands in order, then does what has become possible or due. */
    public List<SchedulerAction> step(
            long nowMicros, long wallMicros, List<SchedulerEvent> events) {
        List<SchedulerAction> actions = new ArrayList<>();
        for (SchedulerEvent event : events) {
            if (event instanceof SchedulerEvent.LeadershipAcquired lead) {
                startTerm(nowMicros, wallMicros, lead);
            } else if (event instanceof SchedulerEvent.LeadershipLost) {
                leadership = null;
            } else if (event instanceof SchedulerEvent.StoreLimitsChanged seen) {
                valueBytes = seen.valueBytes();
                format = seen.format();
                writesPerSecond = seen.writesPerSecond();
                delegationEnabled = seen.delegationEnabled();
                recordsMachineLifecycle = seen.recordsMachineLifecycle();
                if (leadership != null) {
                    leadership.state.setRecordLimits(valueBytes, format);
                    leadership.state.recordsMachineLifecycle(recordsMachineLifecycle, nowMicros);
                    leadership.state.writeBudget().setRate(writesPerSecond);
                    if (delegationEnabled) {
                        leadership.state.delegations().enable();
                    }
                    leadership.state.requestPlacement();
                }
            } else if (event instanceof SchedulerEvent.MachineTypesRead seen) {
                types = seen.types();
                if (leadership != null) {
                    leadership.machines.onMachineTypes(types);
                }
            } else if (leadership != null) {
                leadership.state.setTime(nowMicros, wallMicros);
                apply(leadership, event);
            }
        }
        if (leadership != null) {
            leadership.state.setTime(nowMicros, wallMicros);
            runPass(leadership);
            actions.addAll(leadership.state.takeActions());
        }
        return actions;
    }

    private void startTerm(
            long nowMicros, long wallMicros, SchedulerEvent.LeadershipAcquired lead) {
        SchedulerState state =
                new SchedulerState(
                        settings, valueBytes, format, lead.term(), nowMicros, wallMicros);
        state.writeBudget().setRate(writesPerSecond);
        state.recordsMachineLifecycle(recordsMachineLifecycle, nowMicros);
        state.advanceCancellationsReadUpTo(lead.cancellationsReadUpToMicros());
        if (delegationEnabled) {
            state.delegations().enable();
        }
        leadership = new LeaderTerm(state);
        for (SchedulerEvent.StoredMachine machine : lead.machines()) {
            leadership.machines.load(machine);
        }
        for (SchedulerEvent.StoredJob job : lead.jobs()) {
            leadership.jobs.load(job);
        }
        leadership.machines.onMachineTypes(types);
        long reportedBefore =
                lead.machines().stream()
                        .map(SchedulerEvent.StoredMachine::record)
                        .filter(
                                machine ->
                                        machine.lifecycle() != null
                                                && machine.lifecycle().hasReported())
                        .count();
        state.log(
                LogEntry.info(LogEvent.TERM_STARTED)
                        .with("term", lead.term())
                        .with("jobs", lead.jobs().size())
                        .with("machines", lead.machines().size())
                        .with("machines_reported", reportedBefore));
    }

    private static void apply(LeaderTerm leader, SchedulerEvent event) {
        if (event instanceof SchedulerEvent.HeartbeatReceived report) {
            leader.heartbeats.onHeartbeat(report);
        } else if (event instanceof SchedulerEvent.PeerStatusReceived spoke) {
            leader.machines.onPeerStatus(spoke);
        } else if (event instanceof SchedulerEvent.DirectCommandCompleted result) {
            leader.directCommands.onCompleted(result);
        } else if (event instanceof SchedulerEvent.JobWriteCompleted written) {
            leader.jobPersister.onWriteCompleted(written);
        } else if (event instanceof SchedulerEvent.JobStored seen) {
            leader.jobs.onRecord(seen.record(), seen.revision());
        } else if (event instanceof SchedulerEvent.JobRecordDamaged unread) {
            leader.jobs.onDamagedRecord(unread);
        } else if (event instanceof SchedulerEvent.CancellationsConfirmed told) {
            leader.jobs.onCancellationsConfirmed(told.jobIds());
        } else if (event instanceof SchedulerEvent.JobRecordNotFound missing) {
            leader.jobs.onRecordNotFound(missing.jobId());
        } else if (event instanceof SchedulerEvent.DependencyResolved found) {
            leader.state.dependencies().onResolved(found);
        } else if (event instanceof SchedulerEvent.JobReadFailed unreadable) {
            leader.jobPersister.onReadFailed(unreadable.jobId());
        } else if (event instanceof SchedulerEvent.MachineWriteCompleted written) {
            leader.machines.onWriteCompleted(written);
        } else if (event instanceof SchedulerEvent.MachineRecordRead seen) {
            leader.machines.onRecordRead(seen);
        } else if (event instanceof SchedulerEvent.MachineReadFailed unreadable) {
            leader.machines.onReadFailed(unreadable.host());
        } else if (event instanceof SchedulerEvent.MachinesListed listed) {
            leader.machines.onMachinesListed(listed.machines());
            leader.autoscaler.onMachinesListed(listed.machines());
        } else if (event instanceof SchedulerEvent.ScaleOutCompleted rented) {
            leader.autoscaler.onScaleOutCompleted(rented);
        } else if (event instanceof SchedulerEvent.MachineDeletionCompleted deleted) {
            leader.machines.onDeletionCompleted(deleted);
        } else if (event instanceof SchedulerEvent.RolloutStateRead seen) {
            leader.rollout.latest(seen);
        } else if (event instanceof SchedulerEvent.RolloutWriteCompleted written) {
            leader.rollout.onWriteCompleted(written);
        } else if (event instanceof SchedulerEvent.RecordsCounted counted) {
            leader.rollout.onRecordsCounted(counted);
        }
    }

    /**
     * What changed is dealt with at once. What only time brings about is looked for now and then,
     * as a walk over hundreds of machines for each report would cost more than the reports.
     */
    private static void runPass(LeaderTerm leader) {
        SchedulerState state = leader.state;
        boolean sweep = state.nowMicros() >= leader.nextSweepMicros;
        if (sweep) {
            leader.nextSweepMicros = state.nowMicros() + SWEEP_MICROS;
            expireLeases(leader);
            drain(leader);
            leader.prober.review();
        }
        if (state.nowMicros() >= leader.nextForgetMicros) {
            leader.nextForgetMicros = state.nowMicros() + FORGET_MICROS;
            leader.machines.forget();
            leader.heartbeats.forget();
        }
        state.dependencies().review();
        if ((state.isPlacementNeeded() || state.nowMicros() >= leader.nextSearchMicros)
                && state.nowMicros() >= leader.searchNotBeforeMicros) {
            state.clearPlacementRequest();
            leader.nextSearchMicros = state.nowMicros() + SEARCH_MICROS;
            leader.searchNotBeforeMicros =
                    state.nowMicros() + searchPauseMicros(state.jobs().size());
            leader.guaranteedQuota.update();
            leader.classFairShare.update();
            leader.quotaRotation.update();
            List<Reservation> failed = leader.reservations.updatePhases();
            leader.placer.place();
            List<Job> queue = leader.placer.queue();
            leader.gangPlanner.update(failed, queue);
            leader.preemption.preemptFor(queue);
        }
        leader.autoscaler.review();
        state.serviceLevels().review();
        leader.rollout.review();
        state.writeBudget().refill(state.nowMicros());
        leader.jobPersister.emitWrites();
        leader.machines.emitWrites();
        leader.directCommands.emitCommands();
    }

    private static long searchPauseMicros(int openJobs) {
        return Math.max(0, openJobs - SEARCH_JOBS) * SEARCH_PAUSE_MICROS_A_JOB;
    }

    /**
     * A worker that neither we nor any node in our place answered for longer than its lease has
     * killed its tasks.
     */
    private static void expireLeases(LeaderTerm leader) {
        SchedulerState state = leader.state;
        Map<String, Long> lastRenewals = new HashMap<>();
        for (Machine machine : state.machines().values()) {
            if (machine.isUp()
                    && !machine.isDeleted()
                    && state.nowMicros() - machine.lastAnsweredMicros()
                            > state.delegationTimeouts().leaseExpiryMicros()
                    && state.nowMicros()
                                    - lastRenewals.computeIfAbsent(
                                            machine.zone,
                                            zone ->
                                                    state.delegations()
                                                            .lastRenewalMicros(
                                                                    zone, state.nowMicros()))
                            > state.delegationTimeouts().leaseExpiryMicros()) {
                state.log(
                        LogEntry.info(LogEvent.LEASE_EXPIRED)
                                .with("machine", machine.host)
                                .with("zone", machine.zone)
                                .with("term", state.term()));
                machine.liveness.expireSession();
                leader.taskLosses.onSessionEnded(machine, "lease expired");
            }
        }
    }

    /**
     * Tasks that can save leave a machine that the cloud is about to take; so do all on one that is
     * returned.
     */
    private static void drain(LeaderTerm leader) {
        for (Machine machine : leader.state.machines().values()) {
            if (machine.spotTerminationMicros() < 0 && !machine.isDecommissioning()) {
                continue;
            }
            for (TaskAttempt attempt : machine.snapshot()) {
                Job job = attempt.job;
                if (attempt.wasNeverSent()) {
                    leader.taskLosses.remove(attempt);
                } else if (!attempt.isStopping()
                        && (machine.isDecommissioning()
                                || job.description.checkpointIntervalSeconds() > 0)) {
                    attempt.stop(job.description.checkpointCostSeconds());
                }
            }
        }
    }
}
