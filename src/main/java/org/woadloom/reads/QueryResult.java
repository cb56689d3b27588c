package org.woadloom.reads;

import org.woadloom.reads.CoalescingJobReader.JobView;

/** What a query for a job came to. */
public sealed interface QueryResult {
    /** The job was read, or the store says that there is none. */
    record Answered(JobView view) implements QueryResult {}

    /** The store did not say. */
    record Refused(QueryRefusal reason) implements QueryResult {}

    /** The view, or null where there is none. */
    default JobView viewOrNull() {
        return this instanceof Answered answered ? answered.view() : null;
    }
}
