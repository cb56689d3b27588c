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
 * The users' interface on every node: submissions, polls and cancellations, each in a handler of
 * its own. Whatever a user is told of a job is in the store before; only final states, which never
 * change, are answered from memory.
 */
public final class JobApi {
    private static final Logger LOG = LoggerFactory.getLogger(JobApi.class);

    /** An answer that took longer is logged. */
    private static final long SLOW_ANSWER_MICROS = 500_000;

    /** Users wait 5 s for the answer to a submission or a cancellation. */
    static final long ANSWER_TIMEOUT_MICROS = 4_300_000;

    /** Is notified of the jobs that this node made durable. */
    public interface JobChangeListener {
        void onJobChanged(JobRecord record, long revision);
    }

    /**
     * Whether a user may be told of a cancellation that is in the store, as soon as that is known.
     */
    public interface CancellationConfirmation {
        /** The answer is false where that was not known in time: the user has to retry. */
        void confirm(String jobId, long patienceMicros, Consumer<Boolean> answer);
    }

    /** Where the machine types come from. */
    public interface MachineTypeSource {
        /** As they were last read, empty while they are unknown. */
        List<MachineType> currentTypes();

        /** Reads them from the cloud; false if that does not answer. */
        void refresh(Consumer<Boolean> answered);
    }

    /** How and how large records may be now. */
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
            RecordPolicy storage,
            MachineTypeSource types,
            JobChangeListener notifier,
            CancellationConfirmation confirmation) {
        this.loop = loop;
        int nodes = settings.peers().size() + 1;
        JobReader reader = new JobReader(store, storage::onFormatSeen);
        CoalescingJobReader sharedReader =
                new CoalescingJobReader(loop, store, reader, settings.store(), nodes);
        StatusConfirmer confirmer = new StatusConfirmer(sharedReader, confirmation);
        UserWrites writes = new UserWrites(loop, store, settings.store().rps(), nodes);
        AdmissionControl admission = new AdmissionControl(loop, settings, types);
        submissions =
                new SubmissionHandler(
                        loop, storage, reader, admission, confirmer, writes, notifier);
        statuses = new StatusHandler(loop, store, reader, sharedReader, confirmer);
        cancellations =
                new CancellationHandler(loop, store, storage, reader, confirmer, writes, notifier);
    }

    /** Submits the job that the body describes. */
    public void submit(byte[] body, Consumer<Response> answer) {
        submissions.submit(body, asHttp(logSlow("submit", answer)));
    }

    /** Answers with the job's status. */
    public void status(String jobId, Consumer<Response> answer) {
        statuses.status(jobId, asHttp(answer));
    }

    /** Cancels the job; one that is over already is answered with its status. */
    public void cancel(String jobId, Consumer<Response> answer) {
        cancellations.cancel(jobId, asHttp(logSlow("cancel", answer)));
    }

    /** The longest time for which a job was polled for in vain while others were answered. */
    public long longestUnansweredMicros() {
        return statuses.longestUnansweredMicros();
    }

    /** How many polls got no answer for the reason, since the process started. */
    public long refusedQueries(QueryRefusal reason) {
        return statuses.refusals(reason);
    }

    private static Consumer<JobAnswer> asHttp(Consumer<Response> answer) {
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
