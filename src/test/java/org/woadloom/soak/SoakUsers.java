package org.woadloom.soak;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.woadloom.net.EventLoop;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.soak.UserAnswer.Request;

/** Users who submit, repeat, poll and cancel at all nodes, all the time. */
final class SoakUsers {
    private static final long WRITE_TIMEOUT_MICROS = 5_000_000;
    private static final long POLL_TIMEOUT_MICROS = 2_000_000;
    private static final long POLL_INTERVAL_MICROS = 2_500_000;
    private static final int RETRY_MICROS = 1_000_000;
    private static final int SUBMIT_SPREAD_MICROS = 600_000;
    private static final int UNKNOWN_INTERVAL_MICROS = 1_000_000;
    private static final int CANCELLED_OF_HUNDRED = 20;
    private static final int SERVICES_OF_HUNDRED = 8;
    private static final int BOUND_TO_ZONE_OF_HUNDRED = 20;
    private static final int MAX_TASKS = 6;
    private static final int MAX_CPUS = 3;
    private static final int MIN_RUN_MICROS = 500_000;
    private static final int RUN_SPREAD_MICROS = 6_000_000;
    private static final int CANCEL_SPREAD_MICROS = 8_000_000;
    private static final List<String> TEAMS = List.of("red", "blue");
    private static final List<String> ZONES = List.of("a", "b");

    private final EventLoop loop;
    private final HttpTransport transport;
    private final Random random;
    private final Map<String, SoakJob> jobs;
    private final IntFunction<String> addressOfNode;
    private final int nodes;
    private final Consumer<UserAnswer> answers;
    private boolean submits = true;
    private int submitted;

    SoakUsers(
            EventLoop loop,
            HttpTransport transport,
            Random random,
            Map<String, SoakJob> jobs,
            IntFunction<String> addressOfNode,
            int nodes,
            Consumer<UserAnswer> answers) {
        this.loop = loop;
        this.transport = transport;
        this.random = random;
        this.jobs = jobs;
        this.addressOfNode = addressOfNode;
        this.nodes = nodes;
        this.answers = answers;
    }

    void start() {
        submitNext();
        askForUnknown();
    }

    void stopSubmitting() {
        submits = false;
    }

    private void submitNext() {
        if (!submits) {
            return;
        }
        SoakJob job = newJob();
        jobs.put(job.jobId, job);
        submit(job, Cbor.encode(job.description()));
        loop.schedule(1 + random.nextInt(SUBMIT_SPREAD_MICROS), this::submitNext);
    }

    private SoakJob newJob() {
        boolean service = random.nextInt(100) < SERVICES_OF_HUNDRED;
        boolean bound = random.nextInt(100) < BOUND_TO_ZONE_OF_HUNDRED;
        return new SoakJob(
                String.format("j-%06d", ++submitted),
                TEAMS.get(random.nextInt(TEAMS.size())),
                service,
                1 + random.nextInt(service ? 2 : MAX_TASKS),
                service ? 0.5 : 1 + random.nextInt(MAX_CPUS),
                bound ? ZONES.get(random.nextInt(ZONES.size())) : null,
                random.nextBoolean(),
                MIN_RUN_MICROS + random.nextInt(RUN_SPREAD_MICROS));
    }

    private void submit(SoakJob job, byte[] body) {
        ask(
                Request.SUBMIT,
                "POST",
                "/v1/jobs",
                job.jobId,
                body,
                WRITE_TIMEOUT_MICROS,
                answer -> {
                    if (answer.isSuccess()) {
                        onAccepted(job, body);
                    } else if (answer.status() != UserAnswer.BAD_REQUEST
                            && answer.status() != UserAnswer.NEVER_RUNNABLE) {
                        loop.schedule(
                                RETRY_MICROS + random.nextInt(RETRY_MICROS),
                                () -> submit(job, body));
                    }
                });
    }

    private void onAccepted(SoakJob job, byte[] body) {
        poll(job);
        if (random.nextInt(4) == 0) {
            repeatSubmission(job, body);
        }
        if (random.nextInt(100) < CANCELLED_OF_HUNDRED || job.service) {
            loop.schedule(1 + random.nextInt(CANCEL_SPREAD_MICROS), () -> cancel(job));
        }
    }

    private void repeatSubmission(SoakJob job, byte[] body) {
        loop.schedule(
                1 + random.nextInt(RETRY_MICROS),
                () ->
                        ask(
                                Request.SUBMIT,
                                "POST",
                                "/v1/jobs",
                                job.jobId,
                                body,
                                WRITE_TIMEOUT_MICROS,
                                answer -> {}));
    }

    private void cancel(SoakJob job) {
        job.cancelAskedMicros = Math.min(job.cancelAskedMicros, loop.nowMicros());
        ask(
                Request.CANCEL,
                "POST",
                "/v1/jobs/" + job.jobId + "/cancel",
                job.jobId,
                new byte[0],
                WRITE_TIMEOUT_MICROS,
                answer -> {
                    if (!answer.isSuccess() && answer.status() != UserAnswer.NOT_FOUND) {
                        loop.schedule(
                                RETRY_MICROS + random.nextInt(RETRY_MICROS), () -> cancel(job));
                    }
                });
    }

    /** Users may ask at any later time, so they go on when the job is over. */
    private void poll(SoakJob job) {
        long asked = loop.nowMicros();
        ask(
                Request.POLL,
                "GET",
                "/v1/jobs/" + job.jobId,
                job.jobId,
                null,
                POLL_TIMEOUT_MICROS,
                answer ->
                        loop.schedule(
                                Math.max(1, asked + POLL_INTERVAL_MICROS - loop.nowMicros()),
                                () -> poll(job)));
    }

    private void askForUnknown() {
        String jobId = String.format("j-9%05d", random.nextInt(100_000));
        ask(
                Request.POLL,
                "GET",
                "/v1/jobs/" + jobId,
                jobId,
                null,
                POLL_TIMEOUT_MICROS,
                answer -> {});
        loop.schedule(UNKNOWN_INTERVAL_MICROS, this::askForUnknown);
    }

    private void ask(
            Request request,
            String method,
            String path,
            String jobId,
            byte[] body,
            long timeoutMicros,
            Consumer<UserAnswer> then) {
        long asked = loop.nowMicros();
        transport.request(
                addressOfNode.apply(random.nextInt(nodes)),
                method,
                path,
                body,
                timeoutMicros,
                (status, answered) -> {
                    UserAnswer answer =
                            new UserAnswer(
                                    request,
                                    jobId,
                                    status,
                                    statusIn(answered),
                                    asked,
                                    loop.nowMicros());
                    answers.accept(answer);
                    then.accept(answer);
                });
    }

    private static String statusIn(byte[] body) {
        try {
            Object status =
                    body == null || body.length == 0 ? null : Cbor.decodeMap(body).get("status");
            return status instanceof String text ? text : null;
        } catch (MalformedMessageException e) {
            return null;
        }
    }
}
