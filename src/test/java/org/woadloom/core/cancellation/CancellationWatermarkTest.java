package org.woadloom.core.cancellation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Simulates a node that confirms cancellations, and leaders of up to three terms that may all
 * believe to lead, with random restarts, message loss, delays, step-downs and clock drift. The node
 * of the first term may lead again in the third.
 *
 * <p>Guards against a watermark that passes the confirmation of a cancellation that the leader
 * lacks: checked for each leader after each step.
 */
class CancellationWatermarkTest {
    private static final long S = 1_000_000;

    private final class Leader {
        final long term;
        final String label;
        final double rate;
        final CancellationWatermark watermark;
        final Set<String> knows = new HashSet<>();
        long seenMicros;
        boolean steppedDown;

        Leader(long term, String label) {
            this.term = term;
            this.label = label;
            rate = 1 + (random.nextDouble() - 0.5) / 1000;
            watermark = new CancellationWatermark(term, List.of(label, "node"));
            seesAll();
        }

        long clock() {
            return clock(now);
        }

        long clock(long at) {
            return term * 500 * S + (long) (at * rate);
        }

        void seesAll() {
            seenMicros = clock();
            knows.addAll(made);
        }

        long micros() {
            // The leader's own reports never hold the watermark back, so only the other node's
            // reports count.
            watermark.onReport(
                    label,
                    new WatermarkReport(
                            term,
                            1,
                            clock(),
                            term * 500 * S,
                            clock(),
                            ConfirmedCancellations.STORE_OUTAGE_PROMISE_MICROS,
                            List.of()),
                    clock(),
                    clock());
            return watermark.watermarkMicros(seenMicros);
        }
    }

    private final class Message {
        final Runnable deliver;

        Message(Runnable deliver) {
            this.deliver = deliver;
        }
    }

    private Random random;
    private long now;
    private final Set<String> made = new HashSet<>();
    private final Map<String, Long> toldAt = new LinkedHashMap<>();
    private final TreeMap<Long, List<Message>> under = new TreeMap<>();
    private ConfirmedCancellations node;
    private int life;
    private long nodeOffset;
    private double nodeRate = 1;
    private long silentSince = -1;
    private int leaderOfNode;
    private int ledTwice;
    private long lost;
    private boolean chaos = true;

    private long nodeClock() {
        return nodeOffset + (long) (now * nodeRate);
    }

    private void send(Runnable deliver) {
        if (random.nextInt(10) < lost) {
            return;
        }
        long delay = random.nextInt(20) == 0 ? random.nextInt(20_000_000) : random.nextInt(30_000);
        under.computeIfAbsent(now + delay, t -> new ArrayList<>()).add(new Message(deliver));
    }

    private void start(List<Leader> leaders) {
        life++;
        nodeOffset = random.nextInt(1_000_000_000);
        nodeRate = 1 + (random.nextDouble() - 0.5) / 1000;
        node =
                new ConfirmedCancellations(
                        life, leaders.stream().map(l -> l.label).toList(), nodeClock());
        leaderOfNode = random.nextInt(leaders.size());
    }

    private void vouch(List<Leader> leaders) {
        Leader leader = leaders.get(leaderOfNode);
        long silent = silentSince < 0 ? 0 : now - silentSince;
        WatermarkReport report = node.nextReport(leader.label, leader.term, silent, nodeClock());
        if (report == null) {
            return;
        }
        ConfirmedCancellations speaker = node;
        send(
                () -> {
                    if (leader.steppedDown) {
                        return;
                    }
                    WatermarkAck ack =
                            leader.watermark.onReport(
                                    "node", report, leader.seenMicros, leader.clock());
                    if (ack != null) {
                        leader.knows.addAll(report.jobIds());
                        send(
                                () -> {
                                    if (speaker == node) {
                                        node.onAck(ack);
                                    }
                                });
                    }
                });
    }

    /**
     * Runs a random scenario of 200 s. Returns the number of checks in which reports had advanced a
     * watermark beyond what its leader had read of the store.
     */
    private int day(long seed) {
        random = new Random(seed);
        now = 0;
        made.clear();
        toldAt.clear();
        under.clear();
        List<Leader> leaders = new ArrayList<>(List.of(new Leader(1, "leader-1")));
        start(leaders);
        int byVouches = 0;
        while (now < 200 * S) {
            now += 50_000;
            while (!under.isEmpty() && under.firstKey() <= now) {
                under.pollFirstEntry().getValue().forEach(message -> message.deliver.run());
            }
            if (chaos && random.nextInt(100) == 0) {
                lost = random.nextInt(3) == 0 ? 10 : random.nextInt(5);
            }
            if (random.nextInt(200) == 0) {
                silentSince = silentSince < 0 ? now : -1;
            }
            if (leaders.size() == 1
                    && silentSince < 0
                    && now > 60 * S
                    && random.nextInt(400) == 0) {
                leaders.add(new Leader(2, "leader-2"));
            }
            if (leaders.size() == 2
                    && leaders.get(0).steppedDown
                    && silentSince < 0
                    && random.nextInt(400) == 0) {
                leaders.add(new Leader(3, "leader-1"));
                ledTwice++;
            }
            for (Leader leader : leaders) {
                if (!leader.steppedDown
                        && random.nextInt(60) == 0
                        && random.nextInt(3) == 0
                        && silentSince < 0) {
                    leader.seesAll();
                }
                ConfirmedCancellations hearing = node;
                boolean leads = !leader.steppedDown;
                long knownTerm = leads ? leader.term : leaders.size();
                boolean speaks =
                        leaders.stream()
                                .noneMatch(
                                        other ->
                                                other.label.equals(leader.label)
                                                        && other.term > leader.term);
                if (speaks && random.nextInt(14) == 0) {
                    send(
                            () -> {
                                if (hearing == node) {
                                    node.onPeerTerm(leader.label, knownTerm, leads);
                                }
                            });
                }
            }
            if (leaders.size() > 1 && random.nextInt(600) == 0) {
                leaders.get(random.nextInt(leaders.size() - 1)).steppedDown = true;
            }
            if (chaos && random.nextInt(500) == 0) {
                now += 50_000 + random.nextInt(8_000_000);
                start(leaders);
            }
            if (leaderOfNode < leaders.size() - 1 && random.nextInt(100) == 0) {
                leaderOfNode++;
            }
            if (random.nextInt(14) == 0) {
                vouch(leaders);
            }
            if (silentSince < 0 && random.nextInt(10) == 0) {
                String jobId =
                        "j-"
                                + (random.nextInt(3) == 0 && !made.isEmpty()
                                        ? random.nextInt(made.size())
                                        : made.size());
                made.add(jobId);
                node.add(jobId, nodeClock());
            }
            for (String jobId : made) {
                if (!toldAt.containsKey(jobId) && node.tryConfirm(jobId, nodeClock())) {
                    toldAt.put(jobId, now);
                }
            }
            for (Leader leader : leaders) {
                if (leader.steppedDown) {
                    continue;
                }
                long watermark = leader.micros();
                byVouches += watermark > leader.seenMicros ? 1 : 0;
                toldAt.forEach(
                        (jobId, at) -> {
                            if (!leader.knows.contains(jobId)) {
                                assertTrue(
                                        watermark <= leader.clock(at),
                                        jobId
                                                + " was confirmed at "
                                                + at
                                                + ", but the watermark of term "
                                                + leader.term
                                                + " "
                                                + (watermark - leader.clock(at))
                                                + " microseconds later, seed "
                                                + seed);
                            }
                        });
            }
        }
        return byVouches;
    }

    @Test
    void noWatermarkPassesWhatItsLeaderLacks() {
        int told = 0;
        int byVouches = 0;
        for (long seed = 1; seed <= 60; seed++) {
            byVouches += day(seed);
            told += toldAt.size();
        }
        assertTrue(told > 3_000, "only " + told + " confirmations");
        assertTrue(ledTwice > 20, "only " + ledTwice + " scenarios with a re-elected leader");
        assertTrue(
                byVouches > 20_000,
                "only " + byVouches + " checks with a watermark ahead of the store");
    }

    /**
     * While the store is unavailable, the watermark keeps up with the clock as long as the node's
     * reports arrive, however long the outage lasts.
     */
    @Test
    void itKeepsUpWithANodeThatIsReached() {
        CancellationWatermark watermark = new CancellationWatermark(3, List.of("node"));
        ConfirmedCancellations silent = new ConfirmedCancellations(1, List.of("leader"), 0);
        for (long at = S; at < 1_000 * S; at += S) {
            WatermarkAck ack =
                    watermark.onReport("node", silent.nextReport("leader", 3, at, at), S, at);
            silent.onAck(ack);
            assertTrue(
                    at < 3 * S || watermark.watermarkMicros(S) >= at,
                    "the watermark is behind at " + at);
        }
        // Reports of a process that restarts within the promise continue those of its predecessor.
        // After a longer gap they do not.
        long ended = 999 * S;
        long kept = watermarkAfter(watermark, ended + 9 * S);
        assertTrue(kept >= ended + 30 * S, "the watermark is at " + kept);
        assertEquals(kept, watermarkAfter(watermark, ended + 80 * S));
        assertEquals(List.of("node"), watermark.slowestNodes(S));
    }

    private static long watermarkAfter(CancellationWatermark watermark, long started) {
        ConfirmedCancellations next =
                new ConfirmedCancellations(started, List.of("leader"), started);
        for (long at = started + S; at < started + 40 * S; at += S) {
            next.onAck(watermark.onReport("node", next.nextReport("leader", 3, at, at), S, at));
        }
        return watermark.watermarkMicros(S);
    }

    /**
     * A leader that receives reports but never acknowledges them must not delay confirmations for
     * long. Users give up and retry; each retry must not find a promise that was renewed in
     * between.
     */
    @Test
    void aLeaderThatDoesNotAnswerHoldsNobodyUpForLong() {
        ConfirmedCancellations told = new ConfirmedCancellations(1, List.of(), 0);
        told.add("j-000001", S);
        long toldAt = 0;
        for (long at = S; at < 60 * S && toldAt == 0; at += S / 10) {
            if (at % (7 * S / 10) == 0) {
                told.nextReport("leader", 3, 0, at);
            }
            boolean asks = at / S % 5 == 0;
            toldAt = asks && told.tryConfirm("j-000001", at) ? at : 0;
        }
        assertTrue(toldAt > 0 && toldAt < 12 * S, "confirmed at " + toldAt);
    }

    private static ConfirmedCancellations promised(String leader, long stateSilentMicros) {
        ConfirmedCancellations told = new ConfirmedCancellations(1, List.of(), 0);
        told.nextReport(leader, 3, stateSilentMicros, S);
        told.add("j-000001", 2 * S);
        assertFalse(told.tryConfirm("j-000001", 2 * S));
        return told;
    }

    /**
     * No peer tells a node that it no longer leads itself, so without onLeadershipLost its own
     * promise to itself delayed confirmations by up to 15 s.
     */
    @Test
    void nobodyWaitsForAPromiseToANodeThatLeadsNoMore() {
        ConfirmedCancellations itself = promised("self", 20 * S);
        itself.onLeadershipLost("self");
        assertTrue(itself.tryConfirm("j-000001", 2 * S));
        ConfirmedCancellations other = promised("other", 20 * S);
        other.onLeadershipLost("self");
        other.onPeerTerm("other", 3, true);
        assertFalse(other.tryConfirm("j-000001", 2 * S));
        other.onPeerTerm("other", 4, false);
        assertTrue(other.tryConfirm("j-000001", 2 * S));
    }

    /**
     * A node that leads again and has acknowledged the cancellation lacks nothing, so an older
     * promise to it no longer matters.
     */
    @Test
    void nobodyWaitsForAPromiseToANodeThatLeadsAgain() {
        ConfirmedCancellations told = promised("other", 20 * S);
        told.nextReport("between", 4, 0, 5 * S / 2);
        WatermarkReport report = told.nextReport("other", 5, 0, 4 * S);
        assertFalse(told.tryConfirm("j-000001", 4 * S + 1));
        told.onAck(new WatermarkAck(5, 1, report.sentMicros(), 4 * S));
        assertFalse(
                told.tryConfirm("j-000001", 4 * S + 1),
                "the leader of term 4 may still rely on its promise");
        told.onPeerTerm("between", 5, false);
        assertTrue(told.tryConfirm("j-000001", 4 * S + 1));
    }

    /**
     * A promise that the previous process may have made to a node still counts after this process
     * has made the same node a shorter one.
     */
    @Test
    void aShorterPromiseEndsNoneOfTheProcessBefore() {
        ConfirmedCancellations told = new ConfirmedCancellations(1, List.of("other"), 0);
        told.nextReport("other", 3, 0, S);
        told.add("j-000001", 2 * S);
        WatermarkReport report = told.nextReport("between", 4, 0, 2 * S);
        told.onAck(new WatermarkAck(4, 1, report.sentMicros(), 2 * S));
        told.onPeerTerm("other", 4, true);
        assertFalse(told.tryConfirm("j-000001", 14 * S));
        assertTrue(told.tryConfirm("j-000001", 15 * S + 1));
    }

    /**
     * Beyond 2,000 unacknowledged cancellations the oldest are dropped: they are not confirmed
     * until they are added again, and reports do not claim to cover them.
     */
    @Test
    void whatIsDroppedIsNeitherToldNorVouchedFor() {
        ConfirmedCancellations told = new ConfirmedCancellations(1, List.of(), 0);
        WatermarkReport first = told.nextReport("leader", 3, 0, S);
        told.onAck(new WatermarkAck(3, 1, first.sentMicros(), S));
        for (int i = 0; i < 2_500; i++) {
            told.add("j-" + i, 2 * S + i);
        }
        WatermarkReport report = told.nextReport("leader", 3, 0, 3 * S);
        assertEquals(2_000, report.jobIds().size());
        assertEquals(2 * S + 499, report.completeSinceMicros());
        told.onAck(new WatermarkAck(3, 1, report.sentMicros(), 3 * S));
        assertFalse(told.tryConfirm("j-499", 3 * S + 1));
        assertTrue(told.tryConfirm("j-500", 3 * S + 1));
        // A watermark does not advance by a report that leaves a gap after the previous one.
        CancellationWatermark watermark = new CancellationWatermark(3, List.of("node"));
        watermark.onReport("node", first, S, S);
        watermark.onReport("node", report, S, 3 * S);
        assertEquals(S, watermark.watermarkMicros(S));
    }

    @Test
    void whatCannotBeIsLeftAlone() {
        CancellationWatermark watermark = new CancellationWatermark(3, List.of("node"));
        long before = watermark.watermarkMicros(S);
        List<WatermarkReport> flawed =
                List.of(
                        new WatermarkReport(
                                3, 1, 5, 6, WatermarkReport.NO_LEADER_CLOCK, 0, List.of()),
                        new WatermarkReport(
                                3, 1, 5, 5, WatermarkReport.NO_LEADER_CLOCK, -1, List.of()),
                        new WatermarkReport(
                                3, 1, 5, 5, WatermarkReport.NO_LEADER_CLOCK, 60 * S, List.of()),
                        new WatermarkReport(3, 1, 5, 5, 11 * S, 0, List.of()));
        for (WatermarkReport report : flawed) {
            assertFalse(CancellationWatermark.validationError(report, 10 * S) == null);
            assertNull(watermark.onReport("node", report, 10 * S, 10 * S));
        }
        assertNull(
                watermark.onReport(
                        "nobody",
                        new WatermarkReport(3, 1, 5, 5, S, 0, List.of()),
                        10 * S,
                        10 * S));
        assertNull(
                watermark.onReport(
                        "node", new WatermarkReport(2, 1, 5, 5, S, 0, List.of()), 10 * S, 10 * S));
        assertEquals(before, watermark.watermarkMicros(S));
    }
}
