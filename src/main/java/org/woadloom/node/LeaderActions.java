package org.woadloom.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.agent.AgentClient;
import org.woadloom.cloud.CloudClient;
import org.woadloom.core.LogEntry;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.core.delegation.PeerStatus;
import org.woadloom.core.rollout.Feature;
import org.woadloom.leader.RecordWriter;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.FinalRecord;
import org.woadloom.store.JobRecord;
import org.woadloom.store.MachineRecord;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;
import org.woadloom.store.StoreLimits;

/**
 * What a node does while it leads: loads the records, feeds the core and carries out its effects.
 */
final class LeaderActions {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActions.class);
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
        void answer(SchedulerAction.AnswerHeartbeat answer);
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final CloudClient cloud;
    private final AgentClient agents;
    private final ServiceSettings settings;
    private final StoreLimits limits;
    private final RolloutParticipant rollout;
    private final RolloutActions rolloutDuties;
    private final NodeMetrics metrics;
    private final DelegatedLeaseRenewer delegatedRenewer;
    private final java.util.function.Consumer<String> stepDown;
    private final BiConsumer<String, LeaseDelegation> delegations;
    private EventQueue queue;
    private long term;
    private RecordWriter writer;
    private final Map<Long, ReportAnswer> answers = new HashMap<>();
    private long lastRequestId;
    private double sentWriteRate;
    private long rolloutSentMicros = Long.MIN_VALUE / 2;

    /** Every cancellation that was made before this moment has been read. */
    private long cancellationsReadUpToMicros;

    LeaderActions(
            EventLoop loop,
            StoreClient store,
            CloudClient cloud,
            AgentClient agents,
            ServiceSettings settings,
            StoreLimits limits,
            RolloutParticipant rollout,
            NodeMetrics metrics,
            DelegatedLeaseRenewer care,
            java.util.function.Consumer<String> abdicate,
            BiConsumer<String, LeaseDelegation> warrants) {
        this.loop = loop;
        this.store = store;
        this.cloud = cloud;
        this.agents = agents;
        this.settings = settings;
        this.limits = limits;
        this.rollout = rollout;
        this.metrics = metrics;
        rolloutDuties = new RolloutActions(store, rollout);
        this.delegatedRenewer = care;
        this.stepDown = abdicate;
        this.delegations = warrants;
    }

    void attach(EventQueue commands) {
        queue = commands;
    }

    /** True once the records are read: only then may a report be decided. */
    boolean isReady() {
        return writer != null;
    }

    void start(long newTerm, long leaderRevision) {
        term = newTerm;
        writer = null;
        // The format must be known before the first write.
        rollout.readAgreedVersion(
                RequestPriority.URGENT,
                known ->
                        inTerm(
                                newTerm,
                                () -> {
                                    if (known) {
                                        loadMachines(newTerm, leaderRevision);
                                    } else {
                                        loop.schedule(
                                                RETRY_MICROS,
                                                () ->
                                                        inTerm(
                                                                newTerm,
                                                                () ->
                                                                        start(
                                                                                newTerm,
                                                                                leaderRevision)));
                                    }
                                }));
    }

    /** Tells the core what its records must fit. */
    void sendStoreLimits() {
        sentWriteRate = store.writesPerSecond();
        queue.add(
                new SchedulerEvent.StoreLimitsChanged(
                        rollout.format() == RecordFormat.COMPACT
                                ? limits.valueBytes()
                                : limits.currentValueBytes(),
                        rollout.format(),
                        sentWriteRate,
                        delegatedRenewer.isEnabled(),
                        rollout.isOn(Feature.MACHINE_LIFE)));
    }

    /** Tells the core how the rollout stands, whenever that has changed and once a second. */
    void sendRolloutState() {
        long now = loop.nowMicros();
        if (isReady() && now - rolloutSentMicros >= ROLLOUT_MICROS) {
            rolloutSentMicros = now;
            SchedulerEvent.RolloutStateRead situation = rollout.rolloutState(metrics.restless());
            if (situation != null) {
                queue.add(situation);
            }
        }
    }

    /** What was told of the rollout is out of date. */
    void onRolloutChanged() {
        if (isReady()) {
            sendStoreLimits();
            rolloutSentMicros = Long.MIN_VALUE / 2;
            sendRolloutState();
        }
    }

    void stop() {
        term = 0;
        writer = null;
        // The workers turn to another node at once instead of waiting for an answer.
        List<ReportAnswer> unanswered = new ArrayList<>(answers.values());
        answers.clear();
        unanswered.forEach(answer -> answer.answer(null));
        queue.add(new SchedulerEvent.LeadershipLost());
    }

    /** Every cancellation that was made before this moment has been read. */
    long cancellationsReadUpToMicros() {
        return cancellationsReadUpToMicros;
    }

    /** Users may hear that these jobs are cancelled. */
    void onCancellationsConfirmed(List<String> jobIds) {
        queue.add(new SchedulerEvent.CancellationsConfirmed(jobIds));
    }

    /** A node, this one perhaps, tells how it stands. */
    void onPeerStatus(String node, PeerStatus status) {
        if (isReady()) {
            queue.add(
                    new SchedulerEvent.PeerStatusReceived(
                            node, status, cancellationsReadUpToMicros));
        }
    }

    void onHeartbeat(Heartbeat heartbeat, ReportAnswer answer) {
        long id = ++lastRequestId;
        answers.put(id, answer);
        if (!queue.offer(new SchedulerEvent.HeartbeatReceived(id, heartbeat))) {
            answers.remove(id);
            answer.answer(null);
        }
    }

    private void loadMachines(long ofTerm, long leaderRevision) {
        store.list(
                RequestPriority.URGENT,
                StoreKeys.MACHINES,
                (result, entries, storeRevision) -> {
                    if (term != ofTerm) {
                        return;
                    }
                    if (result != Result.OK) {
                        loop.schedule(
                                RETRY_MICROS,
                                () -> inTerm(ofTerm, () -> loadMachines(ofTerm, leaderRevision)));
                        return;
                    }
                    List<SchedulerEvent.StoredMachine> machines = new ArrayList<>();
                    for (StoreClient.Entry entry : entries) {
                        try {
                            String host = entry.path().substring(StoreKeys.MACHINES.length());
                            machines.add(
                                    new SchedulerEvent.StoredMachine(
                                            MachineRecord.parse(host, entry.value()),
                                            entry.revision()));
                        } catch (MalformedMessageException e) {
                            LOG.error(
                                    "event=record_unreadable key={} error=\"{}\"",
                                    entry.path(),
                                    e.getMessage());
                        }
                    }
                    loadJobs(ofTerm, leaderRevision, machines);
                });
    }

    private void inTerm(long ofTerm, Runnable step) {
        if (term == ofTerm) {
            step.run();
        }
    }

    private void loadJobs(
            long ofTerm, long leaderRevision, List<SchedulerEvent.StoredMachine> machines) {
        long asked = loop.nowMicros();
        store.list(
                RequestPriority.URGENT,
                StoreKeys.JOBS,
                (result, entries, storeRevision) -> {
                    if (term != ofTerm) {
                        return;
                    }
                    if (result != Result.OK) {
                        loop.schedule(
                                RETRY_MICROS,
                                () ->
                                        inTerm(
                                                ofTerm,
                                                () -> loadJobs(ofTerm, leaderRevision, machines)));
                        return;
                    }
                    List<SchedulerEvent.StoredJob> jobs = new ArrayList<>();
                    for (StoreClient.Entry entry : entries) {
                        try {
                            jobs.add(
                                    new SchedulerEvent.StoredJob(
                                            read(entry.value()), entry.revision()));
                        } catch (MalformedMessageException e) {
                            LOG.error(
                                    "event=record_unreadable key={} error=\"{}\"",
                                    entry.path(),
                                    e.getMessage());
                        }
                    }
                    writer =
                            new RecordWriter(
                                    store,
                                    limits,
                                    leaderRevision,
                                    () ->
                                            inTerm(
                                                    ofTerm,
                                                    () ->
                                                            stepDown.accept(
                                                                    "another node took over")));
                    sendStoreLimits();
                    cancellationsReadUpToMicros = asked;
                    queue.add(new SchedulerEvent.LeadershipAcquired(ofTerm, jobs, machines, asked));
                    followJobs(ofTerm, storeRevision);
                    sequence(ofTerm);
                    pollTypes(ofTerm);
                    pollList(ofTerm);
                });
    }

    private void followJobs(long ofTerm, long since) {
        long asked = loop.nowMicros();
        store.watch(
                StoreKeys.JOBS,
                since,
                WATCH_MICROS,
                (result, events, storeRevision) -> {
                    if (term != ofTerm) {
                        return;
                    }
                    if (result == Result.OK) {
                        for (StoreClient.Event event : events) {
                            if (event.value() != null
                                    && !JobRecord.isWrittenInTerm(ofTerm, event.value())) {
                                jobSeen(event.path(), event.value(), event.revision());
                            }
                        }
                        cancellationsReadUpToMicros = asked;
                        followJobs(ofTerm, Math.max(since, storeRevision));
                    } else if (result == Result.NOT_FOUND) {
                        rereadJobs(ofTerm);
                    } else {
                        loop.schedule(
                                RETRY_MICROS,
                                () -> inTerm(ofTerm, () -> followJobs(ofTerm, since)));
                    }
                });
    }

    /** The watch fell too far behind: everything is read again. */
    private void rereadJobs(long ofTerm) {
        store.list(
                RequestPriority.NORMAL,
                StoreKeys.JOBS,
                (result, entries, storeRevision) -> {
                    if (term != ofTerm) {
                        return;
                    }
                    if (result != Result.OK) {
                        loop.schedule(RETRY_MICROS, () -> inTerm(ofTerm, () -> rereadJobs(ofTerm)));
                        return;
                    }
                    for (StoreClient.Entry entry : entries) {
                        jobSeen(entry.path(), entry.value(), entry.revision());
                    }
                    followJobs(ofTerm, storeRevision);
                });
    }

    private JobRecord read(Map<String, Object> value) throws MalformedMessageException {
        rollout.onFormatSeen(JobRecord.formatOf(value));
        return JobRecord.parse(value);
    }

    private void jobSeen(String path, Map<String, Object> value, long revision) {
        try {
            queue.add(new SchedulerEvent.JobStored(read(value), revision));
        } catch (MalformedMessageException e) {
            LOG.error("event=record_unreadable key={} error=\"{}\"", path, e.getMessage());
            String jobId = path.substring(StoreKeys.JOBS.length());
            queue.add(
                    JobRecord.isOfLaterVersion(value)
                            ? new SchedulerEvent.JobReadFailed(jobId)
                            : new SchedulerEvent.JobRecordDamaged(
                                    jobId,
                                    revision,
                                    value != null && Boolean.TRUE.equals(value.get("cancelled"))));
        }
    }

    private void sequence(long ofTerm) {
        loop.schedule(
                TICK_MICROS,
                () ->
                        inTerm(
                                ofTerm,
                                () -> {
                                    if (Math.abs(store.writesPerSecond() - sentWriteRate)
                                            > sentWriteRate * NOTABLE) {
                                        sendStoreLimits();
                                    }
                                    queue.add(new SchedulerEvent.Tick());
                                    sendRolloutState();
                                    sequence(ofTerm);
                                }));
    }

    private void pollTypes(long ofTerm) {
        cloud.types(
                types ->
                        inTerm(
                                ofTerm,
                                () -> {
                                    if (types != null) {
                                        queue.add(new SchedulerEvent.MachineTypesRead(types));
                                    }
                                    loop.schedule(
                                            types == null ? 3_000_000 : 60_000_000,
                                            () -> inTerm(ofTerm, () -> pollTypes(ofTerm)));
                                }));
    }

    private void pollList(long ofTerm) {
        cloud.list(
                machines ->
                        inTerm(
                                ofTerm,
                                () -> {
                                    if (machines != null) {
                                        queue.add(new SchedulerEvent.MachinesListed(machines));
                                    }
                                    long pause =
                                            Math.max(
                                                    MIN_LIST_MICROS,
                                                    settings.cloud().listLagMicros() / 2);
                                    loop.schedule(
                                            pause, () -> inTerm(ofTerm, () -> pollList(ofTerm)));
                                }));
    }

    void execute(List<SchedulerAction> actions) {
        for (SchedulerAction action : actions) {
            if (writer == null) {
                return;
            }
            execute(action);
        }
        if (writer != null) {
            writer.flush();
        }
    }

    private void execute(SchedulerAction action) {
        if (action instanceof SchedulerAction.AnswerHeartbeat answer) {
            ReportAnswer waiting = answers.remove(answer.requestId());
            if (waiting != null) {
                waiting.answer(answer);
            }
        } else if (action instanceof SchedulerAction.RejectHeartbeat away) {
            ReportAnswer waiting = answers.remove(away.requestId());
            if (waiting != null) {
                waiting.answer(null);
            }
        } else if (action instanceof SchedulerAction.SendDirectCommand send) {
            long ofTerm = term;
            agents.send(send, result -> inTerm(ofTerm, () -> queue.add(result)));
        } else if (action instanceof SchedulerAction.WriteJob put) {
            putJob(put);
        } else if (action instanceof SchedulerAction.WriteFinalState finish) {
            finishJob(finish);
        } else if (action instanceof SchedulerAction.ReadJob read) {
            readJob(read.jobId());
        } else if (action instanceof SchedulerAction.ResolveDependency find) {
            findJob(find.jobId());
        } else if (action instanceof SchedulerAction.WriteMachine put) {
            putMachine(put);
        } else if (action instanceof SchedulerAction.DeleteMachineRecord drop) {
            dropMachine(drop);
        } else if (action instanceof SchedulerAction.ReadMachine read) {
            readMachine(read.host());
        } else if (action instanceof SchedulerAction.RentMachines rent) {
            long ofTerm = term;
            cloud.rent(
                    rent,
                    (outcome, hosts) ->
                            inTerm(
                                    ofTerm,
                                    () ->
                                            queue.add(
                                                    new SchedulerEvent.ScaleOutCompleted(
                                                            rent.requestName(), outcome, hosts))));
        } else if (action instanceof SchedulerAction.DeleteMachines delete) {
            long ofTerm = term;
            cloud.delete(
                    delete.hosts(),
                    done ->
                            inTerm(
                                    ofTerm,
                                    () ->
                                            queue.add(
                                                    new SchedulerEvent.MachineDeletionCompleted(
                                                            delete.hosts(), done))));
        } else if (action instanceof SchedulerAction.WriteRollout put) {
            long ofTerm = term;
            rolloutDuties.put(put, writer, outcome -> inTerm(ofTerm, () -> queue.add(outcome)));
        } else if (action instanceof SchedulerAction.CountRecords count) {
            long ofTerm = term;
            rolloutDuties.count(count, outcome -> inTerm(ofTerm, () -> queue.add(outcome)));
        } else if (action instanceof SchedulerAction.DelegateLeases give) {
            delegations.accept(give.node(), give.delegation());
        } else if (action instanceof SchedulerAction.StepDown away) {
            stepDown.accept(away.reason());
        } else if (action instanceof SchedulerAction.Log note) {
            log(note.entry());
        }
    }

    private static void log(LogEntry entry) {
        switch (entry.level()) {
            case DEBUG -> LOG.debug("{}", entry);
            case INFO -> LOG.info("{}", entry);
        }
    }

    private void putJob(SchedulerAction.WriteJob put) {
        String jobId = put.record().description().jobId();
        Map<String, Object> value = put.record().toMap(rollout.format());
        RecordWriter.Outcome outcome = jobWritten(jobId, put.record().version());
        if (Cbor.jsonSize(value) > limits.currentValueBytes()) {
            outcome.onWritten(SchedulerEvent.WriteOutcome.TOO_LARGE, 0);
        } else {
            writer.add(
                    put.urgent(),
                    RecordWriter.put(StoreKeys.job(jobId), value, put.revision(), outcome));
        }
    }

    private void finishJob(SchedulerAction.WriteFinalState finish) {
        String jobId = finish.record().jobId();
        writer.add(
                true,
                new RecordWriter.Write(
                        List.of(new Condition(StoreKeys.job(jobId), finish.revision())),
                        List.of(
                                Change.put(
                                        StoreKeys.finalState(jobId),
                                        finish.record().toMap(rollout.format())),
                                Change.drop(StoreKeys.job(jobId))),
                        jobWritten(jobId, finish.version())));
    }

    private RecordWriter.Outcome jobWritten(String jobId, long version) {
        long ofTerm = term;
        return (outcome, revision) ->
                inTerm(
                        ofTerm,
                        () -> {
                            if (outcome == SchedulerEvent.WriteOutcome.TOO_LARGE) {
                                // A limit may have been learned from it.
                                sendStoreLimits();
                            }
                            queue.add(
                                    new SchedulerEvent.JobWriteCompleted(
                                            jobId, version, outcome, revision));
                        });
    }

    /**
     * What the store says of a job: its record first, as it moves from there to its final state in
     * one transaction.
     */
    private void findJob(String jobId) {
        long ofTerm = term;
        store.get(
                RequestPriority.URGENT,
                StoreKeys.job(jobId),
                (result, entry, storeRevision) ->
                        inTerm(
                                ofTerm,
                                () -> {
                                    if (result == Result.OK) {
                                        jobSeen(entry.path(), entry.value(), entry.revision());
                                        queue.add(
                                                new SchedulerEvent.DependencyResolved(
                                                        jobId,
                                                        SchedulerEvent.DependencyState.OPEN,
                                                        0));
                                    } else if (result == Result.NOT_FOUND) {
                                        store.get(
                                                RequestPriority.URGENT,
                                                StoreKeys.finalState(jobId),
                                                (read, found, at) ->
                                                        inTerm(
                                                                ofTerm,
                                                                () ->
                                                                        queue.add(
                                                                                standing(
                                                                                        jobId, read,
                                                                                        found))));
                                    } else {
                                        queue.add(
                                                new SchedulerEvent.DependencyResolved(
                                                        jobId,
                                                        SchedulerEvent.DependencyState.UNREADABLE,
                                                        0));
                                    }
                                }));
    }

    private static SchedulerEvent.DependencyResolved standing(
            String jobId, Result result, StoreClient.Entry entry) {
        if (result == Result.NOT_FOUND) {
            LOG.error("event=dependency_not_found job={}", jobId);
            return new SchedulerEvent.DependencyResolved(
                    jobId, SchedulerEvent.DependencyState.NOT_FOUND, 0);
        }
        try {
            if (result == Result.OK) {
                FinalRecord record = FinalRecord.parse(jobId, entry.value());
                return new SchedulerEvent.DependencyResolved(
                        jobId,
                        record.cancelled()
                                ? SchedulerEvent.DependencyState.CANCELLED
                                : SchedulerEvent.DependencyState.DONE,
                        record.wallMicros());
            }
        } catch (MalformedMessageException e) {
            LOG.error("event=record_unreadable key={} error=\"{}\"", entry.path(), e.getMessage());
        }
        return new SchedulerEvent.DependencyResolved(
                jobId, SchedulerEvent.DependencyState.UNREADABLE, 0);
    }

    private void readJob(String jobId) {
        long ofTerm = term;
        store.get(
                RequestPriority.URGENT,
                StoreKeys.job(jobId),
                (result, entry, storeRevision) ->
                        inTerm(
                                ofTerm,
                                () -> {
                                    if (result == Result.OK) {
                                        jobSeen(entry.path(), entry.value(), entry.revision());
                                    } else if (result == Result.NOT_FOUND) {
                                        queue.add(new SchedulerEvent.JobRecordNotFound(jobId));
                                    } else {
                                        queue.add(new SchedulerEvent.JobReadFailed(jobId));
                                    }
                                }));
    }

    private void putMachine(SchedulerAction.WriteMachine put) {
        long ofTerm = term;
        String host = put.record().host();
        writer.add(
                true,
                RecordWriter.put(
                        StoreKeys.machine(host),
                        put.record().toMap(),
                        put.revision(),
                        (outcome, revision) ->
                                inTerm(
                                        ofTerm,
                                        () ->
                                                queue.add(
                                                        new SchedulerEvent.MachineWriteCompleted(
                                                                host,
                                                                put.record().decommissioning(),
                                                                false,
                                                                outcome,
                                                                revision)))));
    }

    private void dropMachine(SchedulerAction.DeleteMachineRecord drop) {
        long ofTerm = term;
        writer.add(
                false,
                new RecordWriter.Write(
                        List.of(new Condition(StoreKeys.machine(drop.host()), drop.revision())),
                        List.of(Change.drop(StoreKeys.machine(drop.host()))),
                        (outcome, revision) ->
                                inTerm(
                                        ofTerm,
                                        () ->
                                                queue.add(
                                                        new SchedulerEvent.MachineWriteCompleted(
                                                                drop.host(),
                                                                true,
                                                                true,
                                                                outcome,
                                                                revision)))));
    }

    private void readMachine(String host) {
        long ofTerm = term;
        store.get(
                RequestPriority.NORMAL,
                StoreKeys.machine(host),
                (result, entry, storeRevision) ->
                        inTerm(
                                ofTerm,
                                () -> {
                                    try {
                                        if (result == Result.OK) {
                                            queue.add(
                                                    new SchedulerEvent.MachineRecordRead(
                                                            host,
                                                            MachineRecord.parse(
                                                                    host, entry.value()),
                                                            entry.revision()));
                                        } else if (result == Result.NOT_FOUND) {
                                            queue.add(
                                                    new SchedulerEvent.MachineRecordRead(
                                                            host, null, 0));
                                        } else {
                                            queue.add(new SchedulerEvent.MachineReadFailed(host));
                                        }
                                    } catch (MalformedMessageException e) {
                                        queue.add(new SchedulerEvent.MachineReadFailed(host));
                                    }
                                }));
    }
}
