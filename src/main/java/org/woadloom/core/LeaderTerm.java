package org.woadloom.core;

import java.util.List;
import org.woadloom.core.autoscaling.Autoscaler;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.JobPersister;
import org.woadloom.core.jobs.JobRegistry;
import org.woadloom.core.machines.AgentProber;
import org.woadloom.core.machines.DirectCommands;
import org.woadloom.core.machines.HeartbeatHandler;
import org.woadloom.core.machines.LeaseExpiry;
import org.woadloom.core.machines.MachineDrainer;
import org.woadloom.core.machines.MachineRegistry;
import org.woadloom.core.machines.TaskLossHandler;
import org.woadloom.core.placement.PlacementConstraints;
import org.woadloom.core.placement.PreemptionPlanner;
import org.woadloom.core.placement.TaskPlacer;
import org.woadloom.core.placement.WaitingJobsReport;
import org.woadloom.core.quota.ClassFairShare;
import org.woadloom.core.quota.GuaranteedQuota;
import org.woadloom.core.quota.QuotaRotation;
import org.woadloom.core.quota.TeamQuota;
import org.woadloom.core.reservation.GangReservationPlanner;
import org.woadloom.core.reservation.Reservation;
import org.woadloom.core.reservation.Reservations;
import org.woadloom.core.rollout.FeatureRollout;
import org.woadloom.protocol.MachineType;

/**
 * One term of this node's leadership: the parts that decide, what each event means to them, and the
 * order in which they run. A new term starts with new parts, so nothing of an earlier one can be
 * left in them.
 */
final class LeaderTerm implements SchedulerEvent.TermEventHandler {
    /** A walk over all machines for each heartbeat would cost more than the heartbeats. */
    private static final long MACHINE_REVIEW_INTERVAL_MICROS = 100_000;

    private static final long FORGET_INTERVAL_MICROS = 2_000_000;

    /** Backoffs, quarantines and reservations end without an event. */
    private static final long PLACEMENT_INTERVAL_MICROS = 500_000;

    /**
     * Placement walks over all open jobs several times, and in a large fleet something changes in
     * every step. With more jobs than this the next placement waits in proportion, so that
     * heartbeats keep most of the processor time: a fifth of a second at 12,000 jobs. With fewer
     * nothing waits.
     */
    private static final int MAX_JOBS_WITHOUT_PAUSE = 4_000;

    private static final long PLACEMENT_PAUSE_MICROS_PER_JOB = 25;

    private final SchedulerState state;
    private final JobRegistry jobs;
    private final JobPersister jobPersister;
    private final MachineRegistry machines;
    private final HeartbeatHandler heartbeats;
    private final DirectCommands directCommands;
    private final AgentProber prober;
    private final LeaseExpiry leaseExpiry;
    private final MachineDrainer drainer;
    private final Reservations reservations;
    private final GangReservationPlanner gangPlanner;
    private final GuaranteedQuota guaranteedQuota;
    private final ClassFairShare classFairShare;
    private final QuotaRotation quotaRotation;
    private final TaskPlacer placer;
    private final PreemptionPlanner preemption;
    private final WaitingJobsReport waitingJobs;
    private final Autoscaler autoscaler;
    private final FeatureRollout rollout;
    private long nextMachineReviewMicros;
    private long nextForgetMicros;
    private long nextPlacementMicros;
    private long placementNotBeforeMicros;

    /** Whether every waiting job had its turn in the present search for placements. */
    private boolean isSearchComplete = true;

    LeaderTerm(SchedulerState state) {
        this.state = state;
        TaskLossHandler taskLosses = new TaskLossHandler(state);
        jobs = new JobRegistry(state);
        jobPersister = new JobPersister(state, jobs);
        machines = new MachineRegistry(state, taskLosses);
        heartbeats = new HeartbeatHandler(state, machines, taskLosses);
        directCommands = new DirectCommands(state, heartbeats, taskLosses);
        prober = new AgentProber(state, taskLosses);
        leaseExpiry = new LeaseExpiry(state, taskLosses);
        drainer = new MachineDrainer(state, taskLosses);
        PlacementConstraints constraints = new PlacementConstraints(state);
        reservations = new Reservations(state);
        gangPlanner = new GangReservationPlanner(state, constraints, reservations);
        guaranteedQuota = new GuaranteedQuota(state);
        classFairShare = new ClassFairShare(state);
        quotaRotation = new QuotaRotation(state, reservations);
        placer = new TaskPlacer(state, constraints, reservations);
        preemption = new PreemptionPlanner(state, constraints, reservations, gangPlanner);
        waitingJobs = new WaitingJobsReport(state, constraints, reservations);
        autoscaler = new Autoscaler(state, constraints, placer, machines, reservations);
        rollout = new FeatureRollout(state);
    }

    /** Takes in what the store held when the term was taken. */
    void load(SchedulerEvent.LeadershipAcquired event, List<MachineType> machineTypes) {
        for (SchedulerEvent.StoredMachine machine : event.machines()) {
            machines.load(machine);
        }
        for (SchedulerEvent.StoredJob job : event.jobs()) {
            jobs.load(job);
        }
        machines.onMachineTypes(machineTypes);
        state.log(
                LogEntry.info(LogEvent.TERM_STARTED)
                        .with("term", event.term())
                        .with("jobs", event.jobs().size())
                        .with("machines", event.machines().size())
                        .with("machines_reported", countReported(event.machines())));
    }

    private static int countReported(List<SchedulerEvent.StoredMachine> machines) {
        int reported = 0;
        for (SchedulerEvent.StoredMachine machine : machines) {
            if (machine.record().lifecycle() != null
                    && machine.record().lifecycle().hasReported()) {
                reported++;
            }
        }
        return reported;
    }

    void onMachineTypes(List<MachineType> machineTypes) {
        machines.onMachineTypes(machineTypes);
    }

    SchedulerState state() {
        return state;
    }

    int unreachableMachineCount() {
        return prober.unreachableCount();
    }

    int reservationCount() {
        return reservations.count();
    }

    long machinesExamined() {
        return placer.machinesExamined() + gangPlanner.machinesExamined();
    }

    int recordsToMigrate() {
        return rollout.recordsToMigrate();
    }

    int unreadableRecords() {
        return rollout.unreadableRecords();
    }

    /**
     * Does what the events of a step have made possible, and what is due by now. Whatever only time
     * brings about is looked for at intervals.
     */
    void runPass() {
        if (state.nowMicros() >= nextMachineReviewMicros) {
            nextMachineReviewMicros = state.nowMicros() + MACHINE_REVIEW_INTERVAL_MICROS;
            reviewMachines();
        }
        if (state.nowMicros() >= nextForgetMicros) {
            nextForgetMicros = state.nowMicros() + FORGET_INTERVAL_MICROS;
            machines.forgetDeletedMachines();
            heartbeats.dropForgottenMachines();
        }
        state.dependencies().processChanges();
        if (isPlacementDue()) {
            schedulePlacement();
            placeTasks();
        }
        autoscaler.review(isSearchComplete);
        state.serviceLevels().reportIfDue();
        rollout.review();
        emitActions();
    }

    private void reviewMachines() {
        leaseExpiry.expireLeases();
        drainer.drainMachines();
        prober.review();
    }

    private boolean isPlacementDue() {
        return !isSearchComplete
                || ((state.isPlacementRequested() || state.nowMicros() >= nextPlacementMicros)
                        && state.nowMicros() >= placementNotBeforeMicros);
    }

    /** Notes that placement runs now, and when it may and when it has to run next. */
    private void schedulePlacement() {
        state.clearPlacementRequest();
        nextPlacementMicros = state.nowMicros() + PLACEMENT_INTERVAL_MICROS;
        int jobsBeyond = Math.max(0, state.jobs().size() - MAX_JOBS_WITHOUT_PAUSE);
        placementNotBeforeMicros = state.nowMicros() + jobsBeyond * PLACEMENT_PAUSE_MICROS_PER_JOB;
    }

    private void placeTasks() {
        for (TeamQuota team : state.teams().values()) {
            team.expireLostTaskHolds(state.nowMicros(), reservations::countFor);
        }
        guaranteedQuota.update();
        classFairShare.update();
        quotaRotation.update();
        List<Reservation> failedReservations = reservations.updatePhases();
        isSearchComplete = placer.place();
        gangPlanner.maintain(failedReservations);
        if (isSearchComplete) {
            List<Job> queue = placer.placementQueue();
            gangPlanner.reserve(queue);
            preemption.preemptFor(queue);
            waitingJobs.logIfDue();
        }
    }

    private void emitActions() {
        state.writeBudget().refill(state.nowMicros());
        jobPersister.emitDueRequests();
        machines.emitWrites();
        directCommands.emitCommands();
    }

    @Override
    public void onHeartbeat(SchedulerEvent.HeartbeatReceived event) {
        heartbeats.onHeartbeat(event);
    }

    @Override
    public void onPeerStatus(SchedulerEvent.PeerStatusReceived event) {
        machines.onPeerStatus(event);
    }

    @Override
    public void onDirectCommandCompleted(SchedulerEvent.DirectCommandCompleted event) {
        directCommands.onCompleted(event);
    }

    @Override
    public void onJobStored(SchedulerEvent.JobStored event) {
        jobs.onRecordChanged(event.record(), event.revision());
    }

    @Override
    public void onJobRecordDamaged(SchedulerEvent.JobRecordDamaged event) {
        jobs.onDamagedRecord(event);
    }

    @Override
    public void onJobRecordNotFound(SchedulerEvent.JobRecordNotFound event) {
        jobs.onRecordNotFound(event.jobId());
    }

    @Override
    public void onJobReadFailed(SchedulerEvent.JobReadFailed event) {
        jobPersister.onReadFailed(event.jobId());
    }

    @Override
    public void onJobWriteCompleted(SchedulerEvent.JobWriteCompleted event) {
        jobPersister.onWriteCompleted(event);
    }

    @Override
    public void onCancellationsConfirmed(SchedulerEvent.CancellationsConfirmed event) {
        jobs.onCancellationsConfirmed(event.jobIds());
    }

    @Override
    public void onDependencyResolved(SchedulerEvent.DependencyResolved event) {
        state.dependencies().onResolved(event);
    }

    @Override
    public void onMachineRecordRead(SchedulerEvent.MachineRecordRead event) {
        machines.onRecordRead(event);
    }

    @Override
    public void onMachineReadFailed(SchedulerEvent.MachineReadFailed event) {
        machines.onReadFailed(event.host());
    }

    @Override
    public void onMachineWriteCompleted(SchedulerEvent.MachineWriteCompleted event) {
        machines.onWriteCompleted(event);
    }

    @Override
    public void onMachinesListed(SchedulerEvent.MachinesListed event) {
        machines.onMachinesListed(event.machines());
        autoscaler.onMachinesListed(event.machines());
    }

    @Override
    public void onScaleOutCompleted(SchedulerEvent.ScaleOutCompleted event) {
        autoscaler.onScaleOutCompleted(event);
    }

    @Override
    public void onMachineDeletionCompleted(SchedulerEvent.MachineDeletionCompleted event) {
        machines.onDeletionCompleted(event);
    }

    @Override
    public void onRolloutStateRead(SchedulerEvent.RolloutStateRead event) {
        rollout.onStateRead(event);
    }

    @Override
    public void onRolloutWriteCompleted(SchedulerEvent.RolloutWriteCompleted event) {
        rollout.onWriteCompleted(event);
    }

    @Override
    public void onRecordsCounted(SchedulerEvent.RecordsCounted event) {
        rollout.onRecordsCounted(event);
    }
}
