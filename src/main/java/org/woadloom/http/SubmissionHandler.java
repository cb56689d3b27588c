package org.woadloom.http;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.JobStatus;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.reads.CoalescingJobReader;
import org.woadloom.reads.JobLookup;
import org.woadloom.reads.JobReader;
import org.woadloom.reads.JobView;
import org.woadloom.reads.QueryResult;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * Accepts submitted jobs. Submissions are idempotent: a job that was accepted stays accepted, even
 * if a repeated request is invalid, so a submission is refused only after a read of the store has
 * shown that the job is unknown.
 */
final class SubmissionHandler {
    /**
     * The space in bytes that a compact record must have left beside the job's description, so that
     * at least some tasks at a time can be placed.
     */
    private static final int RESERVED_PROGRESS_BYTES = 400;

    private static final Refusal DESCRIPTION_TOO_LONG =
            Refusal.invalid("the job description exceeds the size limit of the store");

    private final EventLoop loop;
    private final JobApi.RecordPolicy recordPolicy;
    private final JobReader reader;
    private final CoalescingJobReader sharedReader;
    private final AdmissionControl admission;
    private final DependencyValidator dependencies;
    private final StatusConfirmer confirmer;
    private final UserWrites writes;
    private final JobApi.JobChangeListener changeListener;
    private final RequestCoalescer<JobDescription, JobAnswer> submissions =
            new RequestCoalescer<>();

    SubmissionHandler(
            EventLoop loop,
            JobApi.RecordPolicy recordPolicy,
            JobReader reader,
            CoalescingJobReader sharedReader,
            AdmissionControl admission,
            StatusConfirmer confirmer,
            UserWrites writes,
            JobApi.JobChangeListener changeListener) {
        this.loop = loop;
        this.recordPolicy = recordPolicy;
        this.reader = reader;
        this.sharedReader = sharedReader;
        this.admission = admission;
        this.confirmer = confirmer;
        this.writes = writes;
        this.changeListener = changeListener;
        dependencies = new DependencyValidator(reader, sharedReader, recordPolicy);
    }

    void submit(byte[] body, Consumer<JobAnswer> answer) {
        long deadlineMicros = loop.nowMicros() + JobApi.ANSWER_TIMEOUT_MICROS;
        Map<String, Object> fields;
        try {
            fields = Cbor.decodeMap(body, JobDescription.KNOWN_FIELDS);
        } catch (MalformedMessageException e) {
            answer.accept(Refusal.invalid(e.getMessage()));
            return;
        }
        JobDescription job;
        try {
            job = JobDescription.parseSubmission(fields);
        } catch (MalformedMessageException e) {
            Refusal refusal = Refusal.invalid(e.getMessage());
            if (fields.get(JobDescription.Field.JOB_ID) instanceof String jobId
                    && JobDescription.isJobId(jobId)) {
                refuseUnlessAccepted(jobId, refusal, deadlineMicros, answer);
            } else {
                answer.accept(refusal);
            }
            return;
        }
        admit(job, deadlineMicros, answer);
    }

    private void admit(JobDescription job, long deadlineMicros, Consumer<JobAnswer> answer) {
        admission.check(
                job,
                refusal -> {
                    if (refusal.isPresent()) {
                        refuseUnlessAccepted(job.jobId(), refusal.get(), deadlineMicros, answer);
                    } else {
                        checkDependencies(job, deadlineMicros, answer);
                    }
                });
    }

    private void checkDependencies(
            JobDescription job, long deadlineMicros, Consumer<JobAnswer> answer) {
        dependencies.check(
                job,
                refusal -> {
                    if (refusal.isPresent()) {
                        refuseUnlessAccepted(job.jobId(), refusal.get(), deadlineMicros, answer);
                    } else {
                        coalesceWrite(job, deadlineMicros, answer);
                    }
                });
    }

    private void refuseUnlessAccepted(
            String jobId, Refusal refusal, long deadlineMicros, Consumer<JobAnswer> answer) {
        reader.lookUp(
                jobId,
                deadlineMicros,
                lookup -> {
                    if (lookup == null) {
                        answer.accept(Refusal.storeUnavailable());
                    } else if (lookup.status() != null) {
                        answerAccepted(lookup, deadlineMicros, answer);
                    } else {
                        answer.accept(refusal);
                    }
                });
    }

    /** A job that waits for others is read together with them, as for a poll. */
    private void answerAccepted(JobLookup lookup, long deadlineMicros, Consumer<JobAnswer> answer) {
        JobView job = JobView.of(lookup);
        if (job.dependencies().isEmpty()) {
            answerConfirmed(job.status(), deadlineMicros, answer);
            return;
        }
        sharedReader.query(
                RequestPriority.NORMAL,
                job.status().jobId(),
                result -> {
                    if (result instanceof QueryResult.Refused refused) {
                        answer.accept(Refusal.of(refused.reason()));
                    } else {
                        answerConfirmed(result.viewOrNull().status(), deadlineMicros, answer);
                    }
                });
    }

    private void answerConfirmed(
            JobStatus status, long deadlineMicros, Consumer<JobAnswer> answer) {
        confirmer.answer(status, deadlineMicros - loop.nowMicros(), answer);
    }

    /** Joins the write of an equal submission that is queued or in flight, as a user's retry is. */
    private void coalesceWrite(
            JobDescription job, long deadlineMicros, Consumer<JobAnswer> answer) {
        submissions.coalesce(
                job,
                loop.nowMicros(),
                deadlineMicros,
                answer,
                shared -> answerCoalesced(job.jobId(), shared, deadlineMicros, answer),
                result -> write(job, deadlineMicros, result));
    }

    /**
     * The job may have been cancelled since the shared write, so a shared success or permanent
     * refusal is checked against the store again.
     */
    private void answerCoalesced(
            String jobId, JobAnswer shared, long deadlineMicros, Consumer<JobAnswer> answer) {
        if (!(shared instanceof Refusal refusal)) {
            refuseUnlessAccepted(jobId, Refusal.jobChanged(), deadlineMicros, answer);
        } else if (refusal.isTemporary()) {
            answer.accept(refusal);
        } else {
            refuseUnlessAccepted(jobId, refusal, deadlineMicros, answer);
        }
    }

    private void write(JobDescription job, long deadlineMicros, Consumer<JobAnswer> answer) {
        String jobId = job.jobId();
        if (reader.isAcceptedService(jobId) != null) {
            // A transaction that is certain to fail would still use up the limited write rate.
            refuseUnlessAccepted(jobId, Refusal.jobChanged(), deadlineMicros, answer);
            return;
        }
        JobRecord record = JobRecord.accepted(job, loop.wallMicros());
        RecordFormat format = recordPolicy.writeFormat();
        Map<String, Object> value = record.toMap(format);
        int reservedBytes = format == RecordFormat.COMPACT ? RESERVED_PROGRESS_BYTES : 0;
        if (Cbor.maxJsonSize(value) + reservedBytes > recordPolicy.maxValueBytes()) {
            refuseUnlessAccepted(jobId, DESCRIPTION_TOO_LONG, deadlineMicros, answer);
            return;
        }
        writes.write(
                new UserWrites.JobWrite(
                        RequestPriority.USER,
                        deadlineMicros,
                        jobId,
                        List.of(
                                new Condition(StoreKeys.job(jobId), 0),
                                new Condition(StoreKeys.finalState(jobId), 0)),
                        Change.put(StoreKeys.job(jobId), value)),
                reader::lookUpRecord,
                found -> true,
                (result, storeRevision, found) ->
                        onWritten(record, result, storeRevision, found, deadlineMicros, answer));
    }

    private void onWritten(
            JobRecord record,
            Result result,
            long storeRevision,
            JobLookup found,
            long deadlineMicros,
            Consumer<JobAnswer> answer) {
        JobDescription job = record.description();
        boolean foundOwnWrite = found != null && record.equals(found.record());
        if (result == Result.OK || foundOwnWrite) {
            reader.onAccepted(job.jobId(), job.isService());
            changeListener.onJobChanged(record, foundOwnWrite ? found.revision() : storeRevision);
            answer.accept(new JobAnswer.Created(job.jobId()));
        } else if (found != null) {
            answerAccepted(found, deadlineMicros, answer);
        } else if (result == Result.CONFLICT) {
            refuseUnlessAccepted(job.jobId(), Refusal.jobChanged(), deadlineMicros, answer);
        } else if (result == Result.BAD) {
            refuseUnlessAccepted(job.jobId(), DESCRIPTION_TOO_LONG, deadlineMicros, answer);
        } else {
            answer.accept(Refusal.storeUnavailable());
        }
    }
}
