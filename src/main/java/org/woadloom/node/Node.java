package org.woadloom.node;

import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.agent.AgentClient;
import org.woadloom.agent.AgentConnectionBalancer;
import org.woadloom.cloud.CloudClient;
import org.woadloom.core.Scheduler;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerSettings;
import org.woadloom.core.cancellation.WatermarkAck;
import org.woadloom.core.cancellation.WatermarkReport;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.core.delegation.PeerStatus;
import org.woadloom.core.rollout.Feature;
import org.woadloom.http.JobApi;
import org.woadloom.http.Response;
import org.woadloom.http.Router;
import org.woadloom.leader.Election;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.net.EventLoop;
import org.woadloom.net.HttpTransport;
import org.woadloom.net.SocketBudget;
import org.woadloom.peer.PeerTransport;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Peer;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreLimits;

/**
 * One controller node without its sockets: creates the components and connects them to each other.
 * Everything in it runs on one event loop.
 */
public final class Node {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);

    private final ServiceSettings settings;
    private final OperatorSettings operator;
    private final StoreLimits limits;
    private final NodeMetrics metrics = new NodeMetrics();
    private final IsolationDetector isolation;
    private final DelegatedLeaseRenewer delegatedRenewer;
    private final StoreClient store;
    private final RolloutParticipant rollout;
    private final EventQueue queue;
    private final SchedulerDriver schedulerDriver;
    private final Election election;
    private final PeerTracker peers;
    private final CancellationConfirmer cancellationConfirmer;
    private final HeartbeatRouter heartbeatRouter;
    private final StoreRelayLeader relayLeader;
    private final StoreProbe storeProbe;
    private final MachineTypeCatalog machineTypes;
    private final Router router;

    /** Creates a node; {@link #start} starts it. */
    public Node(
            EventLoop loop,
            HttpTransport transport,
            PeerTransport peerTransport,
            ServiceSettings settings,
            OperatorSettings operator,
            Random random) {
        this(loop, transport, peerTransport, settings, operator, random, StepObserver.NONE);
    }

    /**
     * Creates a node with an observer of each scheduler step. The order in which the components are
     * created matters: they draw from the same random number generator.
     */
    public Node(
            EventLoop loop,
            HttpTransport transport,
            PeerTransport peerTransport,
            ServiceSettings settings,
            OperatorSettings operator,
            Random random,
            StepObserver observer) {
        this.settings = settings;
        this.operator = operator;
        limits = new StoreLimits(settings.store());
        SocketBudget sockets = SocketBudget.of(settings);
        AgentConnectionBalancer connectionBalancer =
                new AgentConnectionBalancer(
                        sockets.maxAgents(), settings.agents().heartbeatMicros());
        delegatedRenewer = new DelegatedLeaseRenewer(loop, settings, random);
        isolation = new IsolationDetector(loop);
        store = new StoreClient(loop, transport, settings, limits, random, this::onStoreAnswer);
        rollout =
                new RolloutParticipant(
                        loop, store, settings, operator, random, this::onRolloutChanged);
        CloudClient cloud = new CloudClient(loop, transport, settings);
        Scheduler scheduler = new Scheduler(SchedulerSettings.of(settings, operator));
        queue =
                new EventQueue(
                        loop,
                        scheduler,
                        metrics,
                        HeartbeatRouter.MAX_WAITING_HEARTBEATS,
                        this::execute,
                        observer);
        schedulerDriver =
                newSchedulerDriver(
                        loop, cloud, new AgentClient(transport, sockets.directCommands()));
        StoreRelay storeRelay = new StoreRelay(loop, store, settings, limits, rollout, random);
        election =
                new Election(
                        loop, store, settings.label(), random, rollout, new ElectionListener());
        peers =
                new PeerTracker(
                        loop,
                        peerTransport,
                        settings.peers().stream().map(Peer::label).toList(),
                        election,
                        rollout,
                        new PeerInbox(),
                        random);
        cancellationConfirmer =
                new CancellationConfirmer(
                        loop,
                        settings,
                        random,
                        new ConfirmerPeerChannel(),
                        new ConfirmerLeaderState());
        heartbeatRouter = newHeartbeatRouter(loop, storeRelay, connectionBalancer);
        relayLeader =
                new StoreRelayLeader(
                        loop, store, limits, rollout, heartbeatRouter::onForwardedHeartbeat);
        storeProbe =
                new StoreProbe(loop, store, peers, isolation, delegatedRenewer, heartbeatRouter);
        machineTypes = new MachineTypeCatalog(loop, cloud, store, queue);
        JobApi jobs = newJobApi(loop);
        router = new Router(new RequestGate(), jobs, heartbeatRouter::onHeartbeat, metrics);
        NodeGauges.registerUsersAndElection(metrics, jobs, this, election);
        NodeGauges.registerStore(metrics, store);
        NodeGauges.registerScheduler(metrics, scheduler, rollout);
        NodeGauges.registerCancellations(metrics, cancellationConfirmer);
        NodeGauges.registerQueues(metrics, queue, heartbeatRouter, peers, connectionBalancer);
    }

    private SchedulerDriver newSchedulerDriver(
            EventLoop loop, CloudClient cloud, AgentClient agents) {
        return new SchedulerDriver(
                loop,
                store,
                cloud,
                agents,
                settings,
                limits,
                rollout,
                metrics,
                delegatedRenewer,
                queue,
                this::stepDown,
                this::sendDelegation);
    }

    private HeartbeatRouter newHeartbeatRouter(
            EventLoop loop, StoreRelay storeRelay, AgentConnectionBalancer connectionBalancer) {
        return new HeartbeatRouter(
                loop,
                settings.label(),
                election,
                peers,
                storeRelay,
                delegatedRenewer,
                cancellationConfirmer,
                schedulerDriver,
                connectionBalancer,
                this::isIsolated);
    }

    private JobApi newJobApi(EventLoop loop) {
        return new JobApi(
                loop,
                store,
                settings,
                new RecordStorage(),
                machineTypes,
                this::onJobChanged,
                cancellationConfirmer);
    }

    NodeMetrics metrics() {
        return metrics;
    }

    /** Handles the requests of users, agents and the load balancer. */
    public Router router() {
        return router;
    }

    /** Starts the node; called once, on the event loop. */
    public void start() {
        LOG.info("event=node_started node={} zone={}", settings.label(), settings.zone());
        election.start();
        peers.start();
        rollout.start();
        storeProbe.start();
        machineTypes.start();
    }

    /**
     * True if, as far as this node can tell, only it has lost the store while users still reach it.
     */
    boolean isIsolated() {
        return isolation.isIsolated(
                delegatedRenewer.isAnyPeerServedByStore(), !peers.reachablePeers().isEmpty());
    }

    private void onStoreAnswer(boolean served) {
        delegatedRenewer.onStoreAnswer(served);
        isolation.onStoreAnswer(served);
    }

    private void onRolloutChanged() {
        if (rollout.isOn(Feature.LEASE_DELEGATION) && operator.leaseDelegation()) {
            delegatedRenewer.enable();
        }
        cancellationConfirmer.setEnabled(rollout.isOn(Feature.CANCELLATION_REPORTS));
        if (!rollout.mayBeOn(Feature.CANCELLATION_REPORTS)) {
            cancellationConfirmer.onNeverEnabled();
        }
        if (rollout.closedReason() != null) {
            election.stepDown(rollout.closedReason());
        }
        schedulerDriver.onRolloutChanged();
    }

    private void execute(List<SchedulerAction> actions) {
        schedulerDriver.execute(actions);
    }

    private void stepDown(String reason) {
        election.stepDown(reason);
    }

    private void sendDelegation(String node, LeaseDelegation delegation) {
        if (node.equals(settings.label())) {
            delegatedRenewer.onDelegation(delegation);
        } else {
            peers.sendDelegation(node, delegation);
        }
    }

    /**
     * Called when this node has stored a job. The leader is notified, although its watch would also
     * report the job.
     */
    private void onJobChanged(JobRecord record, long revision) {
        String leader = election.leader();
        if (election.isLeader()) {
            schedulerDriver.onJobChanged(record, revision);
        } else if (leader != null) {
            peers.notifyJobChanged(leader, record, revision);
        }
    }

    /** Starts and stops the components that run only while this node leads. */
    private final class ElectionListener implements Election.Listener {
        @Override
        public void onElected(long term, long leaderRevision) {
            store.setLeader(true);
            cancellationConfirmer.startTerm(term);
            schedulerDriver.start(term, leaderRevision);
            relayLeader.start(term);
        }

        @Override
        public void onLeaderChanged() {
            peers.announceTerm();
            // Heartbeats that waited for a leader, or were sent to one that has stopped, can be
            // routed now.
            heartbeatRouter.rerouteWaiting();
        }

        @Override
        public void onLeadershipLost(String reason) {
            store.setLeader(false);
            cancellationConfirmer.endTerm();
            relayLeader.stop();
            schedulerDriver.stop();
        }
    }

    /** Dispatches messages from peers to the components that handle them. */
    private final class PeerInbox implements PeerTracker.Inbox {
        @Override
        public void onJobChanged(JobRecord record, long revision) {
            schedulerDriver.onJobChanged(record, revision);
        }

        @Override
        public void onForwardedHeartbeat(byte[] heartbeat, Consumer<Response> answer) {
            heartbeatRouter.onForwardedHeartbeat(heartbeat, answer);
        }

        @Override
        public PeerStatus status() {
            return delegatedRenewer.isEnabled() ? delegatedRenewer.status() : null;
        }

        @Override
        public void onPeerStatus(String peer, PeerStatus status) {
            if (delegatedRenewer.isEnabled()) {
                delegatedRenewer.onPeerStatus(peer, status);
                schedulerDriver.onPeerStatus(peer, status);
            }
        }

        @Override
        public void onDelegation(LeaseDelegation delegation) {
            delegatedRenewer.onDelegation(delegation);
        }

        @Override
        public void sendCancellationReport() {
            cancellationConfirmer.sendReport();
        }

        @Override
        public void onCancellationReport(String peer, WatermarkReport report) {
            cancellationConfirmer.onReport(peer, report);
        }

        @Override
        public void onCancellationReportAck(WatermarkAck ack) {
            cancellationConfirmer.onAck(ack);
        }

        @Override
        public void onPeerTerm(String peer, long term, boolean leads) {
            cancellationConfirmer.onPeerTerm(peer, term, leads);
        }
    }

    /** Connects the cancellation confirmer to the leader and the peers. */
    private final class ConfirmerPeerChannel implements CancellationConfirmer.PeerChannel {
        @Override
        public String reachableLeader() {
            return peers.reachableLeader();
        }

        @Override
        public long term() {
            return election.leaderTerm();
        }

        @Override
        public void sendReport(String leader, WatermarkReport report) {
            peers.sendCancellationReport(leader, report);
        }

        @Override
        public void sendAck(String node, WatermarkAck ack) {
            peers.sendCancellationReportAck(node, ack);
        }

        @Override
        public long storeSilentMicros() {
            return delegatedRenewer.storeSilentMicros();
        }
    }

    /** Connects the cancellation confirmer to this node's scheduler while this node leads. */
    private final class ConfirmerLeaderState implements CancellationConfirmer.LeaderState {
        @Override
        public boolean isReady() {
            return schedulerDriver.isReady();
        }

        @Override
        public long cancellationsReadUpToMicros() {
            return schedulerDriver.cancellationsReadUpToMicros();
        }

        @Override
        public void onCancelled(List<String> jobIds) {
            schedulerDriver.onCancellationsConfirmed(jobIds);
        }
    }

    /** The format and the maximum size of stored job records. */
    private final class RecordStorage implements JobApi.RecordPolicy {
        @Override
        public RecordFormat writeFormat() {
            return rollout.format();
        }

        @Override
        public int maxValueBytes() {
            return rollout.format() == RecordFormat.COMPACT
                    ? limits.maxValueBytes()
                    : limits.maxAcceptedValueBytes();
        }

        @Override
        public void onFormatSeen(RecordFormat format) {
            rollout.onFormatSeen(format);
        }
    }

    /** Decides whether requests are served, and answers the load balancer's health check. */
    private final class RequestGate implements Router.Gate {
        @Override
        public String closedReason() {
            return rollout.closedReason();
        }

        @Override
        public void onOutsideRequest() {
            isolation.onOutsideRequest();
        }

        @Override
        public boolean isHealthy() {
            return !isIsolated();
        }

        @Override
        public String notReadyReason() {
            return rollout.knowsRequiredFeatures()
                    ? null
                    : "this node has not yet read which features the cluster requires";
        }
    }
}
