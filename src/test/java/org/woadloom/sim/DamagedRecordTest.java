package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadloom.net.EventLoop;
import org.woadloom.reads.UnansweredQueries;

/** A job whose record can't be read stays known, and one of which nobody is told is found. */
class DamagedRecordTest {
    private static final long AT = 60_000_000;

    /**
     * An open job, with everything of its record damaged but the field that says whether it is
     * cancelled.
     */
    private static String damage(ClusterSimulation world, boolean cancelled) {
        String jobId =
                world.truth.acceptedJobs().stream()
                        .filter(
                                job ->
                                        world.stored("job/" + job) != null
                                                && !world.truth.isOver(job)
                                                && !world.truth.submitted.get(job).isService())
                        .reduce((a, b) -> b)
                        .orElseThrow();
        world.put(
                "job/" + jobId,
                cancelled
                        ? Map.of("format", 2L, "job", "gone", "cancelled", true)
                        : Map.of("format", 2L, "job", "gone"));
        return jobId;
    }

    private static ClusterSimulation day() {
        ClusterSimulation world = new ClusterSimulation(5, Scenario.PLAIN);
        world.trouble = 0;
        world.users(AT + 10_000_000);
        world.run(AT);
        return world;
    }

    private static Object told(ClusterSimulation world, int node, String method, String path) {
        Map<String, Object> answer =
                world.ask(node, method, path, method.equals("POST") ? Map.of() : null);
        world.run(world.loop.now() + 2_000_000);
        assertEquals(200, answer.get("code"));
        return answer.get("status");
    }

    /** The leader writes what it knows in its place, and the job is done as if nothing had been. */
    @Test
    void aLeaderThatKnowsTheJobWritesItsRecordAnew() {
        ClusterSimulation world = day();
        String jobId = damage(world, false);
        world.run(AT + 8_000_000);
        assertTrue(
                world.stored("job/" + jobId) == null
                        || world.stored("job/" + jobId).get("job") instanceof Map);
        world.run(AT + 400_000_000);
        assertEquals("done", told(world, 0, "GET", "/v1/jobs/" + jobId));
    }

    /** No leader knows it any more: its users hear of it, and can be rid of it. */
    @Test
    void aJobThatNoLeaderKnowsStaysKnownAndCanBeCancelled() {
        ClusterSimulation world = day();
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            world.end(i, 2_000_000);
        }
        String jobId = damage(world, false);
        world.run(AT + 20_000_000);
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            assertEquals("queued", told(world, i, "GET", "/v1/jobs/" + jobId));
        }
        world.truth.cancelling(jobId);
        assertEquals("cancelled", told(world, 1, "POST", "/v1/jobs/" + jobId + "/cancel"));
        assertNull(world.stored("job/" + jobId));
        assertEquals("cancelled", told(world, 2, "GET", "/v1/jobs/" + jobId));
        world.run(AT + 200_000_000);
    }

    @Test
    void whatWasCancelledStaysCancelledAsLongAsThatFieldCanBeRead() {
        ClusterSimulation world = day();
        for (int i = 0; i < ClusterSimulation.NODES; i++) {
            world.end(i, 2_000_000);
        }
        String jobId = damage(world, true);
        world.truth.cancelling(jobId);
        world.run(AT + 20_000_000);
        assertEquals("cancelled", told(world, 0, "GET", "/v1/jobs/" + jobId));
        assertEquals("cancelled", told(world, 2, "POST", "/v1/jobs/" + jobId + "/cancel"));
    }

    /**
     * Asked about in vain for ten seconds while the store serves others, a job's users go first.
     */
    @Test
    void whoIsRefusedAgainAndAgainGoesFirst() {
        SimulatedEventLoop sim = new SimulatedEventLoop();
        EventLoop loop = sim.loop();
        UnansweredQueries unanswered = new UnansweredQueries(loop);
        for (int i = 0; i < 3; i++) {
            unanswered.refused("j-1", true);
            assertFalse(unanswered.goesFirst("j-1"));
            sim.step(sim.now() + 4_000_000);
        }
        assertTrue(unanswered.goesFirst("j-1"));
        assertEquals(12_000_000, unanswered.longestMicros());
        assertNotEquals(true, unanswered.goesFirst("j-2"));
        unanswered.answered("j-1");
        assertEquals(0, unanswered.longestMicros());
        unanswered.refused("j-2", true);
        unanswered.refused("j-2", false);
        assertEquals(0, unanswered.longestMicros(), "an outage for all picks out nobody");
    }
}
