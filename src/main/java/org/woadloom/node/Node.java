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
import org.woadloom.attend.Attendance;
import org.woadloom.cloud.CloudClient;
import org.woadloom.core.Command;
import org.woadloom.core.Core;
import org.woadloom.core.CoreSettings;
import org.woadloom.core.Effect;
import org.woadloom.core.cancellation.Vouch;
import org.woadloom.core.cancellation.VouchTaken;
import org.woadloom.core.care.NodeStanding;
import org.woadloom.core.care.Warrant;
import org.woadloom.core.hearing.Hearing;
import org.woadloom.core.rollout.Feature;
import org.woadloom.http.JobApi;
import org.woadloom.http.Response;
import org.woadloom.http.Router;
import org.woadloom.leader.Election;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.net.HttpTransport;
import org.woadloom.net.Loop;
import org.woadloom.net.SocketPlan;
import org.woadloom.peer.PeerNet;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Peer;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.state.JobRecord;
import org.woadloom.state.Keys;
import org.woadloom.state.Limits;
import org.woadloom.state.RecordFormat;
import org.woadloom.state.StateClient;
import org.woadloom.state.StateClient.Change;
import org.woadloom.state.StateClient.Result;
import org.woadloom.state.StateClient.Urgency;
import org.woadloom.wire.MachineType;
import org.woadloom.wire.WireException;
import org.woadloom.wire.WorkerReport;
import org.woadloom.worker.WorkerClient;

/** One controller node, apart from its sockets: everything in it runs on one loop. */
public final class Node {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final long TYPES_RETRY_MICROS = 1_000_000;
    /** A new leader reads hundreds of records with cold code; a worker waits four seconds for its answer. */
    private static final long LOADING_MICROS = 2_500_000;
    private static final long LOADING_POLL_MICROS = 20_000;
    private static final long RETURN_MICROS = 12_000_000;
    private static final long LOOK_MICROS = 700_000;
    /** A worker that could not stay with the leader is carried for so long before it is sent there again. */
    private static final long STAY_MICROS = 60_000_000;
    /**
     * After a full stop every worker reports within one interval while there is no leader yet: half more than the largest
     * fleet of about 4,000 machines, as some repeat theirs. A report takes about a kilobyte.
     */
    static final int MAX_WAITING_REPORTS = 6_000;
    /** Twice the largest fleet, so that no machine that still reports drops out. */
    private static final int MAX_VISITS = 10_000;

    private final Loop loop;
    private final ServiceSettings settings;
    private final OperatorSettings operator;
    private final Limits limits;
    private final StateClient state;
    private final Rollout rollout;
    private final CloudClient cloud;
    private final Election election;
    private final LeaderDuties duties;
    private final CommandQueue queue;
    private final Router router;
    private final PeerLinks peers;
    private final Mailbox mailbox;
    private final ParkedReports parked;
    private final Care care;
    private final Confirmations confirmations;
    private final Isolation isolation;
    private final Attendance attendance;
    /** Workers that came to this node instead of the leader's lately. */
    private final Cache<String, Visit> visits = Caffeine.newBuilder().maximumSize(MAX_VISITS)
            .executor(Runnable::run).build();
    private final NodeMetrics metrics = new NodeMetrics();
    private List<MachineType> types = List.of();
    private boolean probing;

    /**
     * A worker's first report here is carried, which renews its lease, as it may be here because it can't reach the leader.
     * Then it is sent on; one that comes back indeed can't, or the leader has too many: it stays for a while.
     */
    private record Visit(long sinceMicros, boolean sentOn, long staysUntilMicros) {
    }

    public Node(Loop loop, HttpTransport transport, PeerNet net, ServiceSettings settings,
            OperatorSettings operator, Random random) {
        this(loop, transport, net, settings, operator, random, StepObserver.NONE);
    }

    /** The same, with an observer of each step of the core. */
    public Node(Loop loop, HttpTransport transport, PeerNet net, ServiceSettings settings,
            OperatorSettings operator, Random random, StepObserver observer) {
        this.loop = loop;
        this.settings = settings;
        this.operator = operator;
        limits = new Limits(settings.state());
        SocketPlan plan = SocketPlan.of(settings);
        attendance = new Attendance(plan.workers(), settings.workers().reportMicros());
        care = new Care(loop, settings, random);
        isolation = new Isolation(loop);
        state = new StateClient(loop, transport, settings, limits, random, served -> {
            care.stateAnswered(served);
            isolation.stateAnswered(served);
        });
        rollout = new Rollout(loop, state, settings, operator, random, this::rolloutChanged);
        cloud = new CloudClient(loop, transport, settings);
        duties = new LeaderDuties(loop, state, cloud, new WorkerClient(transport, plan.direct()), settings, limits, rollout, metrics, care, this::abdicate,
                this::giveWarrant);
        Core core = new Core(CoreSettings.of(settings, operator));
        queue = new CommandQueue(loop, core, metrics, MAX_WAITING_REPORTS, duties::execute, observer);
        duties.attach(queue);
        mailbox = new Mailbox(loop, state, settings, limits, rollout, random);
        parked = new ParkedReports(loop, MAX_WAITING_REPORTS,
                report -> route(report.body(), report.answer(), report.untilMicros()));
        election = new Election(loop, state, settings.label(), random, rollout, new Election.Listener() {
            @Override
            public void elected(long term, long leaderStamp) {
                state.lead(true);
                confirmations.lead(term);
                duties.begin(term, leaderStamp);
                mailbox.lead(term, Node.this::decide);
            }

            @Override
            public void leaderSeen() {
                peers.sayTerm();
                // Reports that waited for a leader, or for one that is gone meanwhile, have somewhere to go now.
                parked.release();
                mailbox.takeBack().forEach(report -> route(report.body(), report.answer(), report.untilMicros()));
            }

            @Override
            public void deposed(String reason) {
                state.lead(false);
                confirmations.end();
                mailbox.end();
                duties.end();
            }
        });
        peers = new PeerLinks(loop, net, settings.peers().stream().map(Peer::label).toList(), election, rollout, new PeerLinks.Inbox() {
            @Override
            public void hint(JobRecord record, long stamp) {
                tellCore(record, stamp);
            }

            @Override
            public void carried(byte[] report, Consumer<Response> answer) {
                decide(report, answer);
            }

            @Override
            public NodeStanding standing() {
                return care.allowed() ? care.standing() : null;
            }

            @Override
            public void stands(String peer, NodeStanding standing) {
                if (care.allowed()) {
                    care.stands(peer, standing);
                    duties.nodeSpoke(peer, standing);
                }
            }

            @Override
            public void warranted(Warrant warrant) {
                care.warranted(warrant);
            }

            @Override
            public void vouch() {
                confirmations.vouch();
            }

            @Override
            public void vouched(String peer, Vouch vouch) {
                confirmations.heard(peer, vouch);
            }

            @Override
            public void taken(VouchTaken taken) {
                confirmations.taken(taken);
            }

            @Override
            public void spoke(String peer, long term, boolean leads) {
                confirmations.peerSpoke(peer, term, leads);
            }
        });
        confirmations = new Confirmations(loop, settings, random, carrier(), view());
        JobApi jobs = new JobApi(loop, state, settings, storage(), types(), this::changed, confirmations);
        router = new Router(gate(), jobs, this::report, metrics);
        metrics.gauge("woadloom.jobs.unanswered_s", jobs, j -> j.longestUnansweredMicros() / 1e6);
        metrics.gauge("woadloom.alone", this, node -> node.alone() ? 1 : 0);
        metrics.gauge("woadloom.leader", election, e -> e.leads() ? 1 : 0);
        metrics.gauge("woadloom.term", election, Election::knownTerm);
        metrics.gauge("woadloom.state.troubles", state, StateClient::troubles);
        metrics.gauge("woadloom.state.shed", state, StateClient::shed);
        metrics.gauge("woadloom.jobs", core, Core::jobs);
        metrics.gauge("woadloom.machines", core, Core::machines);
        metrics.gauge("woadloom.machines.deaf", core, Core::deafMachines);
        metrics.gauge("woadloom.jobs.waiting", core, Core::waiting);
        metrics.gauge("woadloom.rollout.number", rollout, Rollout::number);
        metrics.gauge("woadloom.rollout.on", rollout, Rollout::features);
        metrics.gauge("woadloom.rollout.rewrite", core, Core::toRewrite);
        metrics.gauge("woadloom.rollout.unreadable", core, Core::unreadable);
        metrics.gauge("woadloom.rollout.closed", rollout, r -> r.closed() == null ? 0 : 1);
        metrics.gauge("woadloom.reservations", core, Core::reservations);
        metrics.gauge("woadloom.cancellations.behind_s", confirmations, c -> c.behindMicros() / 1e6);
        metrics.gauge("woadloom.cancellations.waiting", confirmations, Confirmations::waiting);
        metrics.gauge("woadloom.cancellations.malformed", confirmations, Confirmations::malformed);
        metrics.gauge("woadloom.reports.queue_full", queue, CommandQueue::refused);
        metrics.gauge("woadloom.reports.parked_full", parked, ParkedReports::refused);
        metrics.gauge("woadloom.peers.queue_full", peers, PeerLinks::refused);
        metrics.gauge("woadloom.workers.here", attendance, Attendance::size);
    }

    NodeMetrics metrics() {
        return metrics;
    }

    public Router router() {
        return router;
    }

    public void start() {
        LOG.info("event=node_started node={} zone={}", settings.label(), settings.area());
        election.start();
        peers.start();
        rollout.start();
        lookAround();
        readTypes();
    }

    /**
     * While the leader is out of touch this node finds out whether the state service is, too: only asking tells. Reports
     * that wait for either are answered as soon as it may take care of their workers.
     */
    private void lookAround() {
        loop.schedule(LOOK_MICROS, this::lookAround);
        String leader = election.leader();
        boolean inTouch = election.leads() || leader != null && peers.reaches(leader);
        if (inTouch && !isolation.failing()) {
            return;
        }
        if (!probing) {
            probing = true;
            state.get(Urgency.CONTROL, Keys.LEADER, (result, entry, generation) -> probing = false);
        }
        if (!inTouch && care.mayCare()) {
            parked.release();
            mailbox.takeBack().forEach(report -> route(report.body(), report.answer(), report.untilMicros()));
        }
    }

    /** True where the state service is lost to this node alone, as far as it can tell, and users come to it in vain. */
    private boolean alone() {
        return isolation.alone(care.peersServed(), !peers.reached().isEmpty());
    }

    private void rolloutChanged() {
        if (rollout.on(Feature.ZONE_CARE) && operator.care()) {
            care.allow();
        }
        confirmations.on(rollout.on(Feature.CANCELLATION_VOUCHES));
        if (!rollout.mayBeOn(Feature.CANCELLATION_VOUCHES)) {
            confirmations.neverOn();
        }
        if (rollout.closed() != null) {
            election.stepDown(rollout.closed());
        }
        duties.rolloutChanged();
    }

    private Router.Gate gate() {
        return new Router.Gate() {
            @Override
            public String closed() {
                return rollout.closed();
            }

            @Override
            public void reachedFromOutside() {
                isolation.reachedFromOutside();
            }

            @Override
            public boolean healthy() {
                return !alone();
            }

            @Override
            public String notYet() {
                return rollout.known() ? null : "not yet known what the other nodes use";
            }
        };
    }

    private Confirmations.Carrier carrier() {
        return new Confirmations.Carrier() {
            @Override
            public String reachedLeader() {
                String leader = election.leader();
                return leader != null && (election.leads() || peers.reaches(leader)) ? leader : null;
            }

            @Override
            public long term() {
                return election.knownTerm();
            }

            @Override
            public void vouch(String leader, Vouch vouch) {
                peers.vouch(leader, vouch);
            }

            @Override
            public void taken(String node, VouchTaken taken) {
                peers.taken(node, taken);
            }

            @Override
            public long stateSilentMicros() {
                return care.stateSilentMicros();
            }
        };
    }

    private Confirmations.View view() {
        return new Confirmations.View() {
            @Override
            public boolean ready() {
                return duties.ready();
            }

            @Override
            public long cancellationsSeenMicros() {
                return duties.cancellationsSeenMicros();
            }

            @Override
            public void cancelled(List<String> uids) {
                duties.cancellationsTold(uids);
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
                return rollout.format() == RecordFormat.COMPACT ? limits.valueBytes() : limits.valueBytesNow();
            }

            @Override
            public void seen(RecordFormat format) {
                rollout.seen(format);
            }
        };
    }

    private void giveWarrant(String node, Warrant warrant) {
        if (node.equals(settings.label())) {
            care.warranted(warrant);
        } else {
            peers.warrant(node, warrant);
        }
    }

    private void abdicate(String reason) {
        election.stepDown(reason);
    }

    /** A job that this node made durable: the leader is told, and would find it by its watch as well. */
    private void changed(JobRecord record, long stamp) {
        String leader = election.leader();
        if (election.leads()) {
            tellCore(record, stamp);
        } else if (leader != null) {
            peers.hint(leader, record, stamp);
        }
    }

    private void tellCore(JobRecord record, long stamp) {
        if (duties.ready()) {
            queue.add(new Command.JobSeen(record, stamp));
        }
    }

    private JobApi.Types types() {
        return new JobApi.Types() {
            @Override
            public List<MachineType> types() {
                return types;
            }

            @Override
            public void readAnew(Consumer<Boolean> answered) {
                cloud.types(found -> {
                    boolean told = found != null && !found.isEmpty();
                    if (told) {
                        typesSeen(found);
                    }
                    answered.accept(told);
                });
            }
        };
    }

    /** The machine types, from the cloud or, while that does not answer, as another node stored them. */
    private void readTypes() {
        cloud.types(found -> {
            if (found != null && !found.isEmpty()) {
                typesSeen(found);
                storeTypes(found);
                return;
            }
            state.get(Urgency.NORMAL, Keys.TYPES, (result, entry, generation) -> {
                if (result == Result.OK && types.isEmpty()) {
                    try {
                        typesSeen(MachineType.parseAll(entry.value()));
                    } catch (WireException e) {
                        LOG.error("event=record_unreadable key={} error=\"{}\"", Keys.TYPES, e.getMessage());
                    }
                }
                loop.schedule(TYPES_RETRY_MICROS, this::readTypes);
            });
        });
    }

    private void typesSeen(List<MachineType> found) {
        types = List.copyOf(found);
        queue.add(new Command.TypesSeen(types));
    }

    private void storeTypes(List<MachineType> found) {
        List<Object> list = new ArrayList<>();
        for (MachineType type : found) {
            list.add(type.toMap());
        }
        state.txn(Urgency.BACKGROUND, List.of(), List.of(Change.put(Keys.TYPES, ImmutableMap.of("hosttypes", list))),
                (result, generation, failed) -> {
                });
    }

    private void report(byte[] body, Consumer<Response> answer) {
        // Whatever a report waited for in vain, it may be that the leader and the state service are out of reach.
        route(body, response -> {
            Response cared = response.status() == 421 || response.status() == 503 ? care.answer(body) : null;
            answer.accept(cared == null ? response : cared);
        }, loop.nowMicros() + ParkedReports.WAIT_MICROS);
    }

    /**
     * Only the leader decides a report; the others send its worker there, or carry it. While there is no leader the report
     * waits here: sent on, its worker would spend its lease on nodes that are gone or cut off.
     */
    private void route(byte[] body, Consumer<Response> answer, long untilMicros) {
        if (election.leads()) {
            decide(body, answer, loop.nowMicros() + LOADING_MICROS, true);
            return;
        }
        Response cared = care.answer(body);
        if (cared != null) {
            answer.accept(cared);
            return;
        }
        String host;
        try {
            host = WorkerReport.read(body).host();
        } catch (WireException e) {
            answer.accept(Response.error(400, e.getMessage()));
            return;
        }
        String leader = election.leader();
        if (leader == null || leader.equals(settings.label()) || peers.gone(leader)) {
            if (alone() && peers.reached().isEmpty()) {
                // No word of a leader will come here; the others have one, or will have.
                answer.accept(Response.of(421, Map.of()));
                return;
            }
            parked.park(new ParkedReports.Parked(body, answer, untilMicros));
            return;
        }
        long now = loop.nowMicros();
        Visit before = visits.getIfPresent(host);
        boolean here = before != null && now - before.sinceMicros < RETURN_MICROS;
        boolean stays = before != null && now < before.staysUntilMicros;
        boolean cameBack = here && before.sentOn || stays;
        if (!peers.reaches(leader) && (cameBack || !peers.refuses(leader))) {
            // Silence means a cut, which the worker would only find out by waiting for most of its lease.
            mailbox.carry(host, new ParkedReports.Parked(body, answer, untilMicros));
            return;
        }
        boolean first = !here && !stays && peers.reaches(leader);
        if (first) {
            visits.put(host, new Visit(now, false, 0));
        } else if (cameBack && !stays) {
            visits.put(host, new Visit(now, true, now + STAY_MICROS));
        }
        if (first || cameBack) {
            peers.carry(leader, body, answer);
            return;
        }
        visits.put(host, new Visit(now, true, 0));
        answer.accept(Response.of(421, Map.of("overseer", leader)));
    }

    /** A report that another node carried. */
    private void decide(byte[] body, Consumer<Response> answer) {
        decide(body, answer, loop.nowMicros() + LOADING_MICROS, false);
    }

    /** @param direct the worker is connected to this node */
    private void decide(byte[] body, Consumer<Response> answer, long untilMicros, boolean direct) {
        if (election.leads() && !duties.ready() && loop.nowMicros() < untilMicros) {
            // The records are being read; sent away now, the worker would be a second or more without its leader.
            loop.schedule(LOADING_POLL_MICROS, () -> decide(body, answer, untilMicros, direct));
            return;
        }
        if (election.leads() && duties.ready() && confirmations.mustRest()) {
            answer.accept(Response.unavailable("cut off from the state service for too long"));
            return;
        }
        if (!election.leads() || !duties.ready()) {
            answer.accept(Response.of(421, Map.of()));
            return;
        }
        WorkerReport report;
        try {
            report = WorkerReport.read(body);
        } catch (WireException e) {
            answer.accept(Response.error(400, e.getMessage()));
            return;
        }
        String elsewhere = attendant(report, direct);
        if (elsewhere != null) {
            answer.accept(Response.of(421, Map.of("overseer", elsewhere)));
            return;
        }
        duties.report(report, decided -> answer.accept(decided == null ? Response.unavailable("not taken here")
                : reply(decided)));
    }

    /** The node that is to take a worker from this one, or null if it may stay. */
    private String attendant(WorkerReport report, boolean direct) {
        if (!direct) {
            attendance.carried(report.host());
            return null;
        }
        boolean renewed = report.epoch() >> Hearing.FENCE_BITS == election.knownTerm();
        return attendance.sendTo(report.host(), renewed, peers.reached(), loop.nowMicros());
    }

    private static Response reply(Effect.Answer answer) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("epoch", answer.epoch());
        map.put("orders", WorkerClient.orders(answer.orders()));
        return Response.of(200, map);
    }
}
