package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.woadloom.http.JobApi;
import org.woadloom.http.Response;
import org.woadloom.leader.Election;
import org.woadloom.net.EventLoop;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.Team;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreLimits;

/**
 * Users submit more than the store's write rate allows for a minute, to three nodes that each have
 * an election and a job API. Election and leader writes must not queue behind user writes.
 */
class LeadershipUnderLoadTest {
    private static final long SECOND = 1_000_000;
    private static final int NODES = 3;
    private static final int SUBMISSIONS_PER_SECOND = 120;
    private static final long USER_TIMEOUT = 5 * SECOND;
    private static final long LEADER_LEASE = 4 * SECOND;
    private static final ServiceSettings.Store LIMITS =
            new ServiceSettings.Store(400, 60, 8192, 12, null);
    private static final MachineType TYPE =
            new MachineType("m", 4, 0, 8, 50, 1, 1, 0.3, 30 * SECOND, List.of("a"));

    private final SimulatedEventLoop sim = new SimulatedEventLoop();
    private final SimulatedStore store = new SimulatedStore(sim, LIMITS);
    private final Random random = new Random(5);
    private final List<Node> nodes = new ArrayList<>();
    private final List<Submission> submissions = new ArrayList<>();

    /** One attempt to submit a job; retries are counted separately. */
    private static final class Submission {
        int status;
        long tookMicros = Long.MAX_VALUE;
    }

    /** One node process: its store client, its election and its job API. */
    private final class Node {
        final int index;
        boolean alive = true;
        final StoreClient client;
        final Election election;
        final JobApi api;
        int electionsWon;
        int leadershipsLost;
        final List<Long> writeWaits = new ArrayList<>();
        int writesRequested;

        Node(int index) {
            this.index = index;
            ServiceSettings settings = settings(index);
            EventLoop loop = loop();
            client =
                    new StoreClient(
                            loop,
                            this::request,
                            settings,
                            new StoreLimits(LIMITS),
                            new Random(index),
                            served -> {});
            election =
                    new Election(
                            loop,
                            client,
                            settings.label(),
                            new Random(index + 10),
                            alwaysEligible(),
                            listener());
            api =
                    new JobApi(
                            loop,
                            client,
                            settings,
                            storage(),
                            types(),
                            (record, revision) -> {},
                            (jobId, patience, answer) -> answer.accept(true));
        }

        private EventLoop loop() {
            EventLoop simulated = sim.loop();
            return new EventLoop() {
                @Override
                public long nowMicros() {
                    return simulated.nowMicros();
                }

                @Override
                public long wallMicros() {
                    return simulated.wallMicros();
                }

                @Override
                public void execute(Runnable task) {
                    schedule(1, task);
                }

                @Override
                public Timer schedule(long delayMicros, Runnable task) {
                    return simulated.schedule(delayMicros, () -> runIfAlive(task));
                }
            };
        }

        private void runIfAlive(Runnable task) {
            if (alive) {
                task.run();
            }
        }

        private void request(
                String address,
                String method,
                String path,
                byte[] body,
                long timeout,
                HttpTransport.Callback callback) {
            boolean[] answered = {false};
            sim.after(
                    timeout, () -> answer(answered, callback, HttpTransport.NO_RESPONSE, Map.of()));
            Map<String, Object> asked = decode(body);
            sim.after(
                    2_000,
                    () ->
                            store.handle(
                                    method,
                                    path,
                                    asked,
                                    (status, map) ->
                                            sim.after(
                                                    2_000,
                                                    () ->
                                                            answer(
                                                                    answered, callback, status,
                                                                    map))));
        }

        private void answer(
                boolean[] answered,
                HttpTransport.Callback callback,
                int status,
                Map<String, Object> map) {
            if (!answered[0]) {
                answered[0] = true;
                runIfAlive(
                        () ->
                                callback.onResponse(
                                        status, status > 0 ? Cbor.encode(map) : new byte[0]));
            }
        }

        private Election.Listener listener() {
            return new Election.Listener() {
                @Override
                public void onElected(long term, long leaderRevision) {
                    electionsWon++;
                    client.setLeader(true);
                }

                @Override
                public void onLeadershipLost(String reason) {
                    leadershipsLost++;
                    client.setLeader(false);
                }

                @Override
                public void onLeaderChanged() {}
            };
        }

        /**
         * Writes a record as the leader does when tasks end, and notes how long the write waited.
         */
        void writeRecord() {
            long from = sim.now();
            writesRequested++;
            client.txn(
                    RequestPriority.URGENT,
                    List.of(),
                    List.of(Change.put("record/" + writesRequested % 50, Map.of("n", from))),
                    (result, storeRevision, failed) -> {
                        if (result == Result.OK) {
                            writeWaits.add(sim.now() - from);
                        }
                    });
        }
    }

    private static ServiceSettings settings(int index) {
        return NodeSettings.of(
                "node-" + index,
                NodeSettings.peersOf(index, NODES, other -> "node-" + other + ":1"),
                List.of("a"),
                List.of(new Team("team", 8, 8, 0, 0)),
                LIMITS);
    }

    private static Election.Eligibility alwaysEligible() {
        return new Election.Eligibility() {
            @Override
            public boolean isEligible() {
                return true;
            }

            @Override
            public Condition condition() {
                return new Condition("rollout/state", 0);
            }

            @Override
            public void refresh() {}
        };
    }

    private static JobApi.RecordPolicy storage() {
        return new JobApi.RecordPolicy() {
            @Override
            public RecordFormat writeFormat() {
                return RecordFormat.COMPACT;
            }

            @Override
            public int maxValueBytes() {
                return 8192;
            }

            @Override
            public void onFormatSeen(RecordFormat format) {}
        };
    }

    private static JobApi.MachineTypeSource types() {
        return new JobApi.MachineTypeSource() {
            @Override
            public List<MachineType> currentTypes() {
                return List.of(TYPE);
            }

            @Override
            public void refresh(Consumer<Boolean> answered) {
                answered.accept(true);
            }
        };
    }

    private static Map<String, Object> decode(byte[] body) {
        try {
            return body == null || body.length == 0 ? Map.of() : Cbor.decodeMap(body);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private void start() {
        for (int index = 0; index < NODES; index++) {
            nodes.add(new Node(index));
        }
        nodes.forEach(node -> node.election.start());
        sim.run(2 * SECOND);
        assertEquals(1, nodes.stream().filter(node -> node.election.isLeader()).count());
    }

    private Node leader() {
        return nodes.stream()
                .filter(node -> node.alive && node.election.isLeader())
                .findFirst()
                .orElse(null);
    }

    /**
     * Submits at a steady rate until the given time, to random running nodes; users retry for a
     * minute.
     */
    private void submitUntil(long until, int perSecond) {
        if (sim.now() < until) {
            Map<String, Object> job =
                    LoopbackNode.job(String.format("j-%06d", submissions.size()), "team");
            submit(job, sim.now() + 60 * SECOND);
            sim.after(SECOND / perSecond, () -> submitUntil(until, perSecond));
        }
    }

    private void submit(Map<String, Object> job, long until) {
        List<Node> alive = nodes.stream().filter(node -> node.alive).toList();
        Submission submission = new Submission();
        submissions.add(submission);
        long from = sim.now();
        boolean[] attemptEnded = {false};
        Consumer<Response> retry =
                response -> {
                    if (!attemptEnded[0]) {
                        attemptEnded[0] = true;
                        if ((response == null || response.status() == 503) && sim.now() < until) {
                            sim.after(SECOND, () -> submit(job, until));
                        }
                    }
                };
        sim.after(USER_TIMEOUT, () -> retry.accept(null));
        alive.get(random.nextInt(alive.size()))
                .api
                .submit(
                        Cbor.encode(job),
                        response -> {
                            submission.status = response.status();
                            submission.tookMicros = sim.now() - from;
                            retry.accept(response);
                        });
    }

    private void writeAsLeaderUntil(long until, int perSecond) {
        if (sim.now() < until) {
            Node leader = leader();
            if (leader != null) {
                leader.writeRecord();
            }
            sim.after(SECOND / perSecond, () -> writeAsLeaderUntil(until, perSecond));
        }
    }

    /** Runs until the given time; returns the longest time without a leader. */
    private long longestTimeWithoutLeader(long until) {
        long since = sim.now();
        long longest = 0;
        while (sim.now() < until) {
            sim.run(sim.now() + SECOND / 100);
            if (leader() != null) {
                since = sim.now();
            }
            longest = Math.max(longest, sim.now() - since);
        }
        return longest;
    }

    @Test
    void leaderKeepsLeadershipWhenSubmissionsExceedStoreRate() {
        start();
        submitUntil(62 * SECOND, SUBMISSIONS_PER_SECOND);
        assertEquals(0, longestTimeWithoutLeader(62 * SECOND));
        assertEquals(1, nodes.stream().mapToInt(node -> node.electionsWon).sum());
    }

    /**
     * Election writes used to queue behind the user writes of their node, so that nobody led until
     * the backlog was gone.
     */
    @Test
    void endedLeaderIsReplacedPromptlyUnderLoad() {
        start();
        submitUntil(62 * SECOND, SUBMISSIONS_PER_SECOND);
        sim.run(30 * SECOND);
        leader().alive = false;
        long gap = longestTimeWithoutLeader(62 * SECOND);
        assertTrue(gap > 0 && gap <= LEADER_LEASE + SECOND, "no leader for " + gap + " us");
    }

    /** Records of ended tasks must be written while user writes queue. */
    @Test
    void leaderWritesAreNotStarvedBySubmissions() {
        start();
        submitUntil(62 * SECOND, SUBMISSIONS_PER_SECOND);
        writeAsLeaderUntil(61 * SECOND, 10);
        sim.run(62 * SECOND);
        Node leader = leader();
        assertTrue(
                leader.writeWaits.size() >= leader.writesRequested * 9 / 10,
                leader.writeWaits.size()
                        + " of "
                        + leader.writesRequested
                        + " records were written");
        long longest = leader.writeWaits.stream().mapToLong(Long::longValue).max().orElse(0);
        assertTrue(longest <= SECOND, "a record waited for " + longest + " us");
    }

    /**
     * Every submission is accepted or refused before its user gives up, and the store's rate is
     * used.
     */
    @Test
    void everySubmissionIsAnsweredBeforeUserTimeout() {
        start();
        submitUntil(62 * SECOND, SUBMISSIONS_PER_SECOND);
        sim.run(62 * SECOND);
        long submitted = submissions.size();
        sim.run(68 * SECOND);
        List<Submission> all = submissions.subList(0, (int) submitted);
        assertEquals(
                0,
                all.stream().filter(one -> one.tookMicros > USER_TIMEOUT).count(),
                "late answers of " + submitted);
        assertTrue(
                all.stream()
                        .allMatch(
                                one ->
                                        one.status == 201
                                                || one.status == 200
                                                || one.status == 503));
        int[] stored = store.count("job/", value -> true);
        assertTrue(stored[0] >= 60 * 40, stored[0] + " jobs were accepted");
        assertTrue(all.stream().anyMatch(one -> one.status == 503));
    }
}
