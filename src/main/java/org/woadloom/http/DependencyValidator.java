package org.woadloom.http;

import java.util.Optional;
import java.util.function.Consumer;
import org.woadloom.protocol.JobDescription;
import org.woadloom.reads.JobLookup;
import org.woadloom.reads.JobReader;
import org.woadloom.store.RecordFormat;

/**
 * Decides whether a job may wait for the jobs that it names. Each of them must be accepted in the
 * store, as users submit a job right after the answer for those before it, and must be one that
 * ends. Until every node is known to read the compact format no job may wait: a node of version 1
 * would start it at once.
 */
final class DependencyValidator {
    private static final Refusal NOT_SUPPORTED_YET =
            Refusal.unavailable(
                    JobDescription.Field.DEPENDENCIES + ": not before all nodes run this version");

    /** What the store says of a job that another is to wait for. */
    private enum Dependency {
        VALID,
        SERVICE,
        NEVER_ACCEPTED,
        /** The store did not answer. */
        UNDETERMINED
    }

    private final JobReader reader;
    private final JobApi.RecordPolicy storage;

    DependencyValidator(JobReader reader, JobApi.RecordPolicy storage) {
        this.reader = reader;
        this.storage = storage;
    }

    /** Reports empty if the job may wait for all of its dependencies, or else why it may not. */
    void check(JobDescription job, long deadlineMicros, Consumer<Optional<Refusal>> result) {
        if (job.dependencies().isEmpty()) {
            result.accept(Optional.empty());
            return;
        }
        for (String jobId : job.dependencies()) {
            if (!JobDescription.isJobId(jobId) || jobId.equals(job.jobId())) {
                result.accept(Optional.of(invalid(jobId, "can't be waited for")));
                return;
            }
        }
        if (storage.writeFormat() != RecordFormat.COMPACT) {
            result.accept(Optional.of(NOT_SUPPORTED_YET));
            return;
        }
        Verdict verdict = new Verdict(job.dependencies().size(), result);
        for (String jobId : job.dependencies()) {
            lookUp(jobId, deadlineMicros, dependency -> verdict.add(jobId, dependency));
        }
    }

    private void lookUp(String jobId, long deadlineMicros, Consumer<Dependency> result) {
        Boolean service = reader.isAcceptedService(jobId);
        if (service != null) {
            result.accept(service ? Dependency.SERVICE : Dependency.VALID);
            return;
        }
        reader.lookUp(jobId, deadlineMicros, lookup -> result.accept(classify(lookup)));
    }

    private static Dependency classify(JobLookup lookup) {
        if (lookup == null) {
            return Dependency.UNDETERMINED;
        }
        if (lookup.status() == null) {
            return Dependency.NEVER_ACCEPTED;
        }
        return lookup.isService() ? Dependency.SERVICE : Dependency.VALID;
    }

    private static Refusal invalid(String jobId, String problem) {
        return Refusal.neverRunnable(
                JobDescription.Field.DEPENDENCIES + ": " + jobId + " " + problem);
    }

    /**
     * Combines what was found for each dependency. That the store did not answer outweighs that one
     * is invalid, as a refusal for good must be certain; of several invalid ones the first counts.
     */
    private static final class Verdict {
        private final Consumer<Optional<Refusal>> result;
        private int remaining;
        private Optional<Refusal> refusal = Optional.empty();

        Verdict(int dependencies, Consumer<Optional<Refusal>> result) {
            this.result = result;
            remaining = dependencies;
        }

        void add(String jobId, Dependency dependency) {
            switch (dependency) {
                case UNDETERMINED -> refusal = Optional.of(Refusal.storeUnavailable());
                case NEVER_ACCEPTED -> addInvalid(jobId, "was never accepted");
                case SERVICE -> addInvalid(jobId, "is a service");
                case VALID -> {}
            }
            remaining--;
            if (remaining == 0) {
                result.accept(refusal);
            }
        }

        private void addInvalid(String jobId, String problem) {
            if (refusal.isEmpty()) {
                refusal = Optional.of(invalid(jobId, problem));
            }
        }
    }
}
