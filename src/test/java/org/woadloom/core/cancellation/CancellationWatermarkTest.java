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
 * lacks: checked for each leader after each step. A promise, which a node sends with a report, says
 * that for a limited time the node confirms no cancellation that the leader has not acknowledged.
 */
class CancellationWatermarkTest {
    private static final long SECOND = 1_000_000;

    private final class Leader {
        final long term;
        final String label;
        final double clockRate;
        final CancellationWatermark watermark;
        final Set<String> knownJobIds = new HashSet<>();
        long readUpToMicros;
        boolean steppedDown;

        Leader(long term, String label) {
            this.term = term;
            this.label = label;
            clockRate = 1 + (random.nextDouble() - 0.5) / 1000;
            watermark = new CancellationWatermark(term, List.of(label, "node"));
            readStore();
        }

        long clock() {
            return clock(now);
        }

        long clock(long at) {
            return term * 500 * SECOND + (long) (at * clockRate);
        }

        void readStore() {
            readUpToMicros = clock();
            knownJobIds.addAll(storedJobIds);
        }

        long watermarkMicros() {
            // The leader's own reports never hold the watermark back, so only the other node's
            // reports count.
            watermark.onReport(
                    label,
                    new WatermarkReport(
                            term,
                            1,
                            clock(),
                            term * 500 * SECOND,
                            clock(),
                            ConfirmedCancellations.STORE_OUTAGE_PROMISE_MICROS,
                            List.of()),
                    clock(),
                    clock());
            return watermark.watermarkMicros(readUpToMicros);
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
    private final Set<String> storedJobIds = new HashSet<>();
    private final Map<String, Long> confirmedAt = new LinkedHashMap<>();
    private final TreeMap<Long, List<Message>> inFlight = new TreeMap<>();
    private ConfirmedCancellations node;
    private int processId;
    private long nodeOffset;
    private double nodeRate = 1;
    private long storeSilentSince = -1;
    private int leaderIndexOfNode;
    private int reelections;
    private long lossTenths;
    private boolean faultsEnabled = true;

    private long nodeClock() {
        return nodeOffset + (long) (now * nodeRate);
    }

    private void send(Runnable deliver) {
        if (random.nextInt(10) < lossTenths) {
            return;
        }
        long delay = random.nextInt(20) == 0 ? random.nextInt(20_000_000) : random.nextInt(30_000);
        inFlight.computeIfAbsent(now + delay, t -> new ArrayList<>()).add(new Message(deliver));
    }

    private void startProcess(List<Leader> leaders) {
        processId++;
        nodeOffset = random.nextInt(1_000_000_000);
        nodeRate = 1 + (random.nextDouble() - 0.5) / 1000;
        node =
                new ConfirmedCancellations(
                        processId, leaders.stream().map(l -> l.label).toList(), nodeClock());
        leaderIndexOfNode = random.nextInt(leaders.size());
    }

    private void sendReport(List<Leader> leaders) {
        Leader leader = leaders.get(leaderIndexOfNode);
        long silentMicros = storeSilentSince < 0 ? 0 : now - storeSilentSince;
        WatermarkReport report =
                node.nextReport(leader.label, leader.term, silentMicros, nodeClock());
        if (report == null) {
            return;
        }
        ConfirmedCancellations sender = node;
        send(
                () -> {
                    if (leader.steppedDown) {
                        return;
                    }
                    WatermarkAck ack =
                            leader.watermark.onReport(
                                    "node", report, leader.readUpToMicros, leader.clock());
                    if (ack != null) {
                        leader.knownJobIds.addAll(report.jobIds());
                        send(
                                () -> {
                                    if (sender == node) {
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
    private int runScenario(long seed) {
        random = new Random(seed);
        now = 0;
        storedJobIds.clear();
        confirmedAt.clear();
        inFlight.clear();
        List<Leader> leaders = new ArrayList<>(List.of(new Leader(1, "leader-1")));
        startProcess(leaders);
        int checksAheadOfStore = 0;
        while (now < 200 * SECOND) {
            now += 50_000;
            while (!inFlight.isEmpty() && inFlight.firstKey() <= now) {
                inFlight.pollFirstEntry().getValue().forEach(message -> message.deliver.run());
            }
            if (faultsEnabled && random.nextInt(100) == 0) {
                lossTenths = random.nextInt(3) == 0 ? 10 : random.nextInt(5);
            }
            if (random.nextInt(200) == 0) {
                storeSilentSince = storeSilentSince < 0 ? now : -1;
            }
            if (leaders.size() == 1
                    && storeSilentSince < 0
                    && now > 60 * SECOND
                    && random.nextInt(400) == 0) {
                leaders.add(new Leader(2, "leader-2"));
            }
            if (leaders.size() == 2
                    && leaders.get(0).steppedDown
                    && storeSilentSince < 0
                    && random.nextInt(400) == 0) {
                leaders.add(new Leader(3, "leader-1"));
                reelections++;
            }
            for (Leader leader : leaders) {
                if (!leader.steppedDown
                        && random.nextInt(60) == 0
                        && random.nextInt(3) == 0
                        && storeSilentSince < 0) {
                    leader.readStore();
                }
                ConfirmedCancellations receiver = node;
                boolean leads = !leader.steppedDown;
                long knownTerm = leads ? leader.term : leaders.size();
                boolean isLatestTermOfNode =
                        leaders.stream()
                                .noneMatch(
                                        other ->
                                                other.label.equals(leader.label)
                                                        && other.term > leader.term);
                if (isLatestTermOfNode && random.nextInt(14) == 0) {
                    send(
                            () -> {
                                if (receiver == node) {
                                    node.onPeerTerm(leader.label, knownTerm, leads);
                                }
                            });
                }
            }
            if (leaders.size() > 1 && random.nextInt(600) == 0) {
                leaders.get(random.nextInt(leaders.size() - 1)).steppedDown = true;
            }
            if (faultsEnabled && random.nextInt(500) == 0) {
                now += 50_000 + random.nextInt(8_000_000);
                startProcess(leaders);
            }
            if (leaderIndexOfNode < leaders.size() - 1 && random.nextInt(100) == 0) {
                leaderIndexOfNode++;
            }
            if (random.nextInt(14) == 0) {
                sendReport(leaders);
            }
            if (storeSilentSince < 0 && random.nextInt(10) == 0) {
                String jobId =
                        "j-"
                                + (random.nextInt(3) == 0 && !storedJobIds.isEmpty()
                                        ? random.nextInt(storedJobIds.size())
                                        : storedJobIds.size());
                storedJobIds.add(jobId);
                node.add(jobId, nodeClock());
            }
            for (String jobId : storedJobIds) {
                if (!confirmedAt.containsKey(jobId) && node.tryConfirm(jobId, nodeClock())) {
                    confirmedAt.put(jobId, now);
                }
            }
            for (Leader leader : leaders) {
                if (leader.steppedDown) {
                    continue;
                }
                long watermark = leader.watermarkMicros();
                checksAheadOfStore += watermark > leader.readUpToMicros ? 1 : 0;
                confirmedAt.forEach(
                        (jobId, at) -> {
                            if (!leader.knownJobIds.contains(jobId)) {
                                assertTrue(
                                        watermark <= leader.clock(at),
                                        jobId
                                                + " was confirmed at "
                                                + at
                                                + ", but the watermark of term "
                                                + leader.term
                                                + " is "
                                                + (watermark - leader.clock(at))
                                                + " microseconds later, seed "
                                                + seed);
                            }
                        });
            }
        }
        return checksAheadOfStore;
    }

    @Test
    void watermarkNeverPassesACancellationThatItsLeaderLacks() {
        int confirmations = 0;
        int checksAheadOfStore = 0;
        for (long seed = 1; seed <= 60; seed++) {
            checksAheadOfStore += runScenario(seed);
            confirmations += confirmedAt.size();
        }
        assertTrue(confirmations > 3_000, "only " + confirmations + " confirmations");
        assertTrue(reelections > 20, "only " + reelections + " scenarios with a re-elected leader");
        assertTrue(
                checksAheadOfStore > 20_000,
                "only " + checksAheadOfStore + " checks with a watermark ahead of the store");
    }

    /**
     * While the store is unavailable, the watermark keeps up with the clock as long as the node's
     * reports arrive, however long the outage lasts.
     */
    @Test
    void watermarkKeepsUpWithReportsDuringAStoreOutage() {
        CancellationWatermark watermark = new CancellationWatermark(3, List.of("node"));
        ConfirmedCancellations cancellations = new ConfirmedCancellations(1, List.of("leader"), 0);
        for (long at = SECOND; at < 1_000 * SECOND; at += SECOND) {
            WatermarkAck ack =
                    watermark.onReport(
                            "node", cancellations.nextReport("leader", 3, at, at), SECOND, at);
            cancellations.onAck(ack);
            assertTrue(
                    at < 3 * SECOND || watermark.watermarkMicros(SECOND) >= at,
                    "the watermark is behind at " + at);
        }
        // Reports of a process that restarts within the promise continue those of its predecessor.
        // After a longer gap they do not.
        long endMicros = 999 * SECOND;
        long afterRestart = watermarkAfter(watermark, endMicros + 9 * SECOND);
        assertTrue(afterRestart >= endMicros + 30 * SECOND, "the watermark is at " + afterRestart);
        assertEquals(afterRestart, watermarkAfter(watermark, endMicros + 80 * SECOND));
        assertEquals(List.of("node"), watermark.slowestNodes(SECOND));
    }

    private static long watermarkAfter(CancellationWatermark watermark, long startMicros) {
        ConfirmedCancellations successor =
                new ConfirmedCancellations(startMicros, List.of("leader"), startMicros);
        for (long at = startMicros + SECOND; at < startMicros + 40 * SECOND; at += SECOND) {
            successor.onAck(
                    watermark.onReport(
                            "node", successor.nextReport("leader", 3, at, at), SECOND, at));
        }
        return watermark.watermarkMicros(SECOND);
    }

    /**
     * A leader that receives reports but never acknowledges them must not delay confirmations for
     * long. Users give up and retry; each retry must not find a promise that was renewed in
     * between.
     */
    @Test
    void unresponsiveLeaderDelaysConfirmationsOnlyBriefly() {
        ConfirmedCancellations cancellations = new ConfirmedCancellations(1, List.of(), 0);
        cancellations.add("j-000001", SECOND);
        long confirmedAtMicros = 0;
        for (long at = SECOND; at < 60 * SECOND && confirmedAtMicros == 0; at += SECOND / 10) {
            if (at % (7 * SECOND / 10) == 0) {
                cancellations.nextReport("leader", 3, 0, at);
            }
            boolean isPolling = at / SECOND % 5 == 0;
            confirmedAtMicros = isPolling && cancellations.tryConfirm("j-000001", at) ? at : 0;
        }
        assertTrue(
                confirmedAtMicros > 0 && confirmedAtMicros < 12 * SECOND,
                "confirmed at " + confirmedAtMicros);
    }

    private static ConfirmedCancellations withPromiseTo(String leader, long stateSilentMicros) {
        ConfirmedCancellations cancellations = new ConfirmedCancellations(1, List.of(), 0);
        cancellations.nextReport(leader, 3, stateSilentMicros, SECOND);
        cancellations.add("j-000001", 2 * SECOND);
        assertFalse(cancellations.tryConfirm("j-000001", 2 * SECOND));
        return cancellations;
    }

    /**
     * No peer tells a node that it no longer leads itself, so without onLeadershipLost its own
     * promise to itself delayed confirmations by up to 15 s.
     */
    @Test
    void promiseToAFormerLeaderDoesNotDelayConfirmations() {
        ConfirmedCancellations promisedToSelf = withPromiseTo("self", 20 * SECOND);
        promisedToSelf.onLeadershipLost("self");
        assertTrue(promisedToSelf.tryConfirm("j-000001", 2 * SECOND));
        ConfirmedCancellations promisedToOther = withPromiseTo("other", 20 * SECOND);
        promisedToOther.onLeadershipLost("self");
        promisedToOther.onPeerTerm("other", 3, true);
        assertFalse(promisedToOther.tryConfirm("j-000001", 2 * SECOND));
        promisedToOther.onPeerTerm("other", 4, false);
        assertTrue(promisedToOther.tryConfirm("j-000001", 2 * SECOND));
    }

    /**
     * Once a node that leads again has acknowledged the cancellation, a promise that the node
     * received in its earlier term no longer delays the confirmation. A promise to the leader of a
     * term in between still does, until that leader is known to have learned of the later term.
     */
    @Test
    void olderPromiseToAReelectedLeaderDoesNotDelayConfirmations() {
        ConfirmedCancellations cancellations = withPromiseTo("other", 20 * SECOND);
        cancellations.nextReport("between", 4, 0, 5 * SECOND / 2);
        WatermarkReport report = cancellations.nextReport("other", 5, 0, 4 * SECOND);
        assertFalse(cancellations.tryConfirm("j-000001", 4 * SECOND + 1));
        cancellations.onAck(new WatermarkAck(5, 1, report.sentMicros(), 4 * SECOND));
        assertFalse(
                cancellations.tryConfirm("j-000001", 4 * SECOND + 1),
                "the leader of term 4 may still rely on its promise");
        cancellations.onPeerTerm("between", 5, false);
        assertTrue(cancellations.tryConfirm("j-000001", 4 * SECOND + 1));
    }

    /**
     * A promise that the previous process may have made to a node still counts after this process
     * has made the same node a shorter one.
     */
    @Test
    void shorterPromiseDoesNotReplaceThatOfThePreviousProcess() {
        ConfirmedCancellations cancellations = new ConfirmedCancellations(1, List.of("other"), 0);
        cancellations.nextReport("other", 3, 0, SECOND);
        cancellations.add("j-000001", 2 * SECOND);
        WatermarkReport report = cancellations.nextReport("between", 4, 0, 2 * SECOND);
        cancellations.onAck(new WatermarkAck(4, 1, report.sentMicros(), 2 * SECOND));
        cancellations.onPeerTerm("other", 4, true);
        assertFalse(cancellations.tryConfirm("j-000001", 14 * SECOND));
        assertTrue(cancellations.tryConfirm("j-000001", 15 * SECOND + 1));
    }

    /**
     * Beyond 2,000 unacknowledged cancellations the oldest are dropped: they are not confirmed
     * until they are added again, and reports do not claim to cover them.
     */
    @Test
    void droppedCancellationsAreNeitherConfirmedNorCoveredByAReport() {
        ConfirmedCancellations cancellations = new ConfirmedCancellations(1, List.of(), 0);
        WatermarkReport firstReport = cancellations.nextReport("leader", 3, 0, SECOND);
        cancellations.onAck(new WatermarkAck(3, 1, firstReport.sentMicros(), SECOND));
        for (int i = 0; i < 2_500; i++) {
            cancellations.add("j-" + i, 2 * SECOND + i);
        }
        WatermarkReport report = cancellations.nextReport("leader", 3, 0, 3 * SECOND);
        assertEquals(2_000, report.jobIds().size());
        assertEquals(2 * SECOND + 499, report.completeSinceMicros());
        cancellations.onAck(new WatermarkAck(3, 1, report.sentMicros(), 3 * SECOND));
        assertFalse(cancellations.tryConfirm("j-499", 3 * SECOND + 1));
        assertTrue(cancellations.tryConfirm("j-500", 3 * SECOND + 1));
        // A watermark does not advance by a report that leaves a gap after the previous one.
        CancellationWatermark watermark = new CancellationWatermark(3, List.of("node"));
        watermark.onReport("node", firstReport, SECOND, SECOND);
        watermark.onReport("node", report, SECOND, 3 * SECOND);
        assertEquals(SECOND, watermark.watermarkMicros(SECOND));
    }

    @Test
    void invalidReportsAreIgnored() {
        CancellationWatermark watermark = new CancellationWatermark(3, List.of("node"));
        long before = watermark.watermarkMicros(SECOND);
        List<WatermarkReport> invalidReports =
                List.of(
                        new WatermarkReport(
                                3, 1, 5, 6, WatermarkReport.NO_LEADER_CLOCK, 0, List.of()),
                        new WatermarkReport(
                                3, 1, 5, 5, WatermarkReport.NO_LEADER_CLOCK, -1, List.of()),
                        new WatermarkReport(
                                3,
                                1,
                                5,
                                5,
                                WatermarkReport.NO_LEADER_CLOCK,
                                60 * SECOND,
                                List.of()),
                        new WatermarkReport(3, 1, 5, 5, 11 * SECOND, 0, List.of()));
        for (WatermarkReport report : invalidReports) {
            assertFalse(CancellationWatermark.validationError(report, 10 * SECOND) == null);
            assertNull(watermark.onReport("node", report, 10 * SECOND, 10 * SECOND));
        }
        assertNull(
                watermark.onReport(
                        "nobody",
                        new WatermarkReport(3, 1, 5, 5, SECOND, 0, List.of()),
                        10 * SECOND,
                        10 * SECOND));
        assertNull(
                watermark.onReport(
                        "node",
                        new WatermarkReport(2, 1, 5, 5, SECOND, 0, List.of()),
                        10 * SECOND,
                        10 * SECOND));
        assertEquals(before, watermark.watermarkMicros(SECOND));
    }
}
