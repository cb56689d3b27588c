package org.woadloom.http;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.JobStatus;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.reads.CoalescingJobReader;
import org.woadloom.reads.JobLookup;
import org.woadloom.reads.JobReader;
import org.woadloom.reads.UnansweredQueries;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.FinalRecord;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * What users ask, on any node. Whatever a user is told of a job is in the state service before;
 * only final states, which never change, are answered from memory.
 */
public final class JobApi {
    private static final Logger LOG = LoggerFactory.getLogger(JobApi.class);
    private static final int MAX_CANCEL_TRIES = 6;
    private static final long SLOW_MICROS = 500_000;

    /** Users wait 5 s for an answer, and 2 s for that to a poll. */
    private static final long PATIENCE_MICROS = 4_300_000;

    private static final long POLL_PATIENCE_MICROS = 1_600_000;

    /** Hears of jobs that this node made durable. */
    public interface Hint {
        void changed(JobRecord record, long revision);
    }

    /**
     * Whether a user may be told of a cancellation that is in the store, as soon as that is known.
     */
    public interface Confirmation {
        /** The answer is false where that was not known in time: the user asks again. */
        void confirm(String jobId, long patienceMicros, Consumer<Boolean> answer);
    }

    /** Where the machine types come from. */
    public interface Types {
        /** As they were last read, empty while they are unknown. */
        List<MachineType> current();

        /** Reads them from the cloud; false if that does not answer. */
        void refresh(Consumer<Boolean> answered);
    }

    /** How and how large records may be now. */
    public interface Storage {
        RecordFormat format();

        int valueBytes();

        void onFormatSeen(RecordFormat format);
    }

    /**
     * Room that a record needs beside its description, so that some tasks at a time can be placed.
     */
    private static final int PROGRESS_BYTES = 400;

    private final EventLoop loop;
    private final StoreClient store;
    private final Storage storage;
    private final Hint notifier;
    private final Confirmation confirmation;
    private final JobReader reader;
    private final CoalescingJobReader shared;
    private final AdmissionControl admission;
    private final UserWrites writes;
    private final SharedAnswers<JobDescription> submissions = new SharedAnswers<>();
    private final SharedAnswers<String> cancellations = new SharedAnswers<>();
    private final UnansweredQueries unanswered;

    public JobApi(
            EventLoop loop,
            StoreClient store,
            ServiceSettings settings,
            Storage storage,
            Types types,
            Hint hint,
            Confirmation confirmation) {
        this.loop = loop;
        this.store = store;
        this.storage = storage;
        this.notifier = hint;
        this.confirmation = confirmation;
        reader = new JobReader(store, storage::onFormatSeen);
        unanswered = new UnansweredQueries(loop);
        int nodes = settings.peers().size() + 1;
        shared = new CoalescingJobReader(loop, store, reader, settings.store(), nodes);
        admission = new AdmissionControl(loop, settings, types);
        writes = new UserWrites(loop, store, settings.store().rps(), nodes);
    }

    /** Logs what its user had to wait for. */
    private Consumer<Response> logSlow(String what, Consumer<Response> answer) {
        long from = loop.nowMicros();
        return response -> {
            long took = loop.nowMicros() - from;
            if (took > SLOW_MICROS) {
                LOG.info(
                        "event=slow_answer request={} status={} took_ms={}",
                        what,
                        response.status(),
                        took / 1000);
            }
            answer.accept(response);
        };
    }

    public void submit(byte[] body, Consumer<Response> unhurried) {
        Consumer<Response> answer = logSlow("submit", unhurried);
        long until = loop.nowMicros() + PATIENCE_MICROS;
        Map<String, Object> map;
        try {
            map = Cbor.decodeMap(body);
        } catch (MalformedMessageException e) {
            answer.accept(Response.error(400, e.getMessage()));
            return;
        }
        JobDescription job;
        try {
            job = JobDescription.submitted(map);
        } catch (MalformedMessageException e) {
            refuseUnlessKnown(map.get("uid"), Response.error(400, e.getMessage()), until, answer);
            return;
        }
        admission.check(
                job,
                refusal -> {
                    if (refusal != null) {
                        refuseUnlessKnown(job.jobId(), refusal, until, answer);
                    } else if (job.dependencies().isEmpty()) {
                        create(job, until, answer);
                    } else {
                        createWithDependencies(job, until, answer);
                    }
                });
    }

    /** A job that was accepted stays accepted, whatever a repeated request looks like. */
    private void refuseUnlessKnown(
            Object jobId, Response refusal, long until, Consumer<Response> answer) {
        if (!(jobId instanceof String text) || !JobDescription.isJobId(text)) {
            answer.accept(refusal);
            return;
        }
        reader.lookUp(
                text,
                until,
                lookup -> {
                    if (lookup == null) {
                        answer.accept(Response.unavailable("the state service does not answer"));
                    } else if (lookup.status() != null) {
                        answerAccepted(lookup, until, answer);
                    } else {
                        answer.accept(refusal);
                    }
                });
    }

    private void answerAccepted(JobLookup lookup, long until, Consumer<Response> answer) {
        answerWithView(
                CoalescingJobReader.JobView.of(lookup),
                until - loop.nowMicros(),
                () -> answer.accept(Response.of(200, lookup.status().toMap())),
                answer);
    }

    /**
     * A job that waits for others is accepted once the store has told of each of them, as users
     * submit it right after the answer for the ones before. Until every node is known to run this
     * version it can't be: version 1 would start it.
     */
    private void createWithDependencies(JobDescription job, long until, Consumer<Response> answer) {
        for (String before : job.dependencies()) {
            if (!JobDescription.isJobId(before) || before.equals(job.jobId())) {
                refuseUnlessKnown(
                        job.jobId(),
                        Response.error(422, "awaits: " + before + " can't be waited for"),
                        until,
                        answer);
                return;
            }
        }
        if (storage.format() != RecordFormat.COMPACT) {
            refuseUnlessKnown(
                    job.jobId(),
                    Response.unavailable("awaits: not before all nodes run this version"),
                    until,
                    answer);
            return;
        }
        Response[] refusal = {null};
        int[] missing = {job.dependencies().size()};
        for (String before : job.dependencies()) {
            lookFor(
                    before,
                    until,
                    (looked, service) -> {
                        if (!looked && (refusal[0] == null || refusal[0].status() == 422)) {
                            refusal[0] = Response.unavailable("the state service does not answer");
                        } else if (looked && refusal[0] == null && (service == null || service)) {
                            refusal[0] =
                                    Response.error(
                                            422,
                                            "awaits: "
                                                    + before
                                                    + (service == null
                                                            ? " was never accepted"
                                                            : " is a service"));
                        }
                        if (--missing[0] > 0) {
                            return;
                        }
                        if (refusal[0] == null) {
                            create(job, until, answer);
                        } else {
                            refuseUnlessKnown(job.jobId(), refusal[0], until, answer);
                        }
                    });
        }
    }

    private interface Finding {
        /**
         * Whether the store told, and then whether the job is a service; null for one that is not
         * there.
         */
        void found(boolean looked, Boolean service);
    }

    private void lookFor(String jobId, long until, Finding finding) {
        Boolean service = reader.isAcceptedService(jobId);
        if (service != null) {
            finding.found(true, service);
            return;
        }
        reader.lookUp(
                jobId,
                until,
                lookup ->
                        finding.found(
                                lookup != null,
                                lookup == null || lookup.status() == null
                                        ? null
                                        : (Boolean) lookup.isService()));
    }

    /** Users who try again while the first write is queued or under way share it. */
    private void create(JobDescription job, long until, Consumer<Response> answer) {
        submissions.share(
                job,
                loop.nowMicros(),
                until,
                answer,
                early -> createdBefore(job.jobId(), early, until, answer),
                whole -> createOnce(job, until, whole));
    }

    /**
     * What was told of another's submission may be out of date: the job may be cancelled since. It
     * is read again.
     */
    private void createdBefore(
            String jobId, Response early, long until, Consumer<Response> answer) {
        if (early.status() == 503) {
            answer.accept(early);
        } else {
            boolean accepted = early.status() / 100 == 2;
            refuseUnlessKnown(
                    jobId,
                    accepted ? Response.unavailable("the job changed meanwhile") : early,
                    until,
                    answer);
        }
    }

    private void createOnce(JobDescription job, long until, Consumer<Response> answer) {
        if (reader.isAcceptedService(job.jobId()) != null) {
            // A transaction that can only fail would count as a change all the same, and those are
            // scarce.
            refuseUnlessKnown(
                    job.jobId(), Response.unavailable("the job changed meanwhile"), until, answer);
            return;
        }
        JobRecord record = JobRecord.accepted(job, loop.wallMicros());
        RecordFormat format = storage.format();
        Map<String, Object> value = record.toMap(format);
        int spare = format == RecordFormat.COMPACT ? PROGRESS_BYTES : 0;
        if (Cbor.jsonSize(value) + spare > storage.valueBytes()) {
            refuseUnlessKnown(
                    job.jobId(),
                    Response.error(400, "the job's description is too long"),
                    until,
                    answer);
            return;
        }
        writes.write(
                RequestPriority.USER,
                until,
                job.jobId(),
                List.of(
                        new Condition(StoreKeys.job(job.jobId()), 0),
                        new Condition(StoreKeys.finalState(job.jobId()), 0)),
                Change.put(StoreKeys.job(job.jobId()), value),
                reader::lookUpRecord,
                found -> true,
                (result, storeRevision, found) -> {
                    boolean ours = found != null && record.equals(found.record());
                    if (result == Result.OK || ours) {
                        reader.onAccepted(job.jobId(), job.isService());
                        notifier.changed(record, ours ? found.revision() : storeRevision);
                        answer.accept(
                                Response.of(
                                        201, new JobStatus(job.jobId(), "queued", -1, 0).toMap()));
                    } else if (found != null) {
                        answerAccepted(found, until, answer);
                    } else if (result == Result.CONFLICT) {
                        refuseUnlessKnown(
                                job.jobId(),
                                Response.unavailable("the job changed meanwhile"),
                                until,
                                answer);
                    } else if (result == Result.BAD) {
                        refuseUnlessKnown(
                                job.jobId(),
                                Response.error(400, "the job's description is too long"),
                                until,
                                answer);
                    } else {
                        answer.accept(Response.unavailable("the state service does not answer"));
                    }
                });
    }

    public void status(String jobId, Consumer<Response> answer) {
        if (!JobDescription.isJobId(jobId)) {
            answer.accept(Response.error(404, "no such job"));
            return;
        }
        Consumer<CoalescingJobReader.JobView> told =
                shown -> {
                    if (shown == null) {
                        unanswered.onRefused(jobId, !store.isRefusing());
                        answer.accept(Response.unavailable("the state service does not answer"));
                        return;
                    }
                    if (shown.status() == null) {
                        unanswered.onAnswered(jobId);
                        answer.accept(Response.error(404, "no such job"));
                    } else {
                        answerWithView(
                                shown,
                                POLL_PATIENCE_MICROS,
                                () -> {
                                    unanswered.onAnswered(jobId);
                                    answer.accept(Response.of(200, shownMap(shown)));
                                },
                                refused -> {
                                    unanswered.onRefused(jobId, !store.isRefusing());
                                    answer.accept(refused);
                                });
                    }
                };
        if (unanswered.hasPriority(jobId)) {
            reader.lookUp(
                    RequestPriority.USER,
                    jobId,
                    lookup ->
                            told.accept(
                                    lookup == null
                                            ? null
                                            : CoalescingJobReader.JobView.of(lookup)));
        } else {
            shared.read(jobId, told);
        }
    }

    /**
     * For how long the job was asked about in vain for which that is longest, while others were
     * answered.
     */
    public long longestUnansweredMicros() {
        return unanswered.longestMicros();
    }

    /** A job's status, with the jobs that it waits for. */
    private static Map<String, Object> shownMap(CoalescingJobReader.JobView shown) {
        Map<String, Object> map = shown.status().toMap();
        if (!shown.awaits().isEmpty()) {
            map.put("awaits", shown.awaits());
        }
        return map;
    }

    public void cancel(String jobId, Consumer<Response> answer) {
        if (!JobDescription.isJobId(jobId)) {
            answer.accept(Response.error(404, "no such job"));
            return;
        }
        long until = loop.nowMicros() + PATIENCE_MICROS;
        Consumer<Response> told = logSlow("cancel", answer);
        cancellations.share(
                jobId,
                loop.nowMicros(),
                until,
                told,
                early -> cancelledBefore(jobId, early, until, told),
                whole -> cancel(jobId, MAX_CANCEL_TRIES, until, whole));
    }

    /** That it is over is true for ever; that it is unknown may not be true any more. */
    private void cancelledBefore(
            String jobId, Response early, long until, Consumer<Response> answer) {
        if (early.status() == 200 || early.status() == 503) {
            answer.accept(early);
        } else {
            cancel(jobId, MAX_CANCEL_TRIES, until, answer);
        }
    }

    /**
     * Tells a user of a job's status: of a cancellation not before that is safe, and of a job that
     * waits for others not if one of them is cancelled. Its own cancellation is the leader's to
     * write, which may have been without the state service for long, or there may have been none.
     */
    private void answerWithView(
            CoalescingJobReader.JobView shown,
            long patienceMicros,
            Runnable told,
            Consumer<Response> refused) {
        if (shown.status().status().equals("cancelled")) {
            confirmation.confirm(
                    shown.status().jobId(),
                    patienceMicros,
                    may -> {
                        if (may) {
                            told.run();
                        } else {
                            refused.accept(
                                    Response.unavailable(
                                            "the cancellation can't be confirmed yet"));
                        }
                    });
        } else {
            checkNoneCancelled(
                    shown.awaits(),
                    none -> {
                        if (none) {
                            told.run();
                        } else {
                            refused.accept(
                                    Response.unavailable(
                                            "a job before it is cancelled, and so it will be"));
                        }
                    });
        }
    }

    /**
     * Whether the store says of each of these jobs, and of those before them, that it is not
     * cancelled.
     */
    private void checkNoneCancelled(List<String> jobIds, Consumer<Boolean> answer) {
        if (jobIds.isEmpty()) {
            answer.accept(true);
            return;
        }
        int[] missing = {jobIds.size()};
        boolean[] none = {true};
        Consumer<Boolean> one =
                good -> {
                    none[0] &= good;
                    if (--missing[0] == 0) {
                        answer.accept(none[0]);
                    }
                };
        for (String jobId : jobIds) {
            shared.read(
                    jobId,
                    shown -> {
                        if (shown == null
                                || shown.status() != null
                                        && shown.status().status().equals("cancelled")) {
                            one.accept(false);
                        } else {
                            checkNoneCancelled(shown.awaits(), one);
                        }
                    });
        }
    }

    private void answerEnded(JobStatus status, long until, Consumer<Response> answer) {
        answerWithView(
                new CoalescingJobReader.JobView(status, List.of()),
                until - loop.nowMicros(),
                () -> answer.accept(Response.of(200, status.toMap())),
                answer);
    }

    /** Nothing of a record that can't be read can be kept: the final state takes its place. */
    private void cancelDamaged(JobLookup lookup, long until, Consumer<Response> answer) {
        String jobId = lookup.damaged().jobId();
        Consumer<Boolean> end =
                cancelled -> {
                    if (cancelled) {
                        answerEnded(new JobStatus(jobId, "cancelled", -1, 0), until, answer);
                    } else {
                        answer.accept(Response.unavailable("the job could not be cancelled now"));
                    }
                };
        if (lookup.damaged().status().equals("cancelled")) {
            end.accept(true);
            return;
        }
        FinalRecord record = new FinalRecord(jobId, true, 0, loop.wallMicros(), false);
        store.txn(
                RequestPriority.CANCELLATION,
                until,
                List.of(new Condition(StoreKeys.job(jobId), lookup.revision())),
                List.of(
                        Change.put(StoreKeys.finalState(jobId), record.toMap(storage.format())),
                        Change.drop(StoreKeys.job(jobId))),
                (result, storeRevision, failed) -> end.accept(result == Result.OK));
    }

    private void cancel(String jobId, int tries, long until, Consumer<Response> answer) {
        reader.lookUp(jobId, until, lookup -> cancel(jobId, lookup, tries, until, answer));
    }

    private void cancel(
            String jobId, JobLookup lookup, int tries, long until, Consumer<Response> answer) {
        if (lookup == null) {
            answer.accept(Response.unavailable("the job could not be cancelled now"));
        } else if (lookup.status() == null) {
            answer.accept(Response.error(404, "no such job"));
        } else if (lookup.damaged() != null) {
            cancelDamaged(lookup, until, answer);
        } else if (lookup.finalState() != null
                || lookup.record().cancelled()
                || lookup.record().isComplete()) {
            answerEnded(new JobStatus(jobId, lookup.status().status(), -1, 0), until, answer);
        } else if (tries == 0) {
            answer.accept(Response.unavailable("the job could not be cancelled now"));
        } else {
            JobRecord cancelled = lookup.record().withCancellation();
            RecordFormat format =
                    lookup.format() == RecordFormat.COMPACT ? lookup.format() : storage.format();
            // Once the record has another stamp, the write was carried out or never will be.
            writes.write(
                    RequestPriority.CANCELLATION,
                    until,
                    jobId,
                    List.of(new Condition(StoreKeys.job(jobId), lookup.revision())),
                    Change.put(StoreKeys.job(jobId), cancelled.toMap(format)),
                    reader::lookUp,
                    found -> found.status() != null && found.revision() != lookup.revision(),
                    (result, storeRevision, found) -> {
                        if (result == Result.OK) {
                            notifier.changed(cancelled, storeRevision);
                            answerEnded(new JobStatus(jobId, "cancelled", -1, 0), until, answer);
                        } else if (found != null) {
                            if (found.record() != null && found.record().cancelled()) {
                                notifier.changed(found.record(), found.revision());
                            }
                            cancel(jobId, found, tries - 1, until, answer);
                        } else if (result == Result.CONFLICT) {
                            cancel(jobId, tries - 1, until, answer);
                        } else {
                            answer.accept(
                                    Response.unavailable("the job could not be cancelled now"));
                        }
                    });
        }
    }
}
