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
 * The components of one leadership term of this node. Passes each event to the component that
 * handles it and runs the components in a fixed order. Every term gets new instances, so no state
 * of an earlier term can leak into it.
 */
final class LeaderTerm implements SchedulerEvent.TermEventHandler {
    /**
     * The review visits every machine; running it after each heartbeat would cost more processor
     * time than the heartbeats themselves.
     */
    private static final long MACHINE_REVIEW_INTERVAL_MICROS = 100_000;

    private static final long CLEANUP_INTERVAL_MICROS = 2_000_000;

    /**
     * Placement runs at least this often: backoffs, quarantines and reservations expire by time, so
     * no event triggers it then.
     */
    private static final long PLACEMENT_INTERVAL_MICROS = 500_000;

    /**
     * Placement iterates over all open jobs several times, and in a large cluster every step
     * changes something. With more open jobs than this the next placement is delayed in proportion
     * to the excess, which leaves most of the processor time to heartbeats: by 0.2 s at 12,000
     * jobs. With fewer jobs there is no delay.
     */
    private static final int MAX_JOBS_WITHOUT_PLACEMENT_DELAY = 4_000;

    private static final long PLACEMENT_DELAY_MICROS_PER_JOB = 25;

    private final SchedulerState state;
    private final JobRegistry jobRegistry;
    private final JobPersister jobPersister;
    private final MachineRegistry machineRegistry;
    private final HeartbeatHandler heartbeatHandler;
    private final DirectCommands directCommands;
    private final AgentProber agentProber;
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
    private final FeatureRollout featureRollout;
    private long nextMachineReviewMicros;
    private long nextCleanupMicros;
    private long latestPlacementMicros;
    private long earliestPlacementMicros;

    /** Whether the current placement search, which may span several steps, has tried every job. */
    private boolean isSearchComplete = true;

    LeaderTerm(SchedulerState state) {
        this.state = state;
        TaskLossHandler taskLosses = new TaskLossHandler(state);
        jobRegistry = new JobRegistry(state);
        jobPersister = new JobPersister(state, jobRegistry);
        machineRegistry = new MachineRegistry(state, taskLosses);
        heartbeatHandler = new HeartbeatHandler(state, machineRegistry, taskLosses);
        directCommands = new DirectCommands(state, heartbeatHandler, taskLosses);
        agentProber = new AgentProber(state, taskLosses);
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
        autoscaler = new Autoscaler(state, constraints, placer, machineRegistry, reservations);
        featureRollout = new FeatureRollout(state);
    }

    /** Loads the records that the store held when the term began. */
    void load(SchedulerEvent.LeadershipAcquired event, List<MachineType> machineTypes) {
        for (SchedulerEvent.StoredMachine machine : event.machines()) {
            machineRegistry.load(machine);
        }
        for (SchedulerEvent.StoredJob job : event.jobs()) {
            jobRegistry.load(job);
        }
        machineRegistry.onMachineTypes(machineTypes);
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
        machineRegistry.onMachineTypes(machineTypes);
    }

    SchedulerState state() {
        return state;
    }

    int unreachableMachineCount() {
        return agentProber.unreachableCount();
    }

    HeartbeatHandler heartbeatHandler() {
        return heartbeatHandler;
    }

    long refusedCommandCount() {
        return directCommands.refusedCount();
    }

    int reservationCount() {
        return reservations.count();
    }

    long machinesExamined() {
        return placer.machinesExamined() + gangPlanner.machinesExamined();
    }

    int recordsToMigrate() {
        return featureRollout.recordsToMigrate();
    }

    int unreadableRecords() {
        return featureRollout.unreadableRecords();
    }

    /**
     * Runs once per step, after its events: does the work that they made possible and the work that
     * is due by time, for which it checks at intervals.
     */
    void runPass() {
        if (state.nowMicros() >= nextMachineReviewMicros) {
            nextMachineReviewMicros = state.nowMicros() + MACHINE_REVIEW_INTERVAL_MICROS;
            reviewMachines();
        }
        if (state.nowMicros() >= nextCleanupMicros) {
            nextCleanupMicros = state.nowMicros() + CLEANUP_INTERVAL_MICROS;
            machineRegistry.forgetDeletedMachines();
            heartbeatHandler.dropForgottenMachines();
        }
        state.dependencies().processChanges();
        if (isPlacementDue()) {
            schedulePlacement();
            placeTasks();
        }
        autoscaler.review(isSearchComplete);
        state.serviceLevels().reportIfDue();
        featureRollout.review();
        emitActions();
    }

    private void reviewMachines() {
        leaseExpiry.expireLeases();
        drainer.drainMachines();
        agentProber.review();
    }

    private boolean isPlacementDue() {
        return !isSearchComplete
                || ((state.isPlacementRequested() || state.nowMicros() >= latestPlacementMicros)
                        && state.nowMicros() >= earliestPlacementMicros);
    }

    /**
     * Clears the placement request and sets the earliest and the latest time of the next placement.
     */
    private void schedulePlacement() {
        state.clearPlacementRequest();
        latestPlacementMicros = state.nowMicros() + PLACEMENT_INTERVAL_MICROS;
        int excessJobs = Math.max(0, state.jobs().size() - MAX_JOBS_WITHOUT_PLACEMENT_DELAY);
        earliestPlacementMicros = state.nowMicros() + excessJobs * PLACEMENT_DELAY_MICROS_PER_JOB;
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
        machineRegistry.emitWrites();
        directCommands.emitCommands();
    }

    @Override
    public void onHeartbeat(SchedulerEvent.HeartbeatReceived event) {
        heartbeatHandler.onHeartbeat(event);
    }

    @Override
    public void onPeerStatus(SchedulerEvent.PeerStatusReceived event) {
        machineRegistry.onPeerStatus(event);
    }

    @Override
    public void onDirectCommandCompleted(SchedulerEvent.DirectCommandCompleted event) {
        directCommands.onCompleted(event);
    }

    @Override
    public void onJobStored(SchedulerEvent.JobStored event) {
        jobRegistry.onRecordChanged(event.record(), event.revision());
    }

    @Override
    public void onJobRecordDamaged(SchedulerEvent.JobRecordDamaged event) {
        jobRegistry.onDamagedRecord(event);
    }

    @Override
    public void onJobRecordNotFound(SchedulerEvent.JobRecordNotFound event) {
        jobRegistry.onRecordNotFound(event.jobId());
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
        jobRegistry.onCancellationsConfirmed(event.jobIds());
    }

    @Override
    public void onDependencyResolved(SchedulerEvent.DependencyResolved event) {
        state.dependencies().onResolved(event);
    }

    @Override
    public void onMachineRecordRead(SchedulerEvent.MachineRecordRead event) {
        machineRegistry.onRecordRead(event);
    }

    @Override
    public void onMachineReadFailed(SchedulerEvent.MachineReadFailed event) {
        machineRegistry.onReadFailed(event.host());
    }

    @Override
    public void onMachineWriteCompleted(SchedulerEvent.MachineWriteCompleted event) {
        machineRegistry.onWriteCompleted(event);
    }

    @Override
    public void onMachinesListed(SchedulerEvent.MachinesListed event) {
        machineRegistry.onMachinesListed(event.machines());
        autoscaler.onMachinesListed(event.machines());
    }

    @Override
    public void onScaleOutCompleted(SchedulerEvent.ScaleOutCompleted event) {
        autoscaler.onScaleOutCompleted(event);
    }

    @Override
    public void onMachineDeletionCompleted(SchedulerEvent.MachineDeletionCompleted event) {
        machineRegistry.onDeletionCompleted(event);
    }

    @Override
    public void onRolloutStateRead(SchedulerEvent.RolloutStateRead event) {
        featureRollout.onStateRead(event);
    }

    @Override
    public void onRolloutWriteCompleted(SchedulerEvent.RolloutWriteCompleted event) {
        featureRollout.onWriteCompleted(event);
    }

    @Override
    public void onRecordsCounted(SchedulerEvent.RecordsCounted event) {
        featureRollout.onRecordsCounted(event);
    }
}
