package org.woadloom.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.woadloom.core.LeaderFixture.SECOND;
import static org.woadloom.core.LeaderFixture.heartbeat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.woadloom.store.JobRecord;

/** With very many open jobs placement is delayed, while heartbeats are answered immediately. */
class SearchPauseTest {
    private static final String FIRST_HOST = "host-000001";
    private static final String SECOND_HOST = "host-000002";

    private static LeaderFixture leaderWithJobs(int count) {
        List<JobRecord> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            jobs.add(JobRecord.accepted(LeaderFixture.job(String.format("j-%06d", i), 1), 0));
        }
        return new LeaderFixture(200, jobs, FIRST_HOST, SECOND_HOST);
    }

    private static long placementCount(LeaderFixture leader) {
        return leader.actionsOfType(SchedulerAction.Log.class).stream()
                .filter(log -> log.entry().event() == LogEvent.TASKS_PLACED)
                .count();
    }

    /** A leader whose last search filled the first machine, while the second is not up yet. */
    private static LeaderFixture afterFirstPlacement(int jobs) {
        LeaderFixture leader = leaderWithJobs(jobs);
        leader.bringUp(FIRST_HOST, 1);
        for (int i = 0; placementCount(leader) == 0 && i < 20; i++) {
            leader.advance(SECOND / 10);
        }
        assertEquals(2, placementCount(leader));
        return leader;
    }

    @Test
    void placementIsImmediateWithFewJobs() {
        LeaderFixture leader = afterFirstPlacement(1_000);
        leader.bringUp(SECOND_HOST, 1);
        assertEquals(4, placementCount(leader));
    }

    @Test
    void placementIsDelayedButHeartbeatsAreAnsweredWithManyJobs() {
        LeaderFixture leader = afterFirstPlacement(12_000);
        leader.bringUp(SECOND_HOST, 1);
        assertNotNull(leader.sendHeartbeat(heartbeat(FIRST_HOST, 1, 3, 0)));
        assertEquals(2, placementCount(leader));
        leader.advance(SECOND / 5);
        assertTrue(
                placementCount(leader) == 4,
                placementCount(leader) + " placements after the delay");
    }
}
