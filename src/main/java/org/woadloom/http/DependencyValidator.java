package org.woadloom.http;

import java.util.Optional;
import java.util.function.Consumer;
import org.woadloom.protocol.ErrorText;
import org.woadloom.protocol.JobDescription;
import org.woadloom.reads.CoalescingJobReader;
import org.woadloom.reads.JobReader;
import org.woadloom.reads.JobView;
import org.woadloom.store.RecordFormat;

/**
 * Checks the dependencies of a submitted job. Each must be accepted in the store already, because
 * users submit a job only after the answers for its dependencies, and must not be a service, which
 * never ends. Dependencies are refused until every node is known to read the compact record format:
 * a node of version 1 ignores them and would start the job at once.
 */
final class DependencyValidator {
    private static final Refusal NOT_SUPPORTED_YET =
            Refusal.unavailable(
                    JobDescription.Field.DEPENDENCIES
                            + ": accepted only once all nodes run this version");

    /** The result of the check of one dependency. */
    private enum Dependency {
        VALID,
        SERVICE,
        NEVER_ACCEPTED,
        /** The store did not answer. */
        UNDETERMINED
    }

    private final JobReader reader;
    private final CoalescingJobReader sharedReader;
    private final JobApi.RecordPolicy recordPolicy;

    DependencyValidator(
            JobReader reader, CoalescingJobReader sharedReader, JobApi.RecordPolicy recordPolicy) {
        this.reader = reader;
        this.sharedReader = sharedReader;
        this.recordPolicy = recordPolicy;
    }

    /** Calls back with empty if all dependencies are valid, else with the refusal. */
    void check(JobDescription job, Consumer<Optional<Refusal>> result) {
        if (job.dependencies().isEmpty()) {
            result.accept(Optional.empty());
            return;
        }
        for (String jobId : job.dependencies()) {
            if (!JobDescription.isJobId(jobId) || jobId.equals(job.jobId())) {
                result.accept(
                        Optional.of(
                                invalid(
                                        jobId,
                                        jobId.equals(job.jobId())
                                                ? "is the job itself"
                                                : "is not a job id")));
                return;
            }
        }
        if (recordPolicy.writeFormat() != RecordFormat.COMPACT) {
            result.accept(Optional.of(NOT_SUPPORTED_YET));
            return;
        }
        CombinedResult combined = new CombinedResult(job.dependencies().size(), result);
        for (String jobId : job.dependencies()) {
            read(jobId, dependency -> combined.add(jobId, dependency));
        }
    }

    private void read(String jobId, Consumer<Dependency> result) {
        Boolean service = reader.isAcceptedService(jobId);
        if (service != null) {
            result.accept(service ? Dependency.SERVICE : Dependency.VALID);
            return;
        }
        sharedReader.read(jobId, job -> result.accept(classify(job)));
    }

    private static Dependency classify(JobView job) {
        if (job == null) {
            return Dependency.UNDETERMINED;
        }
        if (job.status() == null) {
            return Dependency.NEVER_ACCEPTED;
        }
        return job.isService() ? Dependency.SERVICE : Dependency.VALID;
    }

    private static Refusal invalid(String jobId, String problem) {
        return Refusal.neverRunnable(
                JobDescription.Field.DEPENDENCIES + ": " + ErrorText.quoted(jobId) + " " + problem);
    }

    /**
     * Combines the results of all dependencies. An unanswered read takes precedence over an invalid
     * dependency, because a permanent refusal must be certain. Of several invalid dependencies the
     * refusal names the first one found.
     */
    private static final class CombinedResult {
        private final Consumer<Optional<Refusal>> result;
        private int remaining;
        private Optional<Refusal> refusal = Optional.empty();

        CombinedResult(int dependencies, Consumer<Optional<Refusal>> result) {
            this.result = result;
            remaining = dependencies;
        }

        void add(String jobId, Dependency dependency) {
            switch (dependency) {
                case UNDETERMINED -> refusal = Optional.of(Refusal.storeUnavailable());
                case NEVER_ACCEPTED -> addInvalid(jobId, "is not an accepted job");
                case SERVICE -> addInvalid(jobId, "is a service, which never ends");
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
