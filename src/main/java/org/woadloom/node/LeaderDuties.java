package org.woadloom.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.cloud.CloudClient;
import org.woadloom.core.Command;
import org.woadloom.core.Effect;
import org.woadloom.core.LogEntry;
import org.woadloom.core.care.NodeStanding;
import org.woadloom.core.care.Warrant;
import org.woadloom.core.rollout.Feature;
import org.woadloom.leader.RecordWriter;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.net.Loop;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.state.FinalRecord;
import org.woadloom.state.JobRecord;
import org.woadloom.state.Keys;
import org.woadloom.state.Limits;
import org.woadloom.state.MachineRecord;
import org.woadloom.state.RecordFormat;
import org.woadloom.state.StateClient;
import org.woadloom.state.StateClient.Change;
import org.woadloom.state.StateClient.Condition;
import org.woadloom.state.StateClient.Result;
import org.woadloom.state.StateClient.Urgency;
import org.woadloom.wire.Cbor;
import org.woadloom.wire.WireException;
import org.woadloom.wire.WorkerReport;
import org.woadloom.worker.WorkerClient;

/**
 * What a node does while it leads: loads the records, feeds the core and carries out its effects.
 */
final class LeaderDuties {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderDuties.class);
    private static final long TICK_MICROS = 100_000;
    private static final long RETRY_MICROS = 300_000;

    /** Short, as an answer that gets lost hides cancellations until the watch is opened again. */
    private static final long WATCH_MICROS = 4_000_000;

    /** A change of the rate by such a part is worth telling. */
    private static final double NOTABLE = 0.05;

    private static final long ROLLOUT_MICROS = 1_000_000;
    private static final long MIN_LIST_MICROS = 2_000_000;

    /** Takes the answer to a worker's report. */
    interface ReportAnswer {
        void answer(Effect.Answer answer);
    }

    private final Loop loop;
    private final StateClient state;
    private final CloudClient cloud;
    private final WorkerClient workers;
    private final ServiceSettings settings;
    private final Limits limits;
    private final Rollout rollout;
    private final RolloutDuties rolloutDuties;
    private final NodeMetrics metrics;
    private final Care care;
    private final java.util.function.Consumer<String> abdicate;
    private final BiConsumer<String, Warrant> warrants;
    private CommandQueue queue;
    private long term;
    private RecordWriter writer;
    private final Map<Long, ReportAnswer> answers = new HashMap<>();
    private long replies;
    private double toldWrites;
    private long toldRolloutMicros = Long.MIN_VALUE / 2;

    /** Every cancellation that was made before this moment has been read. */
    private long cancellationsSeenMicros;

    LeaderDuties(
            Loop loop,
            StateClient state,
            CloudClient cloud,
            WorkerClient workers,
            ServiceSettings settings,
            Limits limits,
            Rollout rollout,
            NodeMetrics metrics,
            Care care,
            java.util.function.Consumer<String> abdicate,
            BiConsumer<String, Warrant> warrants) {
        this.loop = loop;
        this.state = state;
        this.cloud = cloud;
        this.workers = workers;
        this.settings = settings;
        this.limits = limits;
        this.rollout = rollout;
        this.metrics = metrics;
        rolloutDuties = new RolloutDuties(state, rollout);
        this.care = care;
        this.abdicate = abdicate;
        this.warrants = warrants;
    }

    void attach(CommandQueue commands) {
        queue = commands;
    }

    /** True once the records are read: only then may a report be decided. */
    boolean ready() {
        return writer != null;
    }

    void begin(long newTerm, long leaderStamp) {
        term = newTerm;
        writer = null;
        // The format must be known before the first write.
        rollout.look(
                Urgency.URGENT,
                known ->
                        again(
                                newTerm,
                                () -> {
                                    if (known) {
                                        loadMachines(newTerm, leaderStamp);
                                    } else {
                                        loop.schedule(
                                                RETRY_MICROS,
                                                () ->
                                                        again(
                                                                newTerm,
                                                                () -> begin(newTerm, leaderStamp)));
                                    }
                                }));
    }

    /** Tells the core what its records must fit. */
    void tellStorage() {
        toldWrites = state.writesPerSecond();
        queue.add(
                new Command.StorageSeen(
                        rollout.format() == RecordFormat.COMPACT
                                ? limits.valueBytes()
                                : limits.valueBytesNow(),
                        rollout.format(),
                        toldWrites,
                        care.allowed(),
                        rollout.on(Feature.MACHINE_LIFE)));
    }

    /** Tells the core how the rollout stands, whenever that has changed and once a second. */
    void tellRollout() {
        long now = loop.nowMicros();
        if (ready() && now - toldRolloutMicros >= ROLLOUT_MICROS) {
            toldRolloutMicros = now;
            Command.RolloutSeen situation = rollout.situation(metrics.restless());
            if (situation != null) {
                queue.add(situation);
            }
        }
    }

    /** What was told of the rollout is out of date. */
    void rolloutChanged() {
        if (ready()) {
            tellStorage();
            toldRolloutMicros = Long.MIN_VALUE / 2;
            tellRollout();
        }
    }

    void end() {
        term = 0;
        writer = null;
        // The workers turn to another node at once instead of waiting for an answer.
        List<ReportAnswer> unanswered = new ArrayList<>(answers.values());
        answers.clear();
        unanswered.forEach(answer -> answer.answer(null));
        queue.add(new Command.StepDown());
    }

    /** Every cancellation that was made before this moment has been read. */
    long cancellationsSeenMicros() {
        return cancellationsSeenMicros;
    }

    /** Users may hear that these jobs are cancelled. */
    void cancellationsTold(List<String> uids) {
        queue.add(new Command.CancellationsTold(uids));
    }

    /** A node, this one perhaps, tells how it stands. */
    void nodeSpoke(String node, NodeStanding standing) {
        if (ready()) {
            queue.add(new Command.NodeSpoke(node, standing, cancellationsSeenMicros));
        }
    }

    void report(WorkerReport report, ReportAnswer answer) {
        long id = ++replies;
        answers.put(id, answer);
        if (!queue.offer(new Command.Report(id, report))) {
            answers.remove(id);
            answer.answer(null);
        }
    }

    private void loadMachines(long ofTerm, long leaderStamp) {
        state.list(
                Urgency.URGENT,
                Keys.MACHINES,
                (result, entries, generation) -> {
                    if (term != ofTerm) {
                        return;
                    }
                    if (result != Result.OK) {
                        loop.schedule(
                                RETRY_MICROS,
                                () -> again(ofTerm, () -> loadMachines(ofTerm, leaderStamp)));
                        return;
                    }
                    List<Command.StoredMachine> machines = new ArrayList<>();
                    for (StateClient.Entry entry : entries) {
                        try {
                            String host = entry.path().substring(Keys.MACHINES.length());
                            machines.add(
                                    new Command.StoredMachine(
                                            MachineRecord.parse(host, entry.value()),
                                            entry.stamp()));
                        } catch (WireException e) {
                            LOG.error(
                                    "event=record_unreadable key={} error=\"{}\"",
                                    entry.path(),
                                    e.getMessage());
                        }
                    }
                    loadJobs(ofTerm, leaderStamp, machines);
                });
    }

    private void again(long ofTerm, Runnable step) {
        if (term == ofTerm) {
            step.run();
        }
    }

    private void loadJobs(long ofTerm, long leaderStamp, List<Command.StoredMachine> machines) {
        long asked = loop.nowMicros();
        state.list(
                Urgency.URGENT,
                Keys.JOBS,
                (result, entries, generation) -> {
                    if (term != ofTerm) {
                        return;
                    }
                    if (result != Result.OK) {
                        loop.schedule(
                                RETRY_MICROS,
                                () -> again(ofTerm, () -> loadJobs(ofTerm, leaderStamp, machines)));
                        return;
                    }
                    List<Command.StoredJob> jobs = new ArrayList<>();
                    for (StateClient.Entry entry : entries) {
                        try {
                            jobs.add(new Command.StoredJob(read(entry.value()), entry.stamp()));
                        } catch (WireException e) {
                            LOG.error(
                                    "event=record_unreadable key={} error=\"{}\"",
                                    entry.path(),
                                    e.getMessage());
                        }
                    }
                    writer =
                            new RecordWriter(
                                    state,
                                    limits,
                                    leaderStamp,
                                    () ->
                                            again(
                                                    ofTerm,
                                                    () ->
                                                            abdicate.accept(
                                                                    "another node took over")));
                    tellStorage();
                    cancellationsSeenMicros = asked;
                    queue.add(new Command.Lead(ofTerm, jobs, machines, asked));
                    followJobs(ofTerm, generation);
                    tick(ofTerm);
                    pollTypes(ofTerm);
                    pollList(ofTerm);
                });
    }

    private void followJobs(long ofTerm, long since) {
        long asked = loop.nowMicros();
        state.follow(
                Keys.JOBS,
                since,
                WATCH_MICROS,
                (result, events, generation) -> {
                    if (term != ofTerm) {
                        return;
                    }
                    if (result == Result.OK) {
                        for (StateClient.Event event : events) {
                            if (event.value() != null
                                    && !JobRecord.writtenIn(ofTerm, event.value())) {
                                jobSeen(event.path(), event.value(), event.stamp());
                            }
                        }
                        cancellationsSeenMicros = asked;
                        followJobs(ofTerm, Math.max(since, generation));
                    } else if (result == Result.NOT_FOUND) {
                        rereadJobs(ofTerm);
                    } else {
                        loop.schedule(
                                RETRY_MICROS, () -> again(ofTerm, () -> followJobs(ofTerm, since)));
                    }
                });
    }

    /** The watch fell too far behind: everything is read again. */
    private void rereadJobs(long ofTerm) {
        state.list(
                Urgency.NORMAL,
                Keys.JOBS,
                (result, entries, generation) -> {
                    if (term != ofTerm) {
                        return;
                    }
                    if (result != Result.OK) {
                        loop.schedule(RETRY_MICROS, () -> again(ofTerm, () -> rereadJobs(ofTerm)));
                        return;
                    }
                    for (StateClient.Entry entry : entries) {
                        jobSeen(entry.path(), entry.value(), entry.stamp());
                    }
                    followJobs(ofTerm, generation);
                });
    }

    private JobRecord read(Map<String, Object> value) throws WireException {
        rollout.seen(JobRecord.formatOf(value));
        return JobRecord.parse(value);
    }

    private void jobSeen(String path, Map<String, Object> value, long stamp) {
        try {
            queue.add(new Command.JobSeen(read(value), stamp));
        } catch (WireException e) {
            LOG.error("event=record_unreadable key={} error=\"{}\"", path, e.getMessage());
            String uid = path.substring(Keys.JOBS.length());
            queue.add(
                    JobRecord.ofLaterVersion(value)
                            ? new Command.JobUnreadable(uid)
                            : new Command.JobUnread(
                                    uid,
                                    stamp,
                                    value != null && Boolean.TRUE.equals(value.get("cancelled"))));
        }
    }

    private void tick(long ofTerm) {
        loop.schedule(
                TICK_MICROS,
                () ->
                        again(
                                ofTerm,
                                () -> {
                                    if (Math.abs(state.writesPerSecond() - toldWrites)
                                            > toldWrites * NOTABLE) {
                                        tellStorage();
                                    }
                                    queue.add(new Command.Tick());
                                    tellRollout();
                                    tick(ofTerm);
                                }));
    }

    private void pollTypes(long ofTerm) {
        cloud.types(
                types ->
                        again(
                                ofTerm,
                                () -> {
                                    if (types != null) {
                                        queue.add(new Command.TypesSeen(types));
                                    }
                                    loop.schedule(
                                            types == null ? 3_000_000 : 60_000_000,
                                            () -> again(ofTerm, () -> pollTypes(ofTerm)));
                                }));
    }

    private void pollList(long ofTerm) {
        cloud.list(
                machines ->
                        again(
                                ofTerm,
                                () -> {
                                    if (machines != null) {
                                        queue.add(new Command.MachinesListed(machines));
                                    }
                                    long pause =
                                            Math.max(
                                                    MIN_LIST_MICROS,
                                                    settings.cloud().listLagMicros() / 2);
                                    loop.schedule(
                                            pause, () -> again(ofTerm, () -> pollList(ofTerm)));
                                }));
    }

    void execute(List<Effect> effects) {
        for (Effect effect : effects) {
            if (writer == null) {
                return;
            }
            execute(effect);
        }
        if (writer != null) {
            writer.flush();
        }
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.Answer answer) {
            ReportAnswer waiting = answers.remove(answer.replyId());
            if (waiting != null) {
                waiting.answer(answer);
            }
        } else if (effect instanceof Effect.TurnAway away) {
            ReportAnswer waiting = answers.remove(away.replyId());
            if (waiting != null) {
                waiting.answer(null);
            }
        } else if (effect instanceof Effect.SendDirect send) {
            long ofTerm = term;
            workers.send(send, result -> again(ofTerm, () -> queue.add(result)));
        } else if (effect instanceof Effect.PutJob put) {
            putJob(put);
        } else if (effect instanceof Effect.FinishJob finish) {
            finishJob(finish);
        } else if (effect instanceof Effect.ReadJob read) {
            readJob(read.uid());
        } else if (effect instanceof Effect.FindJob find) {
            findJob(find.uid());
        } else if (effect instanceof Effect.PutMachine put) {
            putMachine(put);
        } else if (effect instanceof Effect.DropMachine drop) {
            dropMachine(drop);
        } else if (effect instanceof Effect.ReadMachine read) {
            readMachine(read.host());
        } else if (effect instanceof Effect.Rent rent) {
            long ofTerm = term;
            cloud.rent(
                    rent,
                    (outcome, hosts) ->
                            again(
                                    ofTerm,
                                    () ->
                                            queue.add(
                                                    new Command.Rented(
                                                            rent.claim(), outcome, hosts))));
        } else if (effect instanceof Effect.Delete delete) {
            long ofTerm = term;
            cloud.delete(
                    delete.hosts(),
                    done ->
                            again(
                                    ofTerm,
                                    () -> queue.add(new Command.Deleted(delete.hosts(), done))));
        } else if (effect instanceof Effect.PutRollout put) {
            long ofTerm = term;
            rolloutDuties.put(put, writer, outcome -> again(ofTerm, () -> queue.add(outcome)));
        } else if (effect instanceof Effect.CountRecords count) {
            long ofTerm = term;
            rolloutDuties.count(count, outcome -> again(ofTerm, () -> queue.add(outcome)));
        } else if (effect instanceof Effect.GiveWarrant give) {
            warrants.accept(give.node(), give.warrant());
        } else if (effect instanceof Effect.Abdicate away) {
            abdicate.accept(away.reason());
        } else if (effect instanceof Effect.Note note) {
            log(note.entry());
        }
    }

    private static void log(LogEntry entry) {
        switch (entry.level()) {
            case DEBUG -> LOG.debug("{}", entry);
            case INFO -> LOG.info("{}", entry);
        }
    }

    private void putJob(Effect.PutJob put) {
        String uid = put.record().description().uid();
        Map<String, Object> value = put.record().toMap(rollout.format());
        RecordWriter.Outcome outcome = jobWritten(uid, put.record().version());
        if (Cbor.jsonSize(value) > limits.valueBytesNow()) {
            outcome.written(Command.WriteOutcome.TOO_LARGE, 0);
        } else {
            writer.add(put.urgent(), RecordWriter.put(Keys.job(uid), value, put.stamp(), outcome));
        }
    }

    private void finishJob(Effect.FinishJob finish) {
        String uid = finish.record().uid();
        writer.add(
                true,
                new RecordWriter.Write(
                        List.of(new Condition(Keys.job(uid), finish.stamp())),
                        List.of(
                                Change.put(
                                        Keys.finalState(uid),
                                        finish.record().toMap(rollout.format())),
                                Change.drop(Keys.job(uid))),
                        jobWritten(uid, finish.version())));
    }

    private RecordWriter.Outcome jobWritten(String uid, long version) {
        long ofTerm = term;
        return (outcome, stamp) ->
                again(
                        ofTerm,
                        () -> {
                            if (outcome == Command.WriteOutcome.TOO_LARGE) {
                                // A limit may have been learned from it.
                                tellStorage();
                            }
                            queue.add(new Command.JobWritten(uid, version, outcome, stamp));
                        });
    }

    /**
     * What the store says of a job: its record first, as it moves from there to its final state in
     * one transaction.
     */
    private void findJob(String uid) {
        long ofTerm = term;
        state.get(
                Urgency.URGENT,
                Keys.job(uid),
                (result, entry, generation) ->
                        again(
                                ofTerm,
                                () -> {
                                    if (result == Result.OK) {
                                        jobSeen(entry.path(), entry.value(), entry.stamp());
                                        queue.add(
                                                new Command.JobFound(
                                                        uid, Command.Standing.OPEN, 0));
                                    } else if (result == Result.NOT_FOUND) {
                                        state.get(
                                                Urgency.URGENT,
                                                Keys.finalState(uid),
                                                (read, found, at) ->
                                                        again(
                                                                ofTerm,
                                                                () ->
                                                                        queue.add(
                                                                                standing(
                                                                                        uid, read,
                                                                                        found))));
                                    } else {
                                        queue.add(
                                                new Command.JobFound(
                                                        uid, Command.Standing.UNREADABLE, 0));
                                    }
                                }));
    }

    private static Command.JobFound standing(String uid, Result result, StateClient.Entry entry) {
        if (result == Result.NOT_FOUND) {
            LOG.error("event=dependency_not_found job={}", uid);
            return new Command.JobFound(uid, Command.Standing.NOT_FOUND, 0);
        }
        try {
            if (result == Result.OK) {
                FinalRecord record = FinalRecord.parse(uid, entry.value());
                return new Command.JobFound(
                        uid,
                        record.cancelled() ? Command.Standing.CANCELLED : Command.Standing.DONE,
                        record.wallMicros());
            }
        } catch (WireException e) {
            LOG.error("event=record_unreadable key={} error=\"{}\"", entry.path(), e.getMessage());
        }
        return new Command.JobFound(uid, Command.Standing.UNREADABLE, 0);
    }

    private void readJob(String uid) {
        long ofTerm = term;
        state.get(
                Urgency.URGENT,
                Keys.job(uid),
                (result, entry, generation) ->
                        again(
                                ofTerm,
                                () -> {
                                    if (result == Result.OK) {
                                        jobSeen(entry.path(), entry.value(), entry.stamp());
                                    } else if (result == Result.NOT_FOUND) {
                                        queue.add(new Command.JobMissing(uid));
                                    } else {
                                        queue.add(new Command.JobUnreadable(uid));
                                    }
                                }));
    }

    private void putMachine(Effect.PutMachine put) {
        long ofTerm = term;
        String host = put.record().host();
        writer.add(
                true,
                RecordWriter.put(
                        Keys.machine(host),
                        put.record().toMap(),
                        put.stamp(),
                        (outcome, stamp) ->
                                again(
                                        ofTerm,
                                        () ->
                                                queue.add(
                                                        new Command.MachineWritten(
                                                                host,
                                                                put.record().leaving(),
                                                                false,
                                                                outcome,
                                                                stamp)))));
    }

    private void dropMachine(Effect.DropMachine drop) {
        long ofTerm = term;
        writer.add(
                false,
                new RecordWriter.Write(
                        List.of(new Condition(Keys.machine(drop.host()), drop.stamp())),
                        List.of(Change.drop(Keys.machine(drop.host()))),
                        (outcome, stamp) ->
                                again(
                                        ofTerm,
                                        () ->
                                                queue.add(
                                                        new Command.MachineWritten(
                                                                drop.host(),
                                                                true,
                                                                true,
                                                                outcome,
                                                                stamp)))));
    }

    private void readMachine(String host) {
        long ofTerm = term;
        state.get(
                Urgency.NORMAL,
                Keys.machine(host),
                (result, entry, generation) ->
                        again(
                                ofTerm,
                                () -> {
                                    try {
                                        if (result == Result.OK) {
                                            queue.add(
                                                    new Command.MachineSeen(
                                                            host,
                                                            MachineRecord.parse(
                                                                    host, entry.value()),
                                                            entry.stamp()));
                                        } else if (result == Result.NOT_FOUND) {
                                            queue.add(new Command.MachineSeen(host, null, 0));
                                        } else {
                                            queue.add(new Command.MachineUnreadable(host));
                                        }
                                    } catch (WireException e) {
                                        queue.add(new Command.MachineUnreadable(host));
                                    }
                                }));
    }
}
