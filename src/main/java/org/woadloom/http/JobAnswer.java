package org.woadloom.http;

import java.util.List;
import java.util.Map;
import org.woadloom.protocol.JobStatus;

/** What a user is told in reply to a request about a job. Mapped to HTTP here and nowhere else. */
sealed interface JobAnswer permits JobAnswer.Created, JobAnswer.Found, Refusal {
    Response toResponse();

    /** The submitted job was accepted by this request. */
    record Created(String jobId) implements JobAnswer {
        @Override
        public Response toResponse() {
            JobStatus queued = JobStatus.withoutCounts(jobId, JobStatus.QUEUED);
            return Response.of(HttpStatus.CREATED, queued.toMap());
        }
    }

    /**
     * The job exists and has this status.
     *
     * @param dependencies the jobs that it still waits for, where they are to be shown
     */
    record Found(JobStatus status, List<String> dependencies) implements JobAnswer {
        Found(JobStatus status) {
            this(status, List.of());
        }

        @Override
        public Response toResponse() {
            Map<String, Object> body = status.toMap();
            if (!dependencies.isEmpty()) {
                body.put(JobStatus.Field.DEPENDENCIES, dependencies);
            }
            return Response.of(HttpStatus.OK, body);
        }
    }
}
