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
 * Runs the scheduler while this node leads: loads the stored state, feeds the scheduler with events
 * and has its actions carried out. Confined to the event loop.
 */
final class SchedulerDriver {
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
    private final ActionExecutor.Handlers handlers;

    /** The current term, or null while this node does not lead. */
    private LeadershipTerm term;

    /** Null until the stored state of the current term is loaded. */
    private ActionExecutor executor;

    SchedulerDriver(
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
        handlers =
                new ActionExecutor.Handlers(
                        pendingAnswers,
                        agents,
                        cloud,
                        new ReadActions(store, jobRecords, queue),
                        new RolloutActions(store, rollout),
                        sendDelegation,
                        stepDown);
    }

    /** True once the stored state is loaded; heartbeats may be decided only then. */
    boolean isReady() {
        return executor != null;
    }

    /**
     * Starts a term.
     *
     * @param leaderRevision the revision of the leader key, on which every write is conditional
     */
    void start(long termNumber, long leaderRevision) {
        endTerm();
        LeadershipTerm started = new LeadershipTerm(loop, termNumber, leaderRevision);
        term = started;
        stateLoader.load(started, state -> onStateLoaded(started, state));
    }

    /** Ends the term: no further action of it is carried out. */
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

    private void onStateLoaded(LeadershipTerm loadedTerm, StateLoader.StoredState state) {
        Runnable onLeadershipLost =
                () ->
                        loadedTerm.runIfActive(
                                () -> handlers.stepDown().accept("another node has become leader"));
        RecordWriter writer =
                new RecordWriter(store, limits, loadedTerm.leaderRevision(), onLeadershipLost);
        WriteActions writeActions =
                new WriteActions(loadedTerm, writer, rollout, limits, statusFeed, queue);
        executor = new ActionExecutor(loadedTerm, queue, writer, writeActions, handlers);
        statusFeed.sendStoreLimits();
        jobWatcher.onJobsListed(state.jobsRequestedMicros());
        queue.add(
                new SchedulerEvent.LeadershipAcquired(
                        loadedTerm.number(),
                        state.jobs(),
                        state.machines(),
                        state.jobsRequestedMicros()));
        jobWatcher.watch(loadedTerm, state.storeRevision());
        scheduleTick(loadedTerm);
        cloudPoller.start(loadedTerm);
    }

    private void scheduleTick(LeadershipTerm tickedTerm) {
        tickedTerm.schedule(
                TICK_MICROS,
                () -> {
                    statusFeed.sendStoreLimitsIfRateChanged();
                    queue.add(new SchedulerEvent.Tick());
                    if (isReady()) {
                        statusFeed.sendRolloutStateIfDue();
                    }
                    scheduleTick(tickedTerm);
                });
    }

    /** Carries out the scheduler's actions, stopping when the term ends. */
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

    /** Called when a node has stored a job. The watch reports the job as well, but later. */
    void onJobChanged(JobRecord record, long revision) {
        if (isReady()) {
            queue.add(new SchedulerEvent.JobStored(record, revision));
        }
    }

    /** Called when the set of enabled features has changed, or whether this process may serve. */
    void onRolloutChanged() {
        if (isReady()) {
            statusFeed.onRolloutChanged();
        }
    }

    /** Called when a node, possibly this one, reports its status. */
    void onPeerStatus(String node, PeerStatus status) {
        if (isReady()) {
            queue.add(
                    new SchedulerEvent.PeerStatusReceived(
                            node, status, jobWatcher.cancellationsReadUpToMicros()));
        }
    }

    /** Called when users may be told that these jobs are cancelled. */
    void onCancellationsConfirmed(List<String> jobIds) {
        queue.add(new SchedulerEvent.CancellationsConfirmed(jobIds));
    }

    /** Every cancellation that was stored before this time has been read. */
    long cancellationsReadUpToMicros() {
        return jobWatcher.cancellationsReadUpToMicros();
    }
}
