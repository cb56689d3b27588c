package org.woadloom.core.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeout;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadloom.core.LeaderFixture;
import org.woadloom.core.Scheduler;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerFixture;
import org.woadloom.core.SchedulerSettings;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.protocol.TaskId;
import org.woadloom.protocol.TaskStatus;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Team;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;

class DependencyGraphTest {
    private static final double WRITES_PER_SECOND = 40;

    /** Agents wait so long for the answer to a heartbeat. */
    private static final Duration AGENT_TIMEOUT = Duration.ofSeconds(4);

    private final Scheduler scheduler =
            new Scheduler(
                    new SchedulerSettings(
                            "node",
                            Map.of(),
                            List.of(new Team("team", 100, 100, 0, 0)),
                            List.of(),
                            1_500_000,
                            10_000_000,
                            40_000_000,
                            3_000_000,
                            OperatorSettings.defaults()));
    private long now = 1_000_000;
    private final SchedulerFixture fixture = new SchedulerFixture();
    private final JobRegistry registry = new JobRegistry(fixture.state);
    private final JobPersister persister = new JobPersister(fixture.state, registry);

    private static JobRecord record(String jobId, String... dependencies)
            throws MalformedMessageException {
        return JobRecord.accepted(
                JobDescription.parse(description(jobId, List.of(dependencies))), 0);
    }

    private static Map<String, Object> description(String jobId, List<String> dependencies) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", jobId);
        map.put("jobclass", "work");
        map.put("crew", "team");
        map.put("shape", "batch");
        map.put("rank", "low");
        map.put("shards", 1L);
        map.put("vcpus", 1.0);
        map.put("ramGb", 1.0);
        map.put("bundle", "img");
        map.put("awaits", dependencies);
        return map;
    }

    private List<SchedulerAction> step(SchedulerEvent... events) {
        now += 100_000;
        return scheduler.step(now, now, List.of(events));
    }

    private List<SchedulerAction> acquireLeadership(JobRecord... records) {
        List<SchedulerEvent.StoredJob> jobs = new ArrayList<>();
        for (JobRecord record : records) {
            jobs.add(new SchedulerEvent.StoredJob(record, 5));
        }
        return step(
                new SchedulerEvent.StoreLimitsChanged(
                        2048, RecordFormat.COMPACT, WRITES_PER_SECOND, false, false),
                new SchedulerEvent.LeadershipAcquired(3, jobs, List.of(), 0));
    }

    private static List<String> lookedUpJobIds(List<SchedulerAction> actions) {
        return actions.stream()
                .filter(SchedulerAction.ResolveDependency.class::isInstance)
                .map(e -> ((SchedulerAction.ResolveDependency) e).jobId())
                .toList();
    }

    private static Set<String> cancelledJobIds(List<SchedulerAction> actions) {
        Set<String> jobIds = new HashSet<>();
        for (SchedulerAction action : actions) {
            if (action instanceof SchedulerAction.WriteFinalState finish
                    && finish.record().cancelled()) {
                jobIds.add(finish.record().jobId());
            }
        }
        return jobIds;
    }

    /**
     * A dependency that is not in the leader's registry may have ended or may not have been read
     * yet: a job must not start until the store reports each of its dependencies as done.
     * Inconclusive lookups are repeated.
     */
    @Test
    void unblocksAJobOnlyOnceTheStoreReportsAllItsDependenciesDone()
            throws MalformedMessageException {
        assertEquals(
                List.of("j-1", "j-2"),
                lookedUpJobIds(acquireLeadership(record("j-3", "j-1", "j-2"))));
        step(
                new SchedulerEvent.DependencyResolved(
                        "j-1", SchedulerEvent.DependencyState.DONE, 1_000_000));
        assertEquals(1, scheduler.blockedJobCount());
        step(
                new SchedulerEvent.DependencyResolved(
                        "j-2", SchedulerEvent.DependencyState.UNREADABLE, 0));
        List<String> retry = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            retry.addAll(lookedUpJobIds(step()));
        }
        assertEquals(List.of("j-2"), retry);
        step(
                new SchedulerEvent.DependencyResolved(
                        "j-2", SchedulerEvent.DependencyState.NOT_FOUND, 0));
        assertEquals(1, scheduler.blockedJobCount());
        step(new SchedulerEvent.DependencyResolved("j-2", SchedulerEvent.DependencyState.DONE, 0));
        assertEquals(0, scheduler.blockedJobCount());
    }

    /**
     * If the write of a job's final state got no response and the store no longer has the job's
     * record, the leader can't tell whether the job was completed or cancelled. For a job that
     * depends on the missing one, the leader therefore looks up the final state in the store.
     */
    @Test
    void looksUpADependencyWhoseRecordIsMissing() throws MalformedMessageException {
        JobRecord done = record("j-1");
        done.completedTasks().set(0);
        // The final state is written at once; the write gets no response.
        acquireLeadership(done);
        step(
                new SchedulerEvent.JobWriteCompleted(
                        "j-1", 1, SchedulerEvent.WriteOutcome.UNKNOWN, 0));
        step(new SchedulerEvent.JobRecordNotFound("j-1"));
        assertEquals(
                List.of("j-1"),
                lookedUpJobIds(step(new SchedulerEvent.JobStored(record("j-2", "j-1"), 9))));
        assertEquals(1, scheduler.blockedJobCount());
        step(new SchedulerEvent.DependencyResolved("j-1", SchedulerEvent.DependencyState.DONE, 0));
        assertEquals(0, scheduler.blockedJobCount());
    }

    /** Guards against starting a dependent of a cancelled job whose tasks have all completed. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void cancelsADependentThatArrivesWithTheEndOfItsCancelledDependency(boolean dependentFirst)
            throws MalformedMessageException {
        JobRecord cancelled = record("j-1").withCancellation();
        cancelled.completedTasks().set(0);
        assertEquals(Set.of("j-1"), cancelledJobIds(acquireLeadership(cancelled)));
        SchedulerEvent dependent = new SchedulerEvent.JobStored(record("j-2", "j-1"), 9);
        SchedulerEvent ended =
                new SchedulerEvent.JobWriteCompleted(
                        "j-1", 1, SchedulerEvent.WriteOutcome.WRITTEN, 11);
        Set<String> written =
                cancelledJobIds(dependentFirst ? step(dependent, ended) : step(ended, dependent));
        written.addAll(
                cancelledJobIds(
                        step(
                                new SchedulerEvent.DependencyResolved(
                                        "j-1", SchedulerEvent.DependencyState.CANCELLED, 0))));
        assertEquals(Set.of("j-2"), written);
    }

    /** Guards against taking a completion that was never stored for the end of a cancelled job. */
    @Test
    void cancelsADependentOfAJobThatWasCancelledBeforeItsCompletionWasStored()
            throws MalformedMessageException {
        LeaderFixture leader = new LeaderFixture(200, List.of(record("j-1")), "host");
        TaskStatus done =
                new TaskStatus(
                        new TaskId("j-1", 0),
                        1,
                        TaskStatus.State.EXITED,
                        TaskStatus.ExitReason.DONE,
                        false);
        leader.sendHeartbeat(LeaderFixture.heartbeat("host", 1, 1, 0, done));
        leader.step(
                new SchedulerEvent.JobWriteCompleted(
                        "j-1", 1, SchedulerEvent.WriteOutcome.CONFLICT, 0));
        leader.step(new SchedulerEvent.JobStored(record("j-1").withCancellation(), 200));
        leader.advance(LeaderFixture.SECOND);
        leader.step(
                new SchedulerEvent.JobStored(record("j-2", "j-1"), 201),
                new SchedulerEvent.JobWriteCompleted(
                        "j-1", 2, SchedulerEvent.WriteOutcome.WRITTEN, 202));
        assertEquals(Set.of("j-1", "j-2"), cancelledJobIds(leader.actions));
    }

    /** Guards against cancelling a dependent of a job whose final state nobody has read. */
    @Test
    void looksUpAReplacedDependencyBeforeDecidingOnItsDependent() throws MalformedMessageException {
        Job job = fixture.job("j-1", 1, 1, 1);
        TaskAttempt attempt = new TaskAttempt(job, 0, fixture.machine("host", "a"), 1, 0, 0);
        attempt.onRecovered();
        job.addAttempt(attempt);
        job.persistence.startRead(0);
        registry.onRecordNotFound("j-1");
        registry.onRecordChanged(record("j-2", "j-1"), 10);
        fixture.state.dependencies().processChanges();
        Job dependent = fixture.state.jobs().get("j-2");
        assertTrue(dependent.isBlocked() && !dependent.isCancelled());
        job.removeAttempt(attempt);
        job.persistence.requestWrite(PersistenceState.WriteUrgency.TASK_ENDED);
        persister.emitDueRequests();
        fixture.state.dependencies().processChanges();
        assertEquals(List.of("j-1"), lookedUpJobIds(fixture.actions()));
    }

    /** Guards against a leader that stalls because each deadline walks down the whole chain. */
    @Test
    void passesDeadlinesDownALongChainBeforeAgentsGiveUp() throws MalformedMessageException {
        int length = 12_000;
        JobRecord[] chain = new JobRecord[length];
        for (int i = 0; i < length; i++) {
            Map<String, Object> job =
                    description("j-" + i, i == 0 ? List.of() : List.of("j-" + (i - 1)));
            job.put("runtimeS", 10.0);
            job.put("dueS", 1_000_000.0);
            chain[i] = JobRecord.accepted(JobDescription.parse(job), 0);
        }
        assertTimeout(AGENT_TIMEOUT, () -> acquireLeadership(chain));
    }

    /**
     * Guards against a stack overflow on a chain of thousands of dependent jobs, and against
     * exceeding the store's write rate when all of them are cancelled.
     */
    @Test
    void cancelsALongDependencyChainWithinTheWriteRate() throws MalformedMessageException {
        int length = 3_000;
        JobRecord[] chain = new JobRecord[length];
        for (int i = 0; i < length; i++) {
            chain[i] = i == 0 ? record("j-0") : record("j-" + i, "j-" + (i - 1));
        }
        acquireLeadership(chain);
        List<SchedulerAction> actions =
                step(new SchedulerEvent.JobStored(record("j-0").withCancellation(), 9));
        Set<String> all = new HashSet<>();
        int steps = 0;
        while (all.size() < length && steps++ < 10_000) {
            Set<String> written = cancelledJobIds(actions);
            assertTrue(
                    written.size() <= 2 * WRITES_PER_SECOND,
                    written.size() + " final states written in one step");
            all.addAll(written);
            List<SchedulerEvent> outcomes = new ArrayList<>();
            written.forEach(
                    jobId ->
                            outcomes.add(
                                    new SchedulerEvent.JobWriteCompleted(
                                            jobId, 1, SchedulerEvent.WriteOutcome.WRITTEN, 11)));
            actions = step(outcomes.toArray(new SchedulerEvent[0]));
        }
        assertEquals(length, all.size());
        assertEquals(0, scheduler.openJobCount());
        double seconds = steps * 0.1;
        assertTrue(
                2 * length / seconds <= WRITES_PER_SECOND * 1.05 + 2,
                2 * length / seconds + " writes per second");
    }
}
