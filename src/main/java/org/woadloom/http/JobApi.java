package org.woadloom.http;

import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.MachineType;
import org.woadloom.reads.CoalescingJobReader;
import org.woadloom.reads.JobReader;
import org.woadloom.reads.QueryRefusal;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.JobRecord;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.StoreClient;

/**
 * The user-facing API of every node: submissions, status polls and cancellations, each with its own
 * handler. Users are told only what is already in the store. Only final states, which never change,
 * are answered from memory.
 */
public final class JobApi {
    private static final Logger LOG = LoggerFactory.getLogger(JobApi.class);

    /** Answers that take longer are logged. */
    private static final long SLOW_ANSWER_MICROS = 500_000;

    /** Users wait 5 s for the answer to a submission or a cancellation. */
    static final long ANSWER_TIMEOUT_MICROS = 4_300_000;

    /** Is notified of job records that this node has written to the store. */
    public interface JobChangeListener {
        void onJobChanged(JobRecord record, long revision);
    }

    /**
     * Confirms cancellations. A cancellation that is in the store is reported to users only once it
     * is confirmed.
     */
    public interface CancellationConfirmation {
        /**
         * Answers true as soon as the cancellation is confirmed, or false after the timeout: the
         * user has to retry.
         */
        void confirm(String jobId, long timeoutMicros, Consumer<Boolean> answer);
    }

    /** Provides the machine types that the cloud offers. */
    public interface MachineTypeSource {
        /** Returns the types as last read; empty while they are unknown. */
        List<MachineType> currentTypes();

        /** Reads the types from the cloud; calls back with false if the cloud does not answer. */
        void refresh(Consumer<Boolean> answered);
    }

    /** The format and the size limit that apply to job records at the moment. */
    public interface RecordPolicy {
        RecordFormat writeFormat();

        int maxValueBytes();

        void onFormatSeen(RecordFormat format);
    }

    private final EventLoop loop;
    private final SubmissionHandler submissions;
    private final StatusHandler statuses;
    private final CancellationHandler cancellations;

    public JobApi(
            EventLoop loop,
            StoreClient store,
            ServiceSettings settings,
            RecordPolicy recordPolicy,
            MachineTypeSource machineTypes,
            JobChangeListener changeListener,
            CancellationConfirmation confirmation) {
        this.loop = loop;
        int nodes = settings.peers().size() + 1;
        JobReader reader = new JobReader(store, recordPolicy::onFormatSeen);
        CoalescingJobReader sharedReader =
                new CoalescingJobReader(loop, store, reader, settings.store(), nodes);
        StatusConfirmer confirmer = new StatusConfirmer(confirmation);
        UserWrites writes = new UserWrites(loop, store, settings.store().rps(), nodes);
        AdmissionControl admission = new AdmissionControl(loop, settings, machineTypes);
        submissions =
                new SubmissionHandler(
                        loop,
                        recordPolicy,
                        reader,
                        sharedReader,
                        admission,
                        confirmer,
                        writes,
                        changeListener);
        statuses = new StatusHandler(loop, store, reader, sharedReader, confirmer);
        cancellations =
                new CancellationHandler(
                        loop, store, recordPolicy, reader, confirmer, writes, changeListener);
    }

    /** Submits the job described by the body. */
    public void submit(byte[] body, Consumer<Response> answer) {
        submissions.submit(body, toHttp(logSlow("submit", answer)));
    }

    /** Answers with the job's status. */
    public void status(String jobId, Consumer<Response> answer) {
        statuses.status(jobId, toHttp(answer));
    }

    /** Cancels the job. If it has already ended, the answer gives its status. */
    public void cancel(String jobId, Consumer<Response> answer) {
        cancellations.cancel(jobId, toHttp(logSlow("cancel", answer)));
    }

    /**
     * The longest time for which polls for one job have been refused while those for others were
     * answered.
     */
    public long longestUnansweredMicros() {
        return statuses.longestUnansweredMicros();
    }

    /** The number of polls refused for this reason since the process started. */
    public long refusedQueries(QueryRefusal reason) {
        return statuses.refusals(reason);
    }

    private static Consumer<JobAnswer> toHttp(Consumer<Response> answer) {
        return outcome -> answer.accept(outcome.toResponse());
    }

    private Consumer<Response> logSlow(String request, Consumer<Response> answer) {
        long startMicros = loop.nowMicros();
        return response -> {
            long durationMicros = loop.nowMicros() - startMicros;
            if (durationMicros > SLOW_ANSWER_MICROS) {
                LOG.info(
                        "event=slow_answer request={} status={} took_ms={}",
                        request,
                        response.status(),
                        durationMicros / 1000);
            }
            answer.accept(response);
        };
    }
}
