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
 * One controller node, apart from its sockets: puts the parts together and passes on what one part
 * has for another. Everything in it runs on one event loop.
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
    private final LeaderActions leaderActions;
    private final Election election;
    private final PeerTracker peers;
    private final CancellationConfirmer confirmations;
    private final HeartbeatRouter heartbeats;
    private final StoreRelayLeader relayLeader;
    private final StoreProbe storeProbe;
    private final MachineTypeCatalog machineTypes;
    private final Router router;

    /** Puts a node together; {@link #start} sets it to work. */
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
     * The same, with an observer of each step of the scheduler. The parts draw from the random
     * numbers in the order in which they are made here.
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
        leaderActions =
                newLeaderActions(loop, cloud, new AgentClient(transport, sockets.directCommands()));
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
                        new PeerInbox());
        confirmations =
                new CancellationConfirmer(
                        loop, settings, random, new ConfirmerCarrier(), new ConfirmerView());
        heartbeats = newHeartbeatRouter(loop, storeRelay, connectionBalancer);
        relayLeader =
                new StoreRelayLeader(
                        loop, store, limits, rollout, heartbeats::onForwardedHeartbeat);
        storeProbe = new StoreProbe(loop, store, peers, isolation, delegatedRenewer, heartbeats);
        machineTypes = new MachineTypeCatalog(loop, cloud, store, queue);
        JobApi jobs = newJobApi(loop);
        router = new Router(new RequestGate(), jobs, heartbeats::onHeartbeat, metrics);
        NodeGauges.registerUsersAndElection(metrics, jobs, this, election);
        NodeGauges.registerStore(metrics, store);
        NodeGauges.registerScheduler(metrics, scheduler, rollout);
        NodeGauges.registerCancellations(metrics, confirmations);
        NodeGauges.registerQueues(metrics, queue, heartbeats, peers, connectionBalancer);
    }

    private LeaderActions newLeaderActions(EventLoop loop, CloudClient cloud, AgentClient agents) {
        return new LeaderActions(
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
                confirmations,
                leaderActions,
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
                confirmations);
    }

    NodeMetrics metrics() {
        return metrics;
    }

    /** Takes the requests of users, agents and the load balancer. */
    public Router router() {
        return router;
    }

    /** Sets the node to work; called once, on the loop. */
    public void start() {
        LOG.info("event=node_started node={} zone={}", settings.label(), settings.zone());
        election.start();
        peers.start();
        rollout.start();
        storeProbe.start();
        machineTypes.start();
    }

    /**
     * True where the store is lost to this node alone, as far as it can tell, and users come to it
     * in vain.
     */
    boolean isIsolated() {
        return isolation.isIsolated(
                delegatedRenewer.arePeersServed(), !peers.reachablePeers().isEmpty());
    }

    private void onStoreAnswer(boolean served) {
        delegatedRenewer.onStoreAnswer(served);
        isolation.onStoreAnswer(served);
    }

    private void onRolloutChanged() {
        if (rollout.isOn(Feature.LEASE_DELEGATION) && operator.care()) {
            delegatedRenewer.enable();
        }
        confirmations.setEnabled(rollout.isOn(Feature.CANCELLATION_REPORTS));
        if (!rollout.mayBeOn(Feature.CANCELLATION_REPORTS)) {
            confirmations.onNeverEnabled();
        }
        if (rollout.closedReason() != null) {
            election.stepDown(rollout.closedReason());
        }
        leaderActions.onRolloutChanged();
    }

    private void execute(List<SchedulerAction> actions) {
        leaderActions.execute(actions);
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
     * A job that this node made durable: the leader is notified, and would find it by its watch as
     * well.
     */
    private void onJobChanged(JobRecord record, long revision) {
        String leader = election.leader();
        if (election.isLeader()) {
            leaderActions.onJobChanged(record, revision);
        } else if (leader != null) {
            peers.notifyJobChanged(leader, record, revision);
        }
    }

    /** Starts and stops what depends on whether this node leads. */
    private final class ElectionListener implements Election.Listener {
        @Override
        public void onElected(long term, long leaderRevision) {
            store.setLeader(true);
            confirmations.startTerm(term);
            leaderActions.start(term, leaderRevision);
            relayLeader.start(term);
        }

        @Override
        public void onLeaderChanged() {
            peers.announceTerm();
            // Heartbeats that waited for a leader, or for one that has ended meanwhile, have
            // somewhere to go now.
            heartbeats.rerouteWaiting();
        }

        @Override
        public void onLeadershipLost(String reason) {
            store.setLeader(false);
            confirmations.endTerm();
            relayLeader.stop();
            leaderActions.stop();
        }
    }

    /** Passes what peers send to the parts that it concerns. */
    private final class PeerInbox implements PeerTracker.Inbox {
        @Override
        public void onJobChanged(JobRecord record, long revision) {
            leaderActions.onJobChanged(record, revision);
        }

        @Override
        public void onForwardedHeartbeat(byte[] heartbeat, Consumer<Response> answer) {
            heartbeats.onForwardedHeartbeat(heartbeat, answer);
        }

        @Override
        public PeerStatus status() {
            return delegatedRenewer.isEnabled() ? delegatedRenewer.status() : null;
        }

        @Override
        public void onPeerStatus(String peer, PeerStatus status) {
            if (delegatedRenewer.isEnabled()) {
                delegatedRenewer.onPeerStatus(peer, status);
                leaderActions.onPeerStatus(peer, status);
            }
        }

        @Override
        public void onDelegation(LeaseDelegation delegation) {
            delegatedRenewer.onDelegation(delegation);
        }

        @Override
        public void sendCancellationReport() {
            confirmations.sendReport();
        }

        @Override
        public void onCancellationReport(String peer, WatermarkReport report) {
            confirmations.onReport(peer, report);
        }

        @Override
        public void onCancellationReportAck(WatermarkAck ack) {
            confirmations.onAck(ack);
        }

        @Override
        public void onPeerTerm(String peer, long term, boolean leads) {
            confirmations.onPeerTerm(peer, term, leads);
        }
    }

    /** What the confirmer of cancellations needs to know of the leader and to send to it. */
    private final class ConfirmerCarrier implements CancellationConfirmer.Carrier {
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

    /** What the confirmer of cancellations needs of this node while it leads. */
    private final class ConfirmerView implements CancellationConfirmer.View {
        @Override
        public boolean isReady() {
            return leaderActions.isReady();
        }

        @Override
        public long cancellationsReadUpToMicros() {
            return leaderActions.cancellationsReadUpToMicros();
        }

        @Override
        public void onCancelled(List<String> jobIds) {
            leaderActions.onCancellationsConfirmed(jobIds);
        }
    }

    /** The form and size in which the users' jobs are stored. */
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

    /** Whether requests are served, and what the load balancer is told. */
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
            return rollout.isKnown() ? null : "not yet known what the other nodes use";
        }
    }
}
