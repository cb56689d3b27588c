package org.woadloom.reads;

/** Result of a query for a job. */
public sealed interface QueryResult {
    /** The job was read, or the store confirmed that it does not exist. */
    record Answered(JobView view) implements QueryResult {}

    /** The query was refused. */
    record Refused(QueryRefusal reason) implements QueryResult {}

    /** Returns the job view, or null if the query was refused. */
    default JobView viewOrNull() {
        return this instanceof Answered answered ? answered.view() : null;
    }
}
