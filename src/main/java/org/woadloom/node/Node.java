package org.woadloom.node;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.agent.AgentClient;
import org.woadloom.agent.AgentConnectionBalancer;
import org.woadloom.cloud.CloudClient;
import org.woadloom.core.Scheduler;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerSettings;
import org.woadloom.core.cancellation.WatermarkAck;
import org.woadloom.core.cancellation.WatermarkReport;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.core.delegation.PeerStatus;
import org.woadloom.core.liveness.AgentLiveness;
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
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Peer;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;
import org.woadloom.store.StoreLimits;

/** One controller node, apart from its sockets: everything in it runs on one loop. */
public final class Node {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final long TYPES_RETRY_MICROS = 1_000_000;

    /**
     * A new leader reads hundreds of records with cold code; a worker waits four seconds for its
     * answer.
     */
    private static final long LOADING_MICROS = 2_500_000;

    private static final long LOADING_POLL_MICROS = 20_000;
    private static final long RETURN_WINDOW_MICROS = 12_000_000;
    private static final long STORE_PROBE_MICROS = 700_000;

    /**
     * A worker that could not stay with the leader is carried for so long before it is sent there
     * again.
     */
    private static final long PROXY_MICROS = 60_000_000;

    /**
     * After a full stop every worker reports within one interval while there is no leader yet: half
     * more than the largest fleet of about 4,000 machines, as some repeat theirs. A report takes
     * about a kilobyte.
     */
    static final int MAX_WAITING_REPORTS = 6_000;

    /** Twice the largest fleet, so that no machine that still reports drops out. */
    private static final int MAX_VISITS = 10_000;

    private final EventLoop loop;
    private final ServiceSettings settings;
    private final OperatorSettings operator;
    private final StoreLimits limits;
    private final StoreClient store;
    private final RolloutParticipant rollout;
    private final CloudClient cloud;
    private final Election election;
    private final LeaderActions leaderActions;
    private final EventQueue queue;
    private final Router router;
    private final PeerTracker peers;
    private final StoreRelay storeRelay;
    private final DeferredHeartbeats deferred;
    private final DelegatedLeaseRenewer delegatedRenewer;
    private final CancellationConfirmer confirmations;
    private final IsolationDetector isolation;
    private final AgentConnectionBalancer attendance;

    /** Workers that came to this node instead of the leader's lately. */
    private final Cache<String, Visit> visits =
            Caffeine.newBuilder().maximumSize(MAX_VISITS).executor(Runnable::run).build();

    private final NodeMetrics metrics = new NodeMetrics();
    private List<MachineType> types = List.of();
    private boolean probing;

    /**
     * A worker's first report here is carried, which renews its lease, as it may be here because it
     * can't reach the leader. Then it is sent on; one that comes back indeed can't, or the leader
     * has too many: it stays for a while.
     */
    private record Visit(long sinceMicros, boolean redirected, long proxiedUntilMicros) {}

    public Node(
            EventLoop loop,
            HttpTransport transport,
            PeerTransport net,
            ServiceSettings settings,
            OperatorSettings operator,
            Random random) {
        this(loop, transport, net, settings, operator, random, StepObserver.NONE);
    }

    /** The same, with an observer of each step of the core. */
    public Node(
            EventLoop loop,
            HttpTransport transport,
            PeerTransport net,
            ServiceSettings settings,
            OperatorSettings operator,
            Random random,
            StepObserver observer) {
        this.loop = loop;
        this.settings = settings;
        this.operator = operator;
        limits = new StoreLimits(settings.store());
        SocketBudget plan = SocketBudget.of(settings);
        attendance =
                new AgentConnectionBalancer(plan.agents(), settings.agents().heartbeatMicros());
        delegatedRenewer = new DelegatedLeaseRenewer(loop, settings, random);
        isolation = new IsolationDetector(loop);
        store =
                new StoreClient(
                        loop,
                        transport,
                        settings,
                        limits,
                        random,
                        served -> {
                            delegatedRenewer.onStoreAnswer(served);
                            isolation.onStoreAnswer(served);
                        });
        rollout =
                new RolloutParticipant(
                        loop, store, settings, operator, random, this::onRolloutChanged);
        cloud = new CloudClient(loop, transport, settings);
        leaderActions =
                new LeaderActions(
                        loop,
                        store,
                        cloud,
                        new AgentClient(transport, plan.direct()),
                        settings,
                        limits,
                        rollout,
                        metrics,
                        delegatedRenewer,
                        this::stepDown,
                        this::sendDelegation);
        Scheduler scheduler = new Scheduler(SchedulerSettings.of(settings, operator));
        queue =
                new EventQueue(
                        loop,
                        scheduler,
                        metrics,
                        MAX_WAITING_REPORTS,
                        leaderActions::execute,
                        observer);
        leaderActions.attach(queue);
        storeRelay = new StoreRelay(loop, store, settings, limits, rollout, random);
        deferred =
                new DeferredHeartbeats(
                        loop,
                        MAX_WAITING_REPORTS,
                        report -> route(report.body(), report.answer(), report.untilMicros()));
        election =
                new Election(
                        loop,
                        store,
                        settings.label(),
                        random,
                        rollout,
                        new Election.Listener() {
                            @Override
                            public void onElected(long term, long leaderRevision) {
                                store.setLeader(true);
                                confirmations.startTerm(term);
                                leaderActions.start(term, leaderRevision);
                                storeRelay.start(term, Node.this::decide);
                            }

                            @Override
                            public void onLeaderChanged() {
                                peers.announceTerm();
                                // Reports that waited for a leader, or for one that is gone
                                // meanwhile, have somewhere to go now.
                                deferred.releaseAll();
                                storeRelay
                                        .withdrawAll()
                                        .forEach(
                                                report ->
                                                        route(
                                                                report.body(),
                                                                report.answer(),
                                                                report.untilMicros()));
                            }

                            @Override
                            public void onDeposed(String reason) {
                                store.setLeader(false);
                                confirmations.endTerm();
                                storeRelay.stop();
                                leaderActions.stop();
                            }
                        });
        peers =
                new PeerTracker(
                        loop,
                        net,
                        settings.peers().stream().map(Peer::label).toList(),
                        election,
                        rollout,
                        new PeerTracker.Inbox() {
                            @Override
                            public void onJobChanged(JobRecord record, long revision) {
                                notifyScheduler(record, revision);
                            }

                            @Override
                            public void onForwardedHeartbeat(
                                    byte[] report, Consumer<Response> answer) {
                                decide(report, answer);
                            }

                            @Override
                            public PeerStatus status() {
                                return delegatedRenewer.isEnabled()
                                        ? delegatedRenewer.status()
                                        : null;
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
                        });
        confirmations = new CancellationConfirmer(loop, settings, random, carrier(), view());
        JobApi jobs =
                new JobApi(
                        loop,
                        store,
                        settings,
                        storage(),
                        types(),
                        this::onJobChanged,
                        confirmations);
        router = new Router(gate(), jobs, this::onHeartbeat, metrics);
        metrics.gauge("woadloom.jobs.unanswered_s", jobs, j -> j.longestUnansweredMicros() / 1e6);
        metrics.gauge("woadloom.alone", this, node -> node.isIsolated() ? 1 : 0);
        metrics.gauge("woadloom.leader", election, e -> e.isLeader() ? 1 : 0);
        metrics.gauge("woadloom.term", election, Election::knownTerm);
        metrics.gauge("woadloom.state.troubles", store, StoreClient::failures);
        metrics.gauge("woadloom.state.shed", store, StoreClient::shed);
        metrics.gauge("woadloom.jobs", scheduler, Scheduler::jobs);
        metrics.gauge("woadloom.machines", scheduler, Scheduler::machines);
        metrics.gauge("woadloom.machines.deaf", scheduler, Scheduler::unreachableMachines);
        metrics.gauge("woadloom.jobs.waiting", scheduler, Scheduler::blockedJobs);
        metrics.gauge("woadloom.rollout.number", rollout, RolloutParticipant::number);
        metrics.gauge("woadloom.rollout.on", rollout, RolloutParticipant::enabledCount);
        metrics.gauge("woadloom.rollout.rewrite", scheduler, Scheduler::recordsToMigrate);
        metrics.gauge("woadloom.rollout.unreadable", scheduler, Scheduler::unreadableRecords);
        metrics.gauge("woadloom.rollout.closed", rollout, r -> r.closedReason() == null ? 0 : 1);
        metrics.gauge("woadloom.reservations", scheduler, Scheduler::reservations);
        metrics.gauge("woadloom.cancellations.behind_s", confirmations, c -> c.lagMicros() / 1e6);
        metrics.gauge(
                "woadloom.cancellations.waiting", confirmations, CancellationConfirmer::waiting);
        metrics.gauge(
                "woadloom.cancellations.malformed",
                confirmations,
                CancellationConfirmer::malformed);
        metrics.gauge("woadloom.reports.queue_full", queue, EventQueue::refused);
        metrics.gauge("woadloom.reports.parked_full", deferred, DeferredHeartbeats::refused);
        metrics.gauge("woadloom.peers.queue_full", peers, PeerTracker::refused);
        metrics.gauge("woadloom.workers.here", attendance, AgentConnectionBalancer::size);
    }

    NodeMetrics metrics() {
        return metrics;
    }

    public Router router() {
        return router;
    }

    public void start() {
        LOG.info("event=node_started node={} zone={}", settings.label(), settings.zone());
        election.start();
        peers.start();
        rollout.start();
        probeStore();
        readTypes();
    }

    /**
     * While the leader is out of touch this node finds out whether the state service is, too: only
     * asking tells. Reports that wait for either are answered as soon as it may take care of their
     * workers.
     */
    private void probeStore() {
        loop.schedule(STORE_PROBE_MICROS, this::probeStore);
        String leader = election.leader();
        boolean inTouch = election.isLeader() || leader != null && peers.isReachable(leader);
        if (inTouch && !isolation.isStoreFailing()) {
            return;
        }
        if (!probing) {
            probing = true;
            store.get(
                    RequestPriority.CONTROL,
                    StoreKeys.LEADER,
                    (result, entry, storeRevision) -> probing = false);
        }
        if (!inTouch && delegatedRenewer.mayRenew()) {
            deferred.releaseAll();
            storeRelay
                    .withdrawAll()
                    .forEach(report -> route(report.body(), report.answer(), report.untilMicros()));
        }
    }

    /**
     * True where the state service is lost to this node alone, as far as it can tell, and users
     * come to it in vain.
     */
    private boolean isIsolated() {
        return isolation.isIsolated(
                delegatedRenewer.arePeersServed(), !peers.reachablePeers().isEmpty());
    }

    private void onRolloutChanged() {
        if (rollout.isOn(Feature.ZONE_CARE) && operator.care()) {
            delegatedRenewer.enable();
        }
        confirmations.setEnabled(rollout.isOn(Feature.CANCELLATION_VOUCHES));
        if (!rollout.mayBeOn(Feature.CANCELLATION_VOUCHES)) {
            confirmations.onNeverEnabled();
        }
        if (rollout.closedReason() != null) {
            election.stepDown(rollout.closedReason());
        }
        leaderActions.onRolloutChanged();
    }

    private Router.Gate gate() {
        return new Router.Gate() {
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
        };
    }

    private CancellationConfirmer.Carrier carrier() {
        return new CancellationConfirmer.Carrier() {
            @Override
            public String reachableLeader() {
                String leader = election.leader();
                return leader != null && (election.isLeader() || peers.isReachable(leader))
                        ? leader
                        : null;
            }

            @Override
            public long term() {
                return election.knownTerm();
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
        };
    }

    private CancellationConfirmer.View view() {
        return new CancellationConfirmer.View() {
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
        };
    }

    private JobApi.Storage storage() {
        return new JobApi.Storage() {
            @Override
            public RecordFormat format() {
                return rollout.format();
            }

            @Override
            public int valueBytes() {
                return rollout.format() == RecordFormat.COMPACT
                        ? limits.valueBytes()
                        : limits.currentValueBytes();
            }

            @Override
            public void onFormatSeen(RecordFormat format) {
                rollout.onFormatSeen(format);
            }
        };
    }

    private void sendDelegation(String node, LeaseDelegation delegation) {
        if (node.equals(settings.label())) {
            delegatedRenewer.onDelegation(delegation);
        } else {
            peers.sendDelegation(node, delegation);
        }
    }

    private void stepDown(String reason) {
        election.stepDown(reason);
    }

    /**
     * A job that this node made durable: the leader is told, and would find it by its watch as
     * well.
     */
    private void onJobChanged(JobRecord record, long revision) {
        String leader = election.leader();
        if (election.isLeader()) {
            notifyScheduler(record, revision);
        } else if (leader != null) {
            peers.notifyJobChanged(leader, record, revision);
        }
    }

    private void notifyScheduler(JobRecord record, long revision) {
        if (leaderActions.isReady()) {
            queue.add(new SchedulerEvent.JobStored(record, revision));
        }
    }

    private JobApi.Types types() {
        return new JobApi.Types() {
            @Override
            public List<MachineType> current() {
                return types;
            }

            @Override
            public void refresh(Consumer<Boolean> answered) {
                cloud.types(
                        found -> {
                            boolean told = found != null && !found.isEmpty();
                            if (told) {
                                onMachineTypes(found);
                            }
                            answered.accept(told);
                        });
            }
        };
    }

    /**
     * The machine types, from the cloud or, while that does not answer, as another node stored
     * them.
     */
    private void readTypes() {
        cloud.types(
                found -> {
                    if (found != null && !found.isEmpty()) {
                        onMachineTypes(found);
                        storeTypes(found);
                        return;
                    }
                    store.get(
                            RequestPriority.NORMAL,
                            StoreKeys.TYPES,
                            (result, entry, storeRevision) -> {
                                if (result == Result.OK && types.isEmpty()) {
                                    try {
                                        onMachineTypes(MachineType.parseAll(entry.value()));
                                    } catch (MalformedMessageException e) {
                                        LOG.error(
                                                "event=record_unreadable key={} error=\"{}\"",
                                                StoreKeys.TYPES,
                                                e.getMessage());
                                    }
                                }
                                loop.schedule(TYPES_RETRY_MICROS, this::readTypes);
                            });
                });
    }

    private void onMachineTypes(List<MachineType> found) {
        types = List.copyOf(found);
        queue.add(new SchedulerEvent.MachineTypesRead(types));
    }

    private void storeTypes(List<MachineType> found) {
        List<Object> list = new ArrayList<>();
        for (MachineType type : found) {
            list.add(type.toMap());
        }
        store.txn(
                RequestPriority.BACKGROUND,
                List.of(),
                List.of(Change.put(StoreKeys.TYPES, ImmutableMap.of("hosttypes", list))),
                (result, storeRevision, failed) -> {});
    }

    private void onHeartbeat(byte[] body, Consumer<Response> answer) {
        // Whatever a report waited for in vain, it may be that the leader and the state service are
        // out of reach.
        route(
                body,
                response -> {
                    Response cared =
                            response.status() == 421 || response.status() == 503
                                    ? delegatedRenewer.answer(body)
                                    : null;
                    answer.accept(cared == null ? response : cared);
                },
                loop.nowMicros() + DeferredHeartbeats.WAIT_MICROS);
    }

    /**
     * Only the leader decides a report; the others send its worker there, or carry it. While there
     * is no leader the report waits here: sent on, its worker would spend its lease on nodes that
     * are gone or cut off.
     */
    private void route(byte[] body, Consumer<Response> answer, long untilMicros) {
        if (election.isLeader()) {
            decide(body, answer, loop.nowMicros() + LOADING_MICROS, true);
            return;
        }
        Response cared = delegatedRenewer.answer(body);
        if (cared != null) {
            answer.accept(cared);
            return;
        }
        String host;
        try {
            host = Heartbeat.read(body).host();
        } catch (MalformedMessageException e) {
            answer.accept(Response.error(400, e.getMessage()));
            return;
        }
        String leader = election.leader();
        if (leader == null || leader.equals(settings.label()) || peers.isGone(leader)) {
            if (isIsolated() && peers.reachablePeers().isEmpty()) {
                // No word of a leader will come here; the others have one, or will have.
                answer.accept(Response.of(421, Map.of()));
                return;
            }
            deferred.defer(new DeferredHeartbeats.PendingHeartbeat(body, answer, untilMicros));
            return;
        }
        long now = loop.nowMicros();
        Visit before = visits.getIfPresent(host);
        boolean here = before != null && now - before.sinceMicros < RETURN_WINDOW_MICROS;
        boolean stays = before != null && now < before.proxiedUntilMicros;
        boolean cameBack = here && before.redirected || stays;
        if (!peers.isReachable(leader) && (cameBack || !peers.isRefusing(leader))) {
            // Silence means a cut, which the worker would only find out by waiting for most of its
            // lease.
            storeRelay.relay(
                    host, new DeferredHeartbeats.PendingHeartbeat(body, answer, untilMicros));
            return;
        }
        boolean first = !here && !stays && peers.isReachable(leader);
        if (first) {
            visits.put(host, new Visit(now, false, 0));
        } else if (cameBack && !stays) {
            visits.put(host, new Visit(now, true, now + PROXY_MICROS));
        }
        if (first || cameBack) {
            peers.forward(leader, body, answer);
            return;
        }
        visits.put(host, new Visit(now, true, 0));
        answer.accept(Response.of(421, Map.of("overseer", leader)));
    }

    /** A report that another node carried. */
    private void decide(byte[] body, Consumer<Response> answer) {
        decide(body, answer, loop.nowMicros() + LOADING_MICROS, false);
    }

    /**
     * @param direct the worker is connected to this node
     */
    private void decide(byte[] body, Consumer<Response> answer, long untilMicros, boolean direct) {
        if (election.isLeader() && !leaderActions.isReady() && loop.nowMicros() < untilMicros) {
            // The records are being read; sent away now, the worker would be a second or more
            // without its leader.
            loop.schedule(LOADING_POLL_MICROS, () -> decide(body, answer, untilMicros, direct));
            return;
        }
        if (election.isLeader() && leaderActions.isReady() && confirmations.mustSuspendLeases()) {
            answer.accept(Response.unavailable("cut off from the state service for too long"));
            return;
        }
        if (!election.isLeader() || !leaderActions.isReady()) {
            answer.accept(Response.of(421, Map.of()));
            return;
        }
        Heartbeat heartbeat;
        try {
            heartbeat = Heartbeat.read(body);
        } catch (MalformedMessageException e) {
            answer.accept(Response.error(400, e.getMessage()));
            return;
        }
        String elsewhere = redirectTarget(heartbeat, direct);
        if (elsewhere != null) {
            answer.accept(Response.of(421, Map.of("overseer", elsewhere)));
            return;
        }
        leaderActions.onHeartbeat(
                heartbeat,
                decided ->
                        answer.accept(
                                decided == null
                                        ? Response.unavailable("not taken here")
                                        : toResponse(decided)));
    }

    /** The node that is to take a worker from this one, or null if it may stay. */
    private String redirectTarget(Heartbeat heartbeat, boolean direct) {
        if (!direct) {
            attendance.onForwarded(heartbeat.host());
            return null;
        }
        boolean renewed =
                heartbeat.fencingToken() >> AgentLiveness.FENCE_BITS == election.knownTerm();
        return attendance.redirectTarget(
                heartbeat.host(), renewed, peers.reachablePeers(), loop.nowMicros());
    }

    private static Response toResponse(SchedulerAction.AnswerHeartbeat answer) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("epoch", answer.fencingToken());
        map.put("orders", AgentClient.orders(answer.commands()));
        return Response.of(200, map);
    }
}
