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
 * One node that confirms and leaders of up to three terms that all believe to lead, the first of
 * them twice, in random orders of ends, losses, delays, refusals and clocks that drift. After each
 * step neither leader's watermark may have passed a moment at which a user was told of a
 * cancellation that it lacks.
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
            // Of itself it vouches for everything: the node is the one that counts.
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
     * Returns how many were told while a leader went on without the state service, and how long the
     * watermark moved by vouches alone.
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
                                                + " was told at "
                                                + at
                                                + ", watermark of term "
                                                + leader.term
                                                + " "
                                                + (watermark - leader.clock(at))
                                                + " later, seed "
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
        assertTrue(told > 3_000, told + " told");
        assertTrue(ledTwice > 20, ledTwice + " days on which one node led twice");
        assertTrue(byVouches > 20_000, byVouches + " steps on which vouches counted");
    }

    /** In an outage in which the node is reached the watermark keeps up, however long it lasts. */
    @Test
    void itKeepsUpWithANodeThatIsReached() {
        CancellationWatermark watermark = new CancellationWatermark(3, List.of("node"));
        ConfirmedCancellations silent = new ConfirmedCancellations(1, List.of("leader"), 0);
        for (long at = S; at < 1_000 * S; at += S) {
            WatermarkAck ack =
                    watermark.onReport("node", silent.nextReport("leader", 3, at, at), S, at);
            silent.onAck(ack);
            assertTrue(at < 3 * S || watermark.watermarkMicros(S) >= at, "behind at " + at);
        }
        // A process that is back within the promise is believed, one that stayed away longer is
        // not.
        long ended = 999 * S;
        long kept = watermarkAfter(watermark, ended + 9 * S);
        assertTrue(kept >= ended + 30 * S, "at " + kept);
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
     * A leader that is reached and answers nothing must not keep users from being told for ever:
     * polls that are given up and come again find each time that the promise was renewed in
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
        assertTrue(toldAt > 0 && toldAt < 12 * S, "told at " + toldAt);
    }

    private static ConfirmedCancellations promised(String leader, long stateSilentMicros) {
        ConfirmedCancellations told = new ConfirmedCancellations(1, List.of(), 0);
        told.nextReport(leader, 3, stateSilentMicros, S);
        told.add("j-000001", 2 * S);
        assertFalse(told.tryConfirm("j-000001", 2 * S));
        return told;
    }

    /**
     * What a node has promised to itself it would hear of from nobody, and its users waited for up
     * to 15 s.
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
     * A node that leads again and has taken in what is asked about lacks nothing, whatever it was
     * promised before.
     */
    @Test
    void nobodyWaitsForAPromiseToANodeThatLeadsAgain() {
        ConfirmedCancellations told = promised("other", 20 * S);
        told.nextReport("between", 4, 0, 5 * S / 2);
        WatermarkReport report = told.nextReport("other", 5, 0, 4 * S);
        assertFalse(told.tryConfirm("j-000001", 4 * S + 1));
        told.onAck(new WatermarkAck(5, 1, report.sentMicros(), 4 * S));
        assertFalse(told.tryConfirm("j-000001", 4 * S + 1), "the one between may lead still");
        told.onPeerTerm("between", 5, false);
        assertTrue(told.tryConfirm("j-000001", 4 * S + 1));
    }

    /**
     * What the process before may have promised a node counts on, also where this one has promised
     * it something shorter.
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
     * More than are kept, at any rate: those that were dropped are asked for again, and nobody
     * vouches for what is not known.
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
        // A watermark that has seen nothing since does not follow such a vouch.
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
