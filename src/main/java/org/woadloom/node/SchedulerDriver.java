package org.woadloom.node;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.woadloom.agent.AgentClient;
import org.woadloom.cloud.CloudClient;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.core.delegation.PeerStatus;
import org.woadloom.leader.RecordWriter;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.JobRecord;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreLimits;

/**
 * What a node does while it leads: it loads the stored state, keeps the scheduler supplied with
 * events and has its actions carried out. Belongs to the event loop.
 */
final class LeaderActions {
    private static final long TICK_MICROS = 100_000;

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreLimits limits;
    private final RolloutParticipant rollout;
    private final EventQueue queue;
    private final PendingAnswers pendingAnswers;
    private final SchedulerStatusFeed statusFeed;
    private final StateLoader stateLoader;
    private final JobWatcher jobWatcher;
    private final CloudPoller cloudPoller;
    private final ActionExecutor.Targets targets;

    /** The present term, or null while this node does not lead. */
    private LeadershipTerm term;

    /** Null until the stored state of the present term is loaded. */
    private ActionExecutor executor;

    LeaderActions(
            EventLoop loop,
            StoreClient store,
            CloudClient cloud,
            AgentClient agents,
            ServiceSettings settings,
            StoreLimits limits,
            RolloutParticipant rollout,
            NodeMetrics metrics,
            DelegatedLeaseRenewer delegatedRenewer,
            EventQueue queue,
            Consumer<String> stepDown,
            BiConsumer<String, LeaseDelegation> sendDelegation) {
        this.loop = loop;
        this.store = store;
        this.limits = limits;
        this.rollout = rollout;
        this.queue = queue;
        JobRecordReader jobRecords = new JobRecordReader(rollout);
        pendingAnswers = new PendingAnswers(queue);
        statusFeed =
                new SchedulerStatusFeed(
                        loop, store, limits, rollout, metrics, delegatedRenewer, queue);
        stateLoader = new StateLoader(loop, store, rollout, jobRecords);
        jobWatcher = new JobWatcher(loop, store, queue, jobRecords);
        cloudPoller = new CloudPoller(cloud, queue, settings);
        targets =
                new ActionExecutor.Targets(
                        pendingAnswers,
                        agents,
                        cloud,
                        new RecordReads(store, jobRecords, queue),
                        new RolloutActions(store, rollout),
                        sendDelegation,
                        stepDown);
    }

    /** True once the stored state is loaded: only then may a heartbeat be decided. */
    boolean isReady() {
        return executor != null;
    }

    /**
     * Starts to lead.
     *
     * @param leaderRevision the revision of the leader key, on which every write depends
     */
    void start(long termNumber, long leaderRevision) {
        endTerm();
        LeadershipTerm started = new LeadershipTerm(loop, termNumber, leaderRevision);
        term = started;
        stateLoader.load(started, state -> onStateLoaded(started, state));
    }

    /** Stops to lead: nothing of this term is carried out any more. */
    void stop() {
        endTerm();
        pendingAnswers.rejectAll();
        queue.add(new SchedulerEvent.LeadershipLost());
    }

    private void endTerm() {
        if (term != null) {
            term.end();
            term = null;
        }
        executor = null;
    }

    private void onStateLoaded(LeadershipTerm ofTerm, StateLoader.StoredState state) {
        Runnable onDeposed =
                () -> ofTerm.runIfActive(() -> targets.stepDown().accept("another node took over"));
        RecordWriter writer = new RecordWriter(store, limits, ofTerm.leaderRevision(), onDeposed);
        RecordWrites recordWrites =
                new RecordWrites(ofTerm, writer, rollout, limits, statusFeed, queue);
        executor = new ActionExecutor(ofTerm, queue, writer, recordWrites, targets);
        statusFeed.sendStoreLimits();
        jobWatcher.onJobsListed(state.jobsRequestedMicros());
        queue.add(
                new SchedulerEvent.LeadershipAcquired(
                        ofTerm.number(),
                        state.jobs(),
                        state.machines(),
                        state.jobsRequestedMicros()));
        jobWatcher.watch(ofTerm, state.storeRevision());
        scheduleTick(ofTerm);
        cloudPoller.start(ofTerm);
    }

    private void scheduleTick(LeadershipTerm ofTerm) {
        ofTerm.schedule(
                TICK_MICROS,
                () -> {
                    statusFeed.sendStoreLimitsIfRateChanged();
                    queue.add(new SchedulerEvent.Tick());
                    if (isReady()) {
                        statusFeed.sendRolloutStateIfDue();
                    }
                    scheduleTick(ofTerm);
                });
    }

    /** Carries out what the scheduler decided, until this node stops to lead. */
    void execute(List<SchedulerAction> actions) {
        for (SchedulerAction action : actions) {
            if (executor == null) {
                return;
            }
            executor.execute(action);
        }
        if (executor != null) {
            executor.flush();
        }
    }

    /** Has the scheduler decide a heartbeat. */
    void onHeartbeat(Heartbeat heartbeat, PendingAnswers.Callback callback) {
        pendingAnswers.submit(heartbeat, callback);
    }

    /** A node has made a job durable, which the watch would show as well, but later. */
    void onJobChanged(JobRecord record, long revision) {
        if (isReady()) {
            queue.add(new SchedulerEvent.JobStored(record, revision));
        }
    }

    /** The features that are on have changed, or whether this process may serve. */
    void onRolloutChanged() {
        if (isReady()) {
            statusFeed.onRolloutChanged();
        }
    }

    /** A node, this one perhaps, reports its status. */
    void onPeerStatus(String node, PeerStatus status) {
        if (isReady()) {
            queue.add(
                    new SchedulerEvent.PeerStatusReceived(
                            node, status, jobWatcher.cancellationsReadUpToMicros()));
        }
    }

    /** Users may be told that these jobs are cancelled. */
    void onCancellationsConfirmed(List<String> jobIds) {
        queue.add(new SchedulerEvent.CancellationsConfirmed(jobIds));
    }

    /** Every cancellation that was made before this moment has been read. */
    long cancellationsReadUpToMicros() {
        return jobWatcher.cancellationsReadUpToMicros();
    }
}
