package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.woadloom.net.EventLoop;
import org.woadloom.reads.QueryRefusal;
import org.woadloom.reads.UnansweredQueries;

/**
 * A job whose stored record can't be read stays known to its users. Also covers the priority of
 * jobs whose queries are refused repeatedly.
 */
@ExtendWith(PrintReplayCommand.class)
class DamagedRecordTest {
    private static final long DAMAGE_MICROS = 60_000_000;

    /**
     * Replaces the record of an open job by an unreadable one in which only the {@code cancelled}
     * field may be intact; returns the job's id.
     */
    private static String damageOpenJob(ClusterSimulation cluster, boolean cancelled) {
        String jobId =
                cluster.observed.acceptedJobs().stream()
                        .filter(
                                job ->
                                        cluster.stored("job/" + job) != null
                                                && !cluster.observed.hasFinalStatus(job)
                                                && !cluster.observed.job(job).isService())
                        .reduce((a, b) -> b)
                        .orElseThrow();
        cluster.put(
                "job/" + jobId,
                cancelled
                        ? Map.of("format", 2L, "job", "gone", "cancelled", true)
                        : Map.of("format", 2L, "job", "gone"));
        return jobId;
    }

    private static ClusterSimulation startCluster() {
        ClusterSimulation cluster = new ClusterSimulation(5, Scenario.DEFAULT);
        cluster.networkFaultPerMille = 0;
        cluster.users.submitUntil(DAMAGE_MICROS + 10_000_000);
        cluster.run(DAMAGE_MICROS);
        return cluster;
    }

    private static Object requestStatus(
            ClusterSimulation cluster, int node, String method, String path) {
        Map<String, Object> answer =
                cluster.ask(node, method, path, method.equals("POST") ? Map.of() : null);
        cluster.run(cluster.loop.now() + 2_000_000);
        assertEquals(200, answer.get("code"));
        return answer.get("status");
    }

    /** The leader rewrites the record from memory, and the job runs to completion. */
    @Test
    void leaderRewritesDamagedRecordOfKnownJob() {
        ClusterSimulation cluster = startCluster();
        String jobId = damageOpenJob(cluster, false);
        cluster.run(DAMAGE_MICROS + 8_000_000);
        assertTrue(
                cluster.stored("job/" + jobId) == null
                        || cluster.stored("job/" + jobId).get("job") instanceof Map);
        cluster.run(DAMAGE_MICROS + 400_000_000);
        assertEquals("done", requestStatus(cluster, 0, "GET", "/v1/jobs/" + jobId));
    }

    /**
     * After a restart of all nodes no leader knows the job: it is reported as queued, and users can
     * cancel it.
     */
    @Test
    void damagedJobUnknownToLeaderIsReportedQueuedAndCanBeCancelled() {
        ClusterSimulation cluster = startCluster();
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            cluster.restartAfter(i, 2_000_000);
        }
        String jobId = damageOpenJob(cluster, false);
        cluster.run(DAMAGE_MICROS + 20_000_000);
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            assertEquals("queued", requestStatus(cluster, i, "GET", "/v1/jobs/" + jobId));
        }
        cluster.observed.recordCancelRequest(jobId);
        assertEquals(
                "cancelled", requestStatus(cluster, 1, "POST", "/v1/jobs/" + jobId + "/cancel"));
        assertNull(cluster.stored("job/" + jobId));
        assertEquals("cancelled", requestStatus(cluster, 2, "GET", "/v1/jobs/" + jobId));
        cluster.run(DAMAGE_MICROS + 200_000_000);
    }

    @Test
    void damagedRecordWithReadableCancelledFieldStaysCancelled() {
        ClusterSimulation cluster = startCluster();
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            cluster.restartAfter(i, 2_000_000);
        }
        String jobId = damageOpenJob(cluster, true);
        cluster.observed.recordCancelRequest(jobId);
        cluster.run(DAMAGE_MICROS + 20_000_000);
        assertEquals("cancelled", requestStatus(cluster, 0, "GET", "/v1/jobs/" + jobId));
        assertEquals(
                "cancelled", requestStatus(cluster, 2, "POST", "/v1/jobs/" + jobId + "/cancel"));
    }

    /**
     * After ten seconds of refused queries while the store answers others, queries of a job get
     * priority.
     */
    @Test
    void jobRefusedForTenSecondsGetsPriority() {
        SimulatedEventLoop sim = new SimulatedEventLoop();
        EventLoop loop = sim.loop();
        UnansweredQueries unanswered = new UnansweredQueries(loop);
        for (int i = 0; i < 3; i++) {
            unanswered.onRefused("j-1", QueryRefusal.READ_UNANSWERED, true);
            assertFalse(unanswered.hasPriority("j-1"));
            sim.step(sim.now() + 4_000_000);
        }
        assertTrue(unanswered.hasPriority("j-1"));
        assertEquals(12_000_000, unanswered.longestUnansweredMicros());
        assertNotEquals(true, unanswered.hasPriority("j-2"));
        unanswered.onAnswered("j-1");
        assertEquals(0, unanswered.longestUnansweredMicros());
        unanswered.onRefused("j-2", QueryRefusal.READ_UNANSWERED, true);
        unanswered.onRefused("j-2", QueryRefusal.READ_UNANSWERED, false);
        assertEquals(
                0, unanswered.longestUnansweredMicros(), "a store outage gives no job priority");
    }
}
