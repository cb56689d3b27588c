package org.woadloom.core.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.woadloom.core.Command;
import org.woadloom.core.Core;
import org.woadloom.core.CoreSettings;
import org.woadloom.core.Effect;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Team;
import org.woadloom.state.JobRecord;
import org.woadloom.state.RecordFormat;
import org.woadloom.wire.JobDescription;
import org.woadloom.wire.WireException;

class PipelinesTest {
    private static final double WRITES_PER_SECOND = 40;

    private final Core core =
            new Core(
                    new CoreSettings(
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

    private static JobRecord record(String uid, String... awaits) throws WireException {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", uid);
        map.put("jobclass", "work");
        map.put("crew", "team");
        map.put("shape", "batch");
        map.put("rank", "low");
        map.put("shards", 1L);
        map.put("vcpus", 1.0);
        map.put("ramGb", 1.0);
        map.put("bundle", "img");
        map.put("awaits", List.of(awaits));
        return JobRecord.accepted(JobDescription.parse(map), 0);
    }

    private List<Effect> step(Command... commands) {
        now += 100_000;
        return core.step(now, now, List.of(commands));
    }

    private List<Effect> lead(JobRecord... records) {
        List<Command.StoredJob> jobs = new ArrayList<>();
        for (JobRecord record : records) {
            jobs.add(new Command.StoredJob(record, 5));
        }
        return step(
                new Command.StorageSeen(
                        2048, RecordFormat.COMPACT, WRITES_PER_SECOND, false, false),
                new Command.Lead(3, jobs, List.of(), 0));
    }

    private static List<String> asked(List<Effect> effects) {
        return effects.stream()
                .filter(Effect.FindJob.class::isInstance)
                .map(e -> ((Effect.FindJob) e).uid())
                .toList();
    }

    private static Set<String> cancelled(List<Effect> effects) {
        Set<String> uids = new HashSet<>();
        for (Effect effect : effects) {
            if (effect instanceof Effect.FinishJob finish && finish.record().cancelled()) {
                uids.add(finish.record().uid());
            }
        }
        return uids;
    }

    /** That a leader knows nothing of a job proves nothing of it. */
    @Test
    void aJobWaitsUntilTheStoreSaysThatAllBeforeItAreDone() throws WireException {
        assertEquals(List.of("j-1", "j-2"), asked(lead(record("j-3", "j-1", "j-2"))));
        step(new Command.JobFound("j-1", Command.Standing.DONE, 1_000_000));
        assertEquals(1, core.waiting());
        step(new Command.JobFound("j-2", Command.Standing.UNREADABLE, 0));
        List<String> again = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            again.addAll(asked(step()));
        }
        assertEquals(List.of("j-2"), again);
        step(new Command.JobFound("j-2", Command.Standing.NOT_FOUND, 0));
        assertEquals(1, core.waiting());
        step(new Command.JobFound("j-2", Command.Standing.DONE, 0));
        assertEquals(0, core.waiting());
    }

    /**
     * A record that is gone after a write without an answer says neither done nor cancelled: the
     * store is asked.
     */
    @Test
    void aJobBeforeItWhoseRecordIsGoneIsLookedUp() throws WireException {
        JobRecord done = record("j-1");
        done.done().set(0);
        // Its final state is written at once, and no answer comes.
        lead(done);
        step(new Command.JobWritten("j-1", 1, Command.WriteOutcome.UNKNOWN, 0));
        step(new Command.JobMissing("j-1"));
        assertEquals(List.of("j-1"), asked(step(new Command.JobSeen(record("j-2", "j-1"), 9))));
        assertEquals(1, core.waiting());
        step(new Command.JobFound("j-1", Command.Standing.DONE, 0));
        assertEquals(0, core.waiting());
    }

    /** A chain of thousands needs no stack, and its writes stay within the rate. */
    @Test
    void aLongChainIsCancelledWithinTheRate() throws WireException {
        int length = 3_000;
        JobRecord[] chain = new JobRecord[length];
        for (int i = 0; i < length; i++) {
            chain[i] = i == 0 ? record("j-0") : record("j-" + i, "j-" + (i - 1));
        }
        lead(chain);
        List<Effect> effects = step(new Command.JobSeen(record("j-0").asCancelled(), 9));
        Set<String> all = new HashSet<>();
        int steps = 0;
        while (all.size() < length && steps++ < 10_000) {
            Set<String> written = cancelled(effects);
            assertTrue(written.size() <= 2 * WRITES_PER_SECOND, written.size() + " at once");
            all.addAll(written);
            List<Command> outcomes = new ArrayList<>();
            written.forEach(
                    uid ->
                            outcomes.add(
                                    new Command.JobWritten(
                                            uid, 1, Command.WriteOutcome.WRITTEN, 11)));
            effects = step(outcomes.toArray(new Command[0]));
        }
        assertEquals(length, all.size());
        assertEquals(0, core.jobs());
        double seconds = steps * 0.1;
        assertTrue(
                2 * length / seconds <= WRITES_PER_SECOND * 1.05 + 2,
                "at " + 2 * length / seconds + " a second");
    }
}
