package org.woadloom.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Team;
import org.woadloom.state.JobRecord;
import org.woadloom.state.MachineRecord;
import org.woadloom.state.RecordFormat;
import org.woadloom.wire.JobDescription;
import org.woadloom.wire.MachineType;
import org.woadloom.wire.TaskReport;
import org.woadloom.wire.WireException;
import org.woadloom.wire.WorkerReport;

/**
 * A whole core that leads, with a lease of 10 s and reports every 1.5 s; the store takes every
 * write at once.
 */
public final class LeaderFixture {
    public static final long TERM = 5;
    public static final long SECOND = 1_000_000;
    private static final MachineType TYPE =
            new MachineType("m16", 16, 0, 32, 50, 1, 1, 0.3, 30 * SECOND, List.of("a", "b"));

    private final Core core;
    public long now = 100 * SECOND;
    public final List<Effect> effects = new ArrayList<>();
    private long stamps = 100;
    private long replies;

    /** Leads with these machines recorded. */
    public LeaderFixture(String... hosts) {
        this(200, List.of(), hosts);
    }

    /**
     * The same, with what earlier leaders have recorded of jobs.
     *
     * @param limit the CPUs that the team may use at most
     */
    public LeaderFixture(double limit, List<JobRecord> jobs, String... hosts) {
        core =
                new Core(
                        new CoreSettings(
                                "node",
                                Map.of(),
                                List.of(new Team("team", Math.min(64, limit), limit, 0, 0)),
                                List.of(),
                                1_500_000,
                                10 * SECOND,
                                30 * SECOND,
                                3 * SECOND,
                                OperatorSettings.defaults()));
        List<Command.StoredJob> stored = new ArrayList<>();
        jobs.forEach(job -> stored.add(new Command.StoredJob(job, ++stamps)));
        List<Command.StoredMachine> machines = new ArrayList<>();
        for (String host : hosts) {
            machines.add(
                    new Command.StoredMachine(
                            new MachineRecord(host, "m16", "a", false, false), ++stamps));
        }
        step(
                new Command.StorageSeen(8192, RecordFormat.COMPACT, 100, false, false),
                new Command.TypesSeen(List.of(TYPE)),
                new Command.Lead(TERM, stored, machines, now));
    }

    public void step(Command... commands) {
        List<Command> next = List.of(commands);
        while (next != null) {
            List<Effect> done = core.step(now, now, next);
            effects.addAll(done);
            List<Command> written = new ArrayList<>();
            for (Effect effect : done) {
                if (effect instanceof Effect.PutJob put) {
                    written.add(
                            new Command.JobWritten(
                                    put.record().description().uid(),
                                    put.record().version(),
                                    Command.WriteOutcome.WRITTEN,
                                    ++stamps));
                } else if (effect instanceof Effect.PutMachine put) {
                    written.add(
                            new Command.MachineWritten(
                                    put.record().host(),
                                    put.record().leaving(),
                                    false,
                                    Command.WriteOutcome.WRITTEN,
                                    ++stamps));
                }
            }
            next = written.isEmpty() ? null : written;
        }
    }

    /** Time passes, step by step, while nothing is heard. */
    public void pass(long micros) {
        for (long until = now + micros; now < until; ) {
            now += 100_000;
            step(new Command.Tick());
        }
    }

    public void submit(String uid, int shards) {
        step(new Command.JobSeen(JobRecord.accepted(job(uid, shards), now), ++stamps));
    }

    /** Tasks of 8 CPUs each. */
    public static JobDescription job(String uid, int shards) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", uid);
        map.put("jobclass", "work");
        map.put("crew", "team");
        map.put("shape", "batch");
        map.put("rank", "high");
        map.put("shards", (long) shards);
        map.put("vcpus", 8.0);
        map.put("ramGb", 1.0);
        map.put("bundle", "img");
        try {
            return JobDescription.parse(map);
        } catch (WireException e) {
            throw new IllegalStateException(e);
        }
    }

    public static WorkerReport message(
            String host, long tenure, long tick, long epoch, TaskReport... tasks) {
        return new WorkerReport(
                host, host + ":9000", "m16", "a", false, tenure, tick, epoch, -1, List.of(tasks));
    }

    /** The answer to a report that arrives now; null where it is turned away. */
    public Effect.Answer report(WorkerReport report) {
        long id = ++replies;
        step(new Command.Report(id, report));
        return all(Effect.Answer.class).stream()
                .filter(answer -> answer.replyId() == id)
                .findFirst()
                .orElse(null);
    }

    public <E extends Effect> List<E> all(Class<E> kind) {
        return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    public <E extends Effect> E last(Class<E> kind) {
        List<E> all = all(kind);
        return all.get(all.size() - 1);
    }

    /**
     * True if an entry of the event was logged with these values, each given as it stands in the
     * line.
     */
    public boolean logged(LogEvent event, String... values) {
        return all(Effect.Note.class).stream()
                .map(Effect.Note::entry)
                .filter(entry -> entry.event() == event)
                .anyMatch(
                        entry ->
                                List.of(values).stream()
                                        .allMatch(
                                                value ->
                                                        (entry + " ").contains(" " + value + " ")));
    }

    /** The worker answers the last direct command. */
    public void answered(WorkerReport body) {
        Effect.SendDirect sent = last(Effect.SendDirect.class);
        step(new Command.DirectResult(sent.sendId(), sent.host(), 200, body));
    }

    /** The worker answers the last direct command if that only tells it of its token. */
    public void greeted(String host, long tenure, long tick) {
        List<Effect.SendDirect> there =
                all(Effect.SendDirect.class).stream()
                        .filter(sent -> sent.host().equals(host))
                        .toList();
        Effect.SendDirect sent = there.get(there.size() - 1);
        if (sent.orders().isEmpty()) {
            step(
                    new Command.DirectResult(
                            sent.sendId(), host, 200, message(host, tenure, tick, sent.epoch())));
        }
    }

    /** Nobody answers any of them. */
    public void unanswered() {
        for (Effect.SendDirect sent : all(Effect.SendDirect.class)) {
            // The core passes over those whose outcome it knows.
            step(new Command.DirectResult(sent.sendId(), sent.host(), 0, null));
        }
    }

    /** Time passes, and no direct command is answered. */
    public void passUnanswered(long micros) {
        for (long until = now + micros; now < until; ) {
            pass(Math.min(SECOND, until - now));
            unanswered();
        }
    }

    /**
     * A worker that reports, and answers the greeting that follows; returns the token that it has
     * then.
     */
    public long isUp(String host, long tick) {
        report(message(host, 1, tick, 0));
        long token = last(Effect.SendDirect.class).epoch();
        answered(message(host, 1, tick + 1, token));
        return token;
    }
}
