package org.woadloom.http;

import java.util.List;
import java.util.Map;
import org.woadloom.protocol.JobStatus;

/** The answer to a user's request about a job. Only this type maps answers to HTTP. */
sealed interface JobAnswer permits JobAnswer.Created, JobAnswer.Found, Refusal {
    Response toResponse();

    /** This request created the job. */
    record Created(String jobId) implements JobAnswer {
        @Override
        public Response toResponse() {
            JobStatus queued = JobStatus.withoutCounts(jobId, JobStatus.QUEUED);
            return Response.of(HttpStatus.CREATED, queued.toMap());
        }
    }

    /**
     * The job exists.
     *
     * @param dependencies the jobs that it still waits for; empty where the answer does not list
     *     them
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
