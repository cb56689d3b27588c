package org.woadloom.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.cancellation.WatermarkReport;
import org.woadloom.core.delegation.PeerStatus;
import org.woadloom.net.EventLoop;
import org.woadloom.net.HttpTransport;
import org.woadloom.node.Node;
import org.woadloom.peer.PeerCodec;
import org.woadloom.peer.PeerFormatException;
import org.woadloom.peer.PeerMessage;
import org.woadloom.peer.PeerTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Peer;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.Team;

/**
 * A whole deployment in virtual time: three nodes of the real program between stand-ins, on a
 * network with faults.
 */
final class ClusterSimulation {
    static final int NODES = 3;

    final SimulatedEventLoop loop = new SimulatedEventLoop();
    final Random random;

    /**
     * Of the troubles that are off unless asked for: a run without them draws the same from {@link
     * #random} as ever.
     */
    private final Random faultRandom;

    private final UserFaults userFaults;
    private final StoreFaults storeFaults;
    private final DelayedHeartbeats delayedHeartbeats;
    final ServiceSettings settings;
    final ObservedState observed;
    final InvariantChecker invariants;
    private final SimulatedStore store;
    private final SimulatedCloud cloud;
    private final Member[] members = new Member[NODES];
    final Scenario scenario;
    final SimulatedUsers users;
    final RandomFaults randomFaults;

    /**
     * Two zones that can't reach each other, or none; the state service and the cloud belong to
     * neither.
     */
    private List<String> partitionedZones = List.of();

    /**
     * The zone that is cut off from everything else, the state service, the cloud and the users
     * among it; or null.
     */
    private String isolatedZone;

    /** While set, no node takes connections from another. */
    private boolean peerConnectionsRefused;

    /** The node that the state service refuses, or -1. */
    private int nodeRefusedByStore = -1;

    /** A second one. */
    private int secondNodeRefusedByStore = -1;

    /** Nobody is told by a peer which jobs it has just changed. */
    boolean changeNotificationsLost;

    /**
     * How many of a hundred transactions get no answer and are carried out 2 to 12 s later, after
     * newer ones.
     */
    int lateWritePercent;

    /** How many of those changed something, and how many were void by then. */
    final int[] lateWriteOutcomes = {0, 0};

    /** Copies of reports that came again. */
    int duplicateHeartbeatsDelivered;

    /** Commands that were executed when the machine went on, or could be reached again. */
    int delayedCommandsExecuted;

    /** What nodes send straight to workers gets lost. */
    boolean directCommandsLost;

    /** Services run for ever, and nobody cancels anything. */
    boolean noRandomCancellations;

    /** The node that no worker can reach and that reaches none, or -1. */
    private int nodeCutFromAgents = -1;

    /**
     * The node that has lost the state service and the other nodes, but neither its workers nor
     * users, or -1.
     */
    private int isolatedNode = -1;

    /** How many of a hundred reports come again, up to a minute later, at any node. */
    int duplicateHeartbeatPercent;

    /** How many of a thousand requests are held back, or lose their answer. */
    int networkFaultPerMille = 4;

    /** By how much a node's time of day is off. */
    final long[] clockOffsetMicros = new long[NODES];

    /** Nodes whose settings name one more than there is. */
    final boolean[] hasExtraPeer = new boolean[NODES];

    /** Nodes that told the leader that they took care of workers. */
    final boolean[] renewedLeases = new boolean[NODES];

    /** Answers after which users looked closely. */
    int pollBursts;

    int unusualRequestsSent;
    int jobsCancelledAtEnd;
    int oneTaskJobsSubmitted;
    int oneTaskJobsCancelled;

    /** Transactions that were carried out and whose answer was lost. */
    int storeAnswersLost;

    /** Those after which another node read jobs before the one that wrote had given up. */
    int lostAnswersFollowedByPeerRead;

    /** Copies that came to a node after the term had changed. */
    int delayedHeartbeatsDelivered;

    /** Machines that were up within two seconds. */
    int fastBoots;

    int leadersEndedInOutages;

    /** The service is broken at its store from this moment on. */
    long flawActiveFromMicros;

    /** Is shown each step of each node. */
    NodeStepObserver stepObserver = (node, now, commands, actions) -> {};

    private long slowLinksMicros;
    private long slowLinksUntilMicros;

    /** Is shown each step of the nodes' cores. */
    interface NodeStepObserver {
        void onStep(
                int node,
                long nowMicros,
                List<SchedulerEvent> commands,
                List<SchedulerAction> actions);
    }

    /** One node and the life of its process. */
    private final class Member {
        final int index;
        boolean alive;

        /** What the process is a stand-in for. */
        Version version;

        int generation;

        /** The process stands still until then: whatever comes to it waits. */
        long frozenUntil;

        Node node;
        Peers peers;

        Member(int index) {
            this.index = index;
        }

        void start() {
            int mine = ++generation;
            alive = true;
            frozenUntil = 0;
            NodeLoop nodeLoop = new NodeLoop(this, mine);
            peers = new Peers(this, mine);
            node =
                    new Node(
                            nodeLoop,
                            (address, method, path, body, timeout, callback) ->
                                    sendFromNode(
                                            this, mine, address, method, path, body, timeout,
                                            callback),
                            peers,
                            settingsOf(
                                    index,
                                    scenario,
                                    scenario.configuredTimes(),
                                    hasExtraPeer[index]),
                            OperatorSettings.defaults(),
                            new Random(random.nextLong()),
                            (now, commands, actions) ->
                                    stepObserver.onStep(index, now, commands, actions));
            node.start();
        }

        void kill() {
            alive = false;
            generation++;
        }

        boolean lives(int mine) {
            return alive && generation == mine;
        }

        /** Does it once the process goes on, if that is there still. */
        void whenAwake(int mine, Runnable task) {
            if (lives(mine) && loop.now() < frozenUntil) {
                loop.at(frozenUntil, () -> whenAwake(mine, task));
            } else if (lives(mine)) {
                task.run();
            }
        }
    }

    private final class NodeLoop implements EventLoop {
        private final Member member;
        private final int mine;

        NodeLoop(Member member, int mine) {
            this.member = member;
            this.mine = mine;
        }

        @Override
        public long nowMicros() {
            return loop.now();
        }

        @Override
        public long wallMicros() {
            return 1_700_000_000_000_000L
                    + loop.now()
                    + member.index * 50_000L
                    + clockOffsetMicros[member.index];
        }

        @Override
        public void execute(Runnable task) {
            schedule(1, task);
        }

        @Override
        public Timer schedule(long delayMicros, Runnable task) {
            boolean[] cancelled = {false};
            loop.after(
                    delayMicros,
                    () ->
                            member.whenAwake(
                                    mine,
                                    () -> {
                                        if (!cancelled[0]) {
                                            task.run();
                                        }
                                    }));
            return () -> cancelled[0] = true;
        }
    }

    private final class Peers implements PeerTransport {
        private final Member member;
        private final int mine;
        private final PeerCodec codec = new PeerCodec();
        private final boolean[] connected = new boolean[NODES];
        private Listener listener;

        Peers(Member member, int mine) {
            this.member = member;
            this.mine = mine;
        }

        @Override
        public void start(Listener heard) {
            listener = heard;
            poll();
        }

        private void poll() {
            if (!member.lives(mine)) {
                return;
            }
            if (loop.now() < member.frozenUntil) {
                loop.at(member.frozenUntil, this::poll);
                return;
            }
            for (Member other : members) {
                if (other == null || other == member) {
                    continue;
                }
                if (areZonesSeparated(zoneOf(other.index), zoneOf(member.index))) {
                    if (connected[other.index]) {
                        connected[other.index] = false;
                        listener.onConnectionLost(label(other.index), false);
                    }
                    continue;
                }
                if (isolatedNode == member.index || isolatedNode == other.index) {
                    if (connected[other.index]) {
                        connected[other.index] = false;
                        listener.onConnectionLost(label(other.index), false);
                    }
                    continue;
                }
                if (peerConnectionsRefused) {
                    boolean was = connected[other.index];
                    connected[other.index] = false;
                    listener.onConnectionLost(label(other.index), !was);
                    continue;
                }
                if (other.alive && !connected[other.index]) {
                    connected[other.index] = true;
                    listener.onConnected(label(other.index));
                } else if (!other.alive) {
                    boolean was = connected[other.index];
                    connected[other.index] = false;
                    listener.onConnectionLost(label(other.index), !was);
                }
            }
            loop.after(150_000, this::poll);
        }

        @Override
        public void send(String to, PeerMessage message) {
            Member other = nodeIndex(to) < NODES ? members[nodeIndex(to)] : null;
            if (other == null
                    || !other.alive
                    || !connected[other.index]
                    || random.nextInt(1000) < networkFaultPerMille) {
                return;
            }
            if (message instanceof PeerMessage.StatusReport stands) {
                renewedLeases[member.index] |= stands.status().sinceLastRenewalMicros() >= 0;
            }
            if (message instanceof PeerMessage.JobChangeNotification && changeNotificationsLost) {
                return;
            }
            if ((message instanceof PeerMessage.CancellationReport
                            || message instanceof PeerMessage.CancellationReportAck)
                    && (member.version != Version.CURRENT || other.version != Version.CURRENT)) {
                // An earlier version can't read it.
                return;
            }
            PeerMessage sent =
                    scenario.flaw() == Scenario.Flaw.BREAKS_NO_RENEWAL_PROMISE
                            ? withNoRenewalPromise(message)
                            : message;
            if (scenario.flaw() == Scenario.Flaw.CONFIRMS_UNNAMED_CANCELLATIONS
                    && message instanceof PeerMessage.CancellationReport vouched) {
                WatermarkReport v = vouched.report();
                sent =
                        new PeerMessage.CancellationReport(
                                new WatermarkReport(
                                        v.term(),
                                        v.processId(),
                                        v.sentMicros(),
                                        v.completeSinceMicros(),
                                        v.echoedLeaderClockMicros(),
                                        v.promiseMicros(),
                                        List.of()));
            }
            if (message instanceof PeerMessage.Ping ping
                    && (member.version != Version.CURRENT || other.version != Version.CURRENT)) {
                sent = new PeerMessage.Ping(ping.term(), ping.leader(), null);
            }
            if (other.version == Version.VERSION_1
                    && message instanceof PeerMessage.JobChangeNotification hint) {
                sent =
                        new PeerMessage.JobChangeNotification(
                                Cbor.encode(ProductionFilter.readRecord(decode(hint.record()))),
                                hint.revision());
            }
            byte[] frame = codec.encode(sent);
            byte[] content = java.util.Arrays.copyOfRange(frame, 4, frame.length);
            int life = other.generation;
            loop.after(
                    random.nextInt(1000) < networkFaultPerMille
                            ? random.nextInt(40_000_000)
                            : delay(),
                    () ->
                            other.whenAwake(
                                    life,
                                    () -> {
                                        if (other.peers.listener != null) {
                                            try {
                                                other.peers.listener.onMessage(
                                                        label(member.index), codec.decode(content));
                                            } catch (PeerFormatException e) {
                                                throw new IllegalStateException(e);
                                            }
                                        }
                                    }));
        }
    }

    ClusterSimulation(long seed, Scenario scenario) {
        PrintReplayCommand.onSimulation(seed);
        random = new Random(seed);
        faultRandom = new Random(~seed);
        this.scenario = scenario;
        settings = settingsOf(0, scenario, scenario.actualTimes(), false);
        observed = new ObservedState(loop, settings);
        userFaults = new UserFaults(this, faultRandom);
        users = new SimulatedUsers(this, random, userFaults);
        randomFaults = new RandomFaults(this, random);
        invariants = new InvariantChecker(loop, settings, observed, userFaults::onLastTaskDone);
        storeFaults = new StoreFaults(this, faultRandom);
        delayedHeartbeats = new DelayedHeartbeats(this, faultRandom);
        store = new SimulatedStore(loop, settings.store());
        cloud = new SimulatedCloud(this, faultRandom);
        if (scenario.flaw() == Scenario.Flaw.ASSUMES_UPGRADE_COMPLETE) {
            store.handle(
                    "POST",
                    "/txn",
                    Map.of(
                            "if",
                            List.of(),
                            "then",
                            List.of(
                                    Map.of(
                                            "put",
                                            "version/agreed",
                                            "value",
                                            Map.of("version", 3L)))),
                    (status, answer) -> {});
        }
        for (int i = 0; i < NODES; i++) {
            members[i] = new Member(i);
            members[i].version = scenario.initialVersion();
        }
        for (Member member : members) {
            loop.after(random.nextInt(500_000), member::start);
        }
        agreeAsVersion3();
        scheduleProgressChecks();
    }

    private void scheduleProgressChecks() {
        loop.after(
                2_000_000,
                () -> {
                    invariants.checkProgress(cloud.machines.values());
                    scheduleProgressChecks();
                });
    }

    /**
     * Any node of version 3 writes the agreement once all nodes have said, at any time, that they
     * run it.
     */
    private void agreeAsVersion3() {
        loop.after(
                1_000_000,
                () -> {
                    boolean all = true;
                    boolean any = false;
                    for (Member member : members) {
                        all &= store.value("version/node/" + label(member.index)) != null;
                        any |= member.alive && member.version == Version.VERSION_3;
                    }
                    if (all && any && !store.down && store.value("version/agreed") == null) {
                        store.handle(
                                "POST",
                                "/txn",
                                Map.of(
                                        "if",
                                        List.of(),
                                        "then",
                                        List.of(
                                                Map.of(
                                                        "put",
                                                        "version/agreed",
                                                        "value",
                                                        Map.of("version", 3L)))),
                                (status, answer) -> {});
                    }
                    agreeAsVersion3();
                });
    }

    boolean isBroken(Scenario.Flaw flaw) {
        return scenario.flaw() == flaw;
    }

    static String label(int index) {
        return "node-" + index;
    }

    static int nodeIndex(String label) {
        return Integer.parseInt(label.substring(5));
    }

    private static List<Team> teams(Scenario scenario) {
        if (scenario.teamsAtQuota()) {
            return List.of(new Team("red", 12, 20, 0, 0), new Team("blue", 8, 12, 0, 0));
        }
        List<Team> teams =
                new ArrayList<>(
                        List.of(new Team("red", 40, 60, 0, 0), new Team("blue", 24, 30, 0, 0)));
        for (int i = 0; i < scenario.extraTeams(); i++) {
            teams.add(new Team("crowd-" + i, 8, i == 0 ? 60 : 20, 0, 0));
        }
        return teams;
    }

    private static ServiceSettings settingsOf(
            int index, Scenario scenario, Scenario.Times times, boolean oneMore) {
        List<Peer> peers = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            if (i != index) {
                peers.add(new Peer(label(i), scenario.zoneOf(i), "node-" + i + ":1"));
            }
        }
        if (oneMore) {
            peers.add(new Peer(label(NODES), "b", "node-" + NODES + ":1"));
        }
        return new ServiceSettings(
                label(index),
                scenario.zoneOf(index),
                "0:1",
                "0:2",
                peers,
                "cloud",
                "state",
                scenario.zoneNames(),
                teams(scenario),
                List.of(),
                new ServiceSettings.Agents(1_500_000, times.leaseMicros(), times.cancelMicros()),
                new ServiceSettings.Store(
                        400, 200, 8192, 12, new ServiceSettings.Store(400, 60, 1500, 4, null)),
                new ServiceSettings.Cloud(8, 3_000_000),
                new ServiceSettings.Resources(1, 200, 1000));
    }

    private long delay() {
        long slow =
                loop.now() < slowLinksUntilMicros ? faultRandom.nextLong(slowLinksMicros + 1) : 0;
        return 200 + random.nextInt(random.nextInt(20) == 0 ? 80_000 : 4_000) + slow;
    }

    private void sendFromNode(
            Member member,
            int mine,
            String address,
            String method,
            String path,
            byte[] body,
            long timeout,
            HttpTransport.Callback callback) {
        transmit(
                timeout,
                (status, answer) ->
                        member.whenAwake(
                                mine,
                                () ->
                                        callback.onResponse(
                                                status,
                                                status > 0 ? Cbor.encode(answer) : new byte[0])),
                reply -> {
                    Map<String, Object> map = decode(body);
                    if (address.equals("state")) {
                        storeFaults.forward(
                                member.index,
                                path,
                                reply,
                                respond ->
                                        deliverFromNode(
                                                member, mine, address, method, path, map, respond));
                    } else {
                        deliverFromNode(member, mine, address, method, path, map, reply);
                    }
                });
    }

    /** What a node sent has come to where it is to be answered. */
    private void deliverFromNode(
            Member member,
            int mine,
            String address,
            String method,
            String path,
            Map<String, Object> map,
            SimulatedStore.Answer respond) {
        if (address.equals("state") && applyStoreFlaw(path, map, respond)) {
            return;
        }
        if (zoneOf(member.index).equals(isolatedZone)) {
            // Held back, and executed when the zone is back.
            loop.after(
                    1_000_000,
                    () -> deliverDelayed(member, mine, address, method, path, map, respond));
        } else if (address.equals("state") && member.index == isolatedNode) {
            // What was sent is executed when the way is open again.
            loop.after(
                    1_000_000,
                    () -> deliverDelayed(member, mine, address, method, path, map, respond));
        } else if (address.equals("state") && isRefusedByStore(member)) {
            respond.answer(503, Map.of("error", "trouble"));
        } else if (address.equals("state") && member.version != Version.CURRENT) {
            sendToStoreAsEarlierVersion(member, mine, method, path, map, respond);
        } else if (address.equals("state")) {
            if (path.equals("/txn") && random.nextInt(100) < lateWritePercent) {
                loop.after(2_000_000 + random.nextInt(10_000_000), () -> executeLate(member, map));
                return;
            }
            SimulatedStore.Answer watch =
                    path.startsWith("/follow")
                            ? (status, answer) ->
                                    answerUnlessRefused(
                                            member,
                                            status,
                                            scenario.flaw() == Scenario.Flaw.ONE_JOB_NEVER_READ
                                                    ? withoutOneJob(answer)
                                                    : answer,
                                            respond)
                            : respond;
            store.handle(
                    method,
                    path,
                    map,
                    scenario.flaw() == Scenario.Flaw.IGNORES_DEPENDENCIES
                            ? (status, answer) ->
                                    watch.answer(
                                            status, ProductionFilter.withoutDependencies(answer))
                            : watch);
        } else if (address.equals("cloud")) {
            loop.after(150_000, () -> cloud.handle(method, path, map, respond));
        } else {
            sendToAgent(member, address, map, respond);
        }
    }

    private static Map<String, Object> withoutOneJob(Map<String, Object> answer) {
        Map<String, Object> without = new LinkedHashMap<>(answer);
        without.computeIfPresent(
                "events",
                (name, events) ->
                        ((List<?>) events)
                                .stream()
                                        .filter(
                                                event ->
                                                        ((Map<?, ?>) event)
                                                                .values().stream()
                                                                        .noneMatch(
                                                                                path ->
                                                                                        path
                                                                                                        instanceof
                                                                                                        String
                                                                                                                        text
                                                                                                && text
                                                                                                        .startsWith(
                                                                                                                "job/j-")
                                                                                                && text
                                                                                                        .endsWith(
                                                                                                                "7")))
                                        .toList());
        return without;
    }

    /** Where the service is broken on purpose at its store: true if that is what answers. */
    private boolean applyStoreFlaw(
            String path, Map<String, Object> body, SimulatedStore.Answer respond) {
        boolean job = path.startsWith("/keys/job/j-");
        if (loop.now() < flawActiveFromMicros) {
            return false;
        }
        switch (scenario.flaw()) {
            case ONE_JOB_NEVER_READ -> {
                if (job && path.endsWith("7")) {
                    respond.answer(503, Map.of("error", "trouble"));
                    return true;
                }
            }
            case MISSES_JOB_RECORDS -> {
                if (job && random.nextInt(20) == 0) {
                    respond.answer(404, Map.of("generation", 0L));
                    return true;
                }
            }
            case STALE_WATCH_EVENTS -> {
                if (path.startsWith("/follow?")
                        && path.endsWith("blockMs=0")
                        && random.nextBoolean()) {
                    long since = Long.parseLong(path.replaceAll(".*since=(\\d+)&.*", "$1"));
                    respond.answer(200, Map.of("generation", since, "events", List.of()));
                    return true;
                }
            }
            case UNCONDITIONAL_WRITES -> {
                if (path.equals("/txn")) {
                    body.put("if", List.of());
                }
            }
            default -> {}
        }
        return false;
    }

    private void executeLate(Member member, Map<String, Object> txn) {
        if (store.down || isRefusedByStore(member)) {
            loop.after(500_000, () -> executeLate(member, txn));
        } else {
            store.handle(
                    "POST",
                    "/txn",
                    txn,
                    (status, answer) -> lateWriteOutcomes[status == 200 ? 0 : 1]++);
        }
    }

    /** A watch that is open waits while the state service refuses its node, as in an outage. */
    private void answerUnlessRefused(
            Member member, int status, Map<String, Object> answer, SimulatedStore.Answer respond) {
        if (isRefusedByStore(member)) {
            loop.after(100_000, () -> answerUnlessRefused(member, status, answer, respond));
        } else {
            respond.answer(status, answer);
        }
    }

    /**
     * What a node sent out of a zone that is cut off arrives late; only the state service still
     * does what it asks.
     */
    private void deliverDelayed(
            Member member,
            int mine,
            String address,
            String method,
            String path,
            Map<String, Object> body,
            SimulatedStore.Answer respond) {
        if (zoneOf(member.index).equals(isolatedZone) || member.index == isolatedNode) {
            loop.after(
                    1_000_000,
                    () -> deliverDelayed(member, mine, address, method, path, body, respond));
        } else if (address.equals("state") && !path.startsWith("/follow")) {
            if (member.version != Version.CURRENT) {
                sendToStoreAsEarlierVersion(member, mine, method, path, body, respond);
            } else {
                store.handle(method, path, body, respond);
            }
        }
    }

    private boolean areZonesSeparated(String zone, String other) {
        return !zone.equals(other)
                && (zone.equals(isolatedZone)
                        || other.equals(isolatedZone)
                        || partitionedZones.contains(zone) && partitionedZones.contains(other));
    }

    private static PeerMessage withNoRenewalPromise(PeerMessage message) {
        if (!(message instanceof PeerMessage.StatusReport stands)) {
            return message;
        }
        PeerStatus s = stands.status();
        return new PeerMessage.StatusReport(
                new PeerStatus(
                        s.processId(),
                        s.uptimeMicros(),
                        s.sentMicros(),
                        s.term(),
                        s.echoedLeaderClockMicros(),
                        60_000_000,
                        -1,
                        s.storeSilentMicros()));
    }

    private void sendToStoreAsEarlierVersion(
            Member member,
            int mine,
            String method,
            String path,
            Map<String, Object> body,
            SimulatedStore.Answer respond) {
        boolean production = member.version == Version.VERSION_1;
        EarlierVersions.forwardToStore(
                store,
                production,
                method,
                path,
                body,
                (status, answer) ->
                        respond.answer(
                                status,
                                status == 200 && production && member.lives(mine)
                                        ? ProductionFilter.readAnswer(answer)
                                        : answer));
    }

    private void sendToAgent(
            Member member,
            String address,
            Map<String, Object> body,
            SimulatedStore.Answer respond) {
        sendToAgent(member, address, body, respond, false);
    }

    private void sendToAgent(
            Member member,
            String address,
            Map<String, Object> body,
            SimulatedStore.Answer respond,
            boolean held) {
        if (directCommandsLost) {
            return;
        }
        for (SimulatedAgent agent : cloud.machines.values()) {
            if (agent.address.equals(address) && !agent.failed) {
                if (areZonesSeparated(agent.zone, zoneOf(member.index))
                        || member.index == nodeCutFromAgents) {
                    // Held back, and executed when the zones can reach each other again.
                    loop.after(1_000_000, () -> sendToAgent(member, address, body, respond, true));
                    return;
                }
                if (agent.isInboundBlocked()) {
                    loop.after(500_000, () -> sendToAgent(member, address, body, respond, true));
                    return;
                }
                if (agent.isHung()) {
                    // The command is executed when the machine goes on.
                    loop.at(
                            agent.hungUntilMicros,
                            () -> sendToAgent(member, address, body, respond, true));
                    return;
                }
                delayedCommandsExecuted += held ? 1 : 0;
                Object[] answer = agent.handleDirectCommand(body);
                @SuppressWarnings("unchecked")
                Map<String, Object> report = (Map<String, Object>) answer[1];
                if (!agent.isOutboundBlocked()) {
                    respond.answer((Integer) answer[0], report);
                }
                return;
            }
        }
    }

    private static Map<String, Object> withDefaults(Map<String, Object> job) {
        try {
            return JobDescription.parse(job).toMap();
        } catch (MalformedMessageException e) {
            return job;
        }
    }

    /** A worker's or a user's request to a node. */
    void sendToNode(
            String from,
            int index,
            String method,
            String path,
            Map<String, Object> body,
            long timeout,
            SimulatedStore.Answer callback) {
        Member member = members[index];
        if (!member.alive) {
            loop.after(1_000, () -> callback.answer(HttpTransport.NOT_SENT, Map.of()));
            return;
        }
        SimulatedAgent agent = cloud.machines.get(from);
        if (agent != null
                && (areZonesSeparated(agent.zone, zoneOf(index)) || index == nodeCutFromAgents)) {
            loop.after(timeout, () -> callback.answer(HttpTransport.NO_RESPONSE, Map.of()));
            return;
        }
        if (agent == null && zoneOf(index).equals(isolatedZone)) {
            loop.after(timeout, () -> callback.answer(HttpTransport.NO_RESPONSE, Map.of()));
            return;
        }
        if (agent != null && (agent.isOutboundBlocked() || agent.areConnectsBlocked())) {
            loop.after(timeout, () -> callback.answer(HttpTransport.NO_RESPONSE, Map.of()));
            return;
        }
        int life = member.generation;
        if (agent != null
                && agent.isInboundBlocked()
                && scenario.flaw() == Scenario.Flaw.UNREACHED_AGENTS_REPORT_SENT_TOKENS) {
            body.put("epoch", Math.max((Long) body.get("epoch"), agent.highestTokenSent));
        }
        boolean fillsIn =
                scenario.flaw() == Scenario.Flaw.DEFAULTS_MISSING_FIELDS && path.equals("/v1/jobs");
        byte[] bytes =
                body == null ? new byte[0] : Cbor.encode(fillsIn ? withDefaults(body) : body);
        if (agent != null && random.nextInt(100) < duplicateHeartbeatPercent) {
            duplicateLater(body);
        }
        if (agent != null) {
            delayedHeartbeats.onHeartbeatSent(body);
        }
        transmit(
                timeout,
                callback,
                respond -> {
                    member.whenAwake(
                            life,
                            () ->
                                    member.node
                                            .router()
                                            .handle(
                                                    method,
                                                    path,
                                                    bytes,
                                                    response -> {
                                                        Map<String, Object> answer =
                                                                decode(response.body());
                                                        if (agent != null
                                                                && answer.get("epoch")
                                                                        instanceof Long token) {
                                                            agent.highestTokenSent =
                                                                    Math.max(
                                                                            agent.highestTokenSent,
                                                                            token);
                                                        }
                                                        if (agent == null
                                                                || !agent.isInboundBlocked()) {
                                                            respond.answer(
                                                                    response.status(), answer);
                                                        }
                                                    }));
                });
    }

    /**
     * The same report arrives again, when its worker may be gone, and whoever answers it answers
     * nobody.
     */
    private void duplicateLater(Map<String, Object> report) {
        byte[] bytes = encodeDuplicate(report);
        loop.after(
                500_000 + random.nextInt(random.nextBoolean() ? 5_000_000 : 60_000_000),
                () ->
                        duplicateHeartbeatsDelivered +=
                                deliverDuplicate(random.nextInt(NODES), bytes) ? 1 : 0);
    }

    byte[] encodeDuplicate(Map<String, Object> report) {
        Map<String, Object> retry = new LinkedHashMap<>(report);
        if (scenario.flaw() == Scenario.Flaw.DELAYED_HEARTBEATS_LOOK_NEW) {
            retry.put("tick", (Long) report.get("tick") + 1_000);
        }
        return Cbor.encode(retry);
    }

    /** False if it comes to a node that is not there, or out of reach. */
    boolean deliverDuplicate(int index, byte[] report) {
        Member member = members[index];
        if (!member.alive || zoneOf(index).equals(isolatedZone)) {
            return false;
        }
        member.node.router().handle("POST", "/v1/report", report, response -> {});
        return true;
    }

    private interface Delivery {
        void deliver(SimulatedStore.Answer respond);
    }

    /** One request: delayed, sometimes held back for long, sometimes without its answer. */
    private void transmit(long timeout, SimulatedStore.Answer callback, Delivery delivery) {
        boolean[] answered = {false};
        loop.after(
                timeout,
                () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        callback.answer(HttpTransport.NO_RESPONSE, Map.of());
                    }
                });
        int luck = random.nextInt(1000);
        long there = luck < networkFaultPerMille ? 2_000_000 + random.nextInt(40_000_000) : delay();
        boolean answerLost = luck >= networkFaultPerMille && luck < 2 * networkFaultPerMille;
        loop.after(
                there,
                () ->
                        delivery.deliver(
                                (status, body) ->
                                        loop.after(
                                                delay(),
                                                () -> {
                                                    if (!answered[0] && !answerLost) {
                                                        answered[0] = true;
                                                        callback.answer(status, body);
                                                    }
                                                })));
    }

    private static Map<String, Object> decode(byte[] body) {
        try {
            return body == null || body.length == 0 ? Map.of() : Cbor.decodeMap(body);
        } catch (MalformedMessageException e) {
            return Map.of();
        }
    }

    /**
     * Replaces the nodes by the new version, one by one; then the limits fall, and users know of
     * pipelines.
     */
    void upgradeNodes(long until) {
        long at = 15_000_000 + random.nextInt(20_000_000);
        for (Member member : members) {
            loop.after(
                    at,
                    () -> {
                        member.kill();
                        loop.after(
                                500_000 + random.nextInt(4_000_000),
                                () -> {
                                    member.version = Version.CURRENT;
                                    if (!member.alive) {
                                        member.start();
                                    }
                                });
                    });
            at += 1_000_000 + random.nextInt(random.nextInt(4) == 0 ? 40_000_000 : 10_000_000);
        }
        loop.after(at + 5_000_000, () -> users.submitPipelinesUntil(until));
        loop.after(at + random.nextInt(40_000_000), store::applyNextLimits);
    }

    // Faults.

    /** A node's process ends, and one of the given version begins after the given time. */
    void replace(int index, Version version, long afterMicros) {
        Member member = members[index];
        member.kill();
        member.version = version;
        int mine = member.generation;
        loop.after(
                afterMicros,
                () -> {
                    if (!member.alive && member.generation == mine) {
                        member.start();
                    }
                });
    }

    /**
     * What a node answers; the answer's {@code code} is its status. Empty as long as there is none.
     */
    Map<String, Object> ask(int index, String method, String path, Map<String, Object> body) {
        Map<String, Object> answer = new LinkedHashMap<>();
        long sent = loop.now();
        members[index]
                .node
                .router()
                .handle(
                        method,
                        path,
                        body == null ? new byte[0] : Cbor.encode(body),
                        response -> {
                            answer.putAll(decode(response.body()));
                            answer.put("code", response.status());
                            if (path.startsWith("/v1/jobs/")) {
                                String jobId = path.split("/")[3];
                                invariants.onAnswer(
                                        path.endsWith("/cancel")
                                                ? UserRequest.CANCEL
                                                : UserRequest.POLL,
                                        jobId,
                                        sent,
                                        response.status(),
                                        answer);
                            }
                        });
        return answer;
    }

    /** What a node answers, at once; 0 if it is not there. */
    int status(int index, String method, String path, Map<String, Object> body) {
        int[] answered = {0};
        if (members[index].alive) {
            members[index]
                    .node
                    .router()
                    .handle(
                            method,
                            path,
                            body == null ? new byte[0] : Cbor.encode(body),
                            response -> answered[0] = response.status());
        }
        return answered[0];
    }

    // Troubles that are off unless asked for.

    /**
     * Right after each answer that a job was accepted, ended or cancelled, users ask all nodes
     * about it several times.
     */
    void pollAfterChanges(long forMicros) {
        userFaults.pollChangesUntil(loop.now() + forMicros);
    }

    /** Users repeat what is known, and ask for what can't be. */
    void sendUnusualRequests(long forMicros) {
        userFaults.sendUnusualRequestsUntil(loop.now() + forMicros);
    }

    /**
     * So many running jobs are called off within 0.2 s, and up to eight of their machines hang;
     * returns how many.
     */
    int cancelRunningJobs(int count, long hangMicros) {
        return userFaults.cancelRunningJobs(count, hangMicros);
    }

    /** So many of a hundred jobs are called off as their last task ends. */
    void cancelAtEnd(int ofHundred, long forMicros) {
        userFaults.cancelAtEndUntil(ofHundred, loop.now() + forMicros);
    }

    void oneTaskJobs(int perSecond, long forMicros, int ofHundredCancelled) {
        userFaults.submitOneTaskJobsUntil(perSecond, loop.now() + forMicros, ofHundredCancelled);
    }

    /** So many of a hundred transactions are carried out at once and get no answer. */
    void loseAnswers(int ofHundred, long forMicros) {
        storeFaults.loseAnswers(ofHundred, loop.now() + forMicros);
    }

    /** Every request to the state service takes up to so much longer. */
    void slowStore(long extraMicros, long forMicros) {
        storeFaults.addDelay(extraMicros, loop.now() + forMicros);
    }

    /** Of so many of a hundred reports a copy comes to every node once the term has changed. */
    void delayHeartbeatsUntilNextLeader(int ofHundred, long forMicros) {
        delayedHeartbeats.capture(ofHundred, loop.now() + forMicros);
    }

    /**
     * Nothing that one in so many of a zone's machines say arrives for a while; commands reach
     * them.
     */
    void blockOutbound(String zone, int oneIn, long forMicros) {
        int count = 0;
        for (SimulatedAgent agent : cloud.machines.values()) {
            if (agent.zone.equals(zone) && count++ % oneIn == 0) {
                agent.outboundBlockedUntilMicros = loop.now() + forMicros;
            }
        }
    }

    /** Machines are up 0.3 to 2 s after they were asked for, also before that is answered. */
    void bootMachinesFast(long forMicros) {
        cloud.fastBootUntilMicros = loop.now() + forMicros;
    }

    /** Whatever is sent takes up to so much longer. */
    void slowLinks(long extraMicros, long forMicros) {
        slowLinksMicros = extraMicros;
        slowLinksUntilMicros = loop.now() + forMicros;
    }

    /** All machines but so many die, and the cloud has no more. */
    void reduceCapacity(int machines, long forMicros) {
        cloud.machines.values().stream().skip(machines).forEach(SimulatedAgent::fail);
        cloud.capacity = machines;
        loop.after(forMicros, () -> cloud.capacity = SimulatedCloud.CAPACITY);
    }

    /** How many terms were taken. */
    int leaderChanges() {
        return store.value("term") == null ? 0 : (int) term();
    }

    /** Writes a key of the state service, as an operator or another program might. */
    void put(String path, Map<String, Object> value) {
        if (store.down) {
            // As whoever asked would, again.
            loop.after(1_000_000, () -> put(path, value));
            return;
        }
        store.handle(
                "POST",
                "/txn",
                Map.of(
                        "if",
                        List.of(),
                        "then",
                        List.of(
                                value == null
                                        ? Map.of("drop", path)
                                        : Map.of("put", path, "value", value))),
                (status, answer) -> {});
    }

    Map<String, Object> stored(String path) {
        return store.value(path);
    }

    /** How many records of machines there are, and how many of them tell of their lives. */
    int[] machineRecords() {
        return store.count("machine/", value -> value.containsKey("at"));
    }

    /** Cuts a zone off from everything for a while, unless one is. */
    void isolateZone(String zone, long forMicros) {
        if (isolatedZone == null) {
            isolatedZone = zone;
            loop.after(forMicros, () -> isolatedZone = null);
        }
    }

    void storeOutage(long forMicros) {
        if (!store.down) {
            store.setOutage(true);
            loop.after(forMicros, () -> store.setOutage(false));
        }
    }

    private boolean isRefusedByStore(Member member) {
        return member.index == nodeRefusedByStore || member.index == secondNodeRefusedByStore;
    }

    /** The state service refuses this node beside the one that it refuses already. */
    void refuseSecondNodeAtStore(int index, long forMicros) {
        secondNodeRefusedByStore = index;
        loop.after(forMicros, () -> secondNodeRefusedByStore = -1);
    }

    /** The state service refuses this node alone. */
    void refuseNodeAtStore(int index, long forMicros) {
        nodeRefusedByStore = index;
        loop.after(
                forMicros,
                () -> {
                    if (nodeRefusedByStore == index) {
                        nodeRefusedByStore = -1;
                    }
                });
    }

    /**
     * The state service refuses the leader alone, users cancel what runs, and then it is down for
     * all.
     */
    void refuseLeaderThenStoreOutage(long refusedMicros, long downMicros) {
        if (store.value("leader") == null) {
            return;
        }
        refuseNodeAtStore(leader(), refusedMicros + 1_000_000);
        changeNotificationsLost = random.nextBoolean();
        loop.after(
                refusedMicros / 4,
                () ->
                        observed.runningJobs().stream()
                                .filter(jobId -> random.nextInt(3) == 0)
                                .forEach(users::cancel));
        loop.after(
                refusedMicros,
                () -> {
                    changeNotificationsLost = false;
                    storeOutage(downMicros);
                });
    }

    /** For a while so many of a hundred transactions are carried out late. */
    void delayWrites(int ofHundred, long forMicros) {
        lateWritePercent = ofHundred;
        loop.after(forMicros, () -> lateWritePercent = 0);
    }

    /** The cloud answers nothing but errors for a while. */
    void cloudOutage(long forMicros) {
        cloud.down = true;
        loop.after(forMicros, () -> cloud.down = false);
    }

    /** No agent reaches this node for a while, and it reaches none. */
    void cutFromAgents(int index, long forMicros) {
        nodeCutFromAgents = index;
        loop.after(forMicros, () -> nodeCutFromAgents = -1);
    }

    /** For a while no node takes connections from another. */
    void refusePeers(long forMicros) {
        peerConnectionsRefused = true;
        loop.after(forMicros, () -> peerConnectionsRefused = false);
    }

    /** The node's process stands still for a while, and then goes on with what it believed. */
    void freeze(int index, long forMicros) {
        members[index].frozenUntil = loop.now() + forMicros;
    }

    /** The node loses the state service and the other nodes; workers and users still reach it. */
    void isolateNode(int index, long forMicros) {
        if (isolatedNode < 0) {
            isolatedNode = index;
            loop.after(forMicros, () -> isolatedNode = -1);
        }
    }

    boolean isIsolated(int index) {
        return isolatedNode == index;
    }

    /**
     * Nothing reaches one in so many of a zone's machines for a while, and their reports arrive.
     */
    void blockInbound(String zone, int oneIn, long forMicros) {
        int count = 0;
        for (SimulatedAgent agent : cloud.machines.values()) {
            if (agent.zone.equals(zone) && count++ % oneIn == 0) {
                agent.inboundBlockedUntilMicros = loop.now() + forMicros;
            }
        }
    }

    void hangAll(String zone, long forMicros) {
        for (SimulatedAgent agent : cloud.machines.values()) {
            if (agent.zone.equals(zone)) {
                agent.hungUntilMicros = loop.now() + forMicros;
            }
        }
    }

    /** The index of the node that leads by the state service's word. */
    int leader() {
        return nodeIndex((String) store.value("leader").get("label"));
    }

    String zoneOf(int index) {
        return scenario.zoneOf(index);
    }

    /** Two zones can't reach each other for a while. */
    void partition(String one, String other, long forMicros) {
        partitionedZones = List.of(one, other);
        loop.after(forMicros, () -> partitionedZones = List.of());
    }

    void restart(int index) {
        restart(members[index]);
    }

    /**
     * A new process is there within a fraction of a second, or after seconds; its clock may have
     * been set meanwhile.
     */
    private void restart(Member member) {
        if (random.nextInt(4) == 0) {
            clockOffsetMicros[member.index] = random.nextInt(2_000_000) - 1_000_000;
        }
        restartAfter(
                member.index,
                random.nextBoolean()
                        ? 50_000 + random.nextInt(450_000)
                        : 500_000 + random.nextInt(5_000_000));
    }

    /** A node's process ends again and again, a few tenths of a second after each beginning. */
    void restartRepeatedly(int index, long lifeMicros, long untilMicros) {
        if (loop.now() < untilMicros) {
            restartAfter(index, 50_000);
            loop.after(
                    50_000 + lifeMicros, () -> restartRepeatedly(index, lifeMicros, untilMicros));
        }
    }

    /** The machines that are up, in the order in which they came. */
    List<SimulatedAgent> agents() {
        return List.copyOf(cloud.machines.values());
    }

    /** How many machines were ever rented. */
    int rented() {
        return cloud.rented();
    }

    /**
     * A node's process begins again 50 ms after its end, whenever a node is about to take a term,
     * until the given time.
     */
    void restartDuringElections(long untilMicros) {
        long term = term();
        boolean vacant = store.value("leader") == null;
        if (vacant) {
            restartAfter(random.nextInt(NODES), 50_000);
        }
        if (loop.now() < untilMicros) {
            loop.after(
                    vacant || term() != term ? 30_000 : 10_000,
                    () -> restartDuringElections(untilMicros));
        }
    }

    /** The highest term that was ever taken. */
    long term() {
        return (Long) store.value("term").get("term");
    }

    /** Every few seconds the leader's process ends, and another begins at once. */
    void restartLeadersRepeatedly(long forMicros) {
        long until = loop.now() + forMicros;
        loop.after(
                2_000_000 + faultRandom.nextInt(3_000_000),
                () -> {
                    if (loop.now() < until) {
                        leadersEndedInOutages +=
                                store.down
                                                && store.value("leader") != null
                                                && members[leader()].alive
                                        ? 1
                                        : 0;
                        restartLeader(50_000 + faultRandom.nextInt(400_000));
                        restartLeadersRepeatedly(until - loop.now());
                    }
                });
    }

    /** The same of the node that leads, if there is one. */
    void restartLeader(long forMicros) {
        if (store.value("leader") != null) {
            restartAfter(leader(), forMicros);
        }
    }

    /** A node's process ends, and another begins after the given time. */
    void restartAfter(int index, long forMicros) {
        Member member = members[index];
        if (member.alive) {
            member.kill();
            int mine = member.generation;
            loop.after(
                    forMicros,
                    () -> {
                        if (!member.alive && member.generation == mine) {
                            member.start();
                        }
                    });
        }
    }

    /**
     * So many of a hundred rentals and deletions get no answer and are carried out seconds later,
     * perhaps after their leader.
     */
    void delayCloudRequests(int ofHundred, long forMicros) {
        cloud.latePercent = ofHundred;
        loop.after(forMicros, () -> cloud.latePercent = 0);
    }

    /** Machines that were rented when the leader that had asked for them led no more. */
    List<String> machinesRentedForFormerLeaders() {
        return cloud.rentedForFormerLeaders;
    }

    /** Machines that were deleted when the leader that had asked for it led no more. */
    int machinesDeletedForFormerLeaders() {
        return cloud.deletedForFormerLeaders;
    }

    /** Does this to a machine that is drawn at random, if there is any. */
    void withRandomAgent(java.util.function.Consumer<SimulatedAgent> what) {
        List<SimulatedAgent> agents = new ArrayList<>(cloud.machines.values());
        if (!agents.isEmpty()) {
            what.accept(agents.get(random.nextInt(agents.size())));
        }
    }

    /** Runs to the given time, checking the rules after every step. */
    void run(long until) {
        while (loop.step(until)) {
            invariants.afterStep();
        }
    }

    /** Accepted jobs that are neither done nor cancelled and should be by now. */
    List<String> unfinishedJobs() {
        List<String> result = new ArrayList<>();
        for (String jobId : observed.acceptedJobs()) {
            if (!observed.hasFinalStatus(jobId) && !observed.job(jobId).isService()) {
                result.add(jobId);
            }
        }
        return result;
    }
}
