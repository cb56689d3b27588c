package org.woadloom.core;

import java.util.Locale;

/**
 * What the scheduler logs. The name of each constant, in lower case, is the {@code event} of its
 * log line.
 */
public enum LogEvent {
    /** This node leads: the records of jobs and machines are loaded. */
    TERM_STARTED,
    /** A job was stored by the node that took it, and this leader has it now. */
    JOB_ACCEPTED,
    /** A user cancelled the job; its tasks are being stopped. */
    JOB_CANCEL_REQUESTED,
    /** The final state of a cancelled job is stored, and none of its tasks is left. */
    JOB_CANCELLED,
    /** The final state of a completed job is stored. */
    JOB_DONE,
    /** A job has to wait until the jobs that it depends on are done. */
    JOB_BLOCKED,
    /** The last job that a blocked job depends on is done. */
    JOB_UNBLOCKED,
    /** A job is cancelled because one that it depends on was. */
    DEPENDENT_JOB_CANCELLED,
    /** A job's record can't be read; what this leader knows of it is written in its place. */
    JOB_RECORD_DAMAGED,
    /**
     * Another node has stored the final state of a job that has tasks here; they are being stopped.
     */
    JOB_ENDED_ELSEWHERE,
    /**
     * A job's record grew beyond what the store takes; tasks that were not started yet wait for
     * others to end.
     */
    JOB_RECORD_TOO_LARGE,
    /** A job names a team that the settings lack; it can't be scheduled. */
    JOB_TEAM_UNKNOWN,
    /** Tasks of a job were given machines. */
    TASKS_PLACED,
    /** At intervals, why one of the jobs that have waited longest has tasks that are not placed. */
    TASKS_PENDING,
    /** A task attempt is proven to be gone without having completed. */
    TASK_LOST,
    /** A task attempt ended on its machine. */
    TASK_EXITED,
    /** A machine refused to start a task. */
    TASK_REFUSED,
    /** A running task is stopped for a job of higher priority, or within its team's guarantee. */
    TASK_PREEMPTED,
    /** A replica moves to another zone, as the place it has is the only one for another job. */
    REPLICA_MOVED,
    /** No answer came to a direct command that started tasks: they may still be started late. */
    DIRECT_COMMAND_UNANSWERED,
    /** The lease of a machine's agent is certainly over: its tasks have been killed. */
    LEASE_EXPIRED,
    /** A machine's agent has reported for the first time. */
    MACHINE_UP,
    /** The machine list names a machine that this leader did not know. */
    MACHINE_DISCOVERED,
    /** The cloud says that a machine has failed. */
    MACHINE_FAILED,
    /** The cloud has given notice that it takes a spot machine away. */
    SPOT_NOTICE,
    /** Tasks of several jobs failed on a machine; it gets no tasks for a while. */
    MACHINE_QUARANTINED,
    /** A machine's agent reports, and nothing that is sent to it arrives. */
    MACHINE_UNREACHABLE,
    /** An unreachable machine's agent has acknowledged a token again. */
    MACHINE_REACHABLE,
    /** A machine is to be deleted, for the reason given. */
    MACHINE_DECOMMISSIONED,
    /** The cloud was asked to delete machines. */
    MACHINES_DELETING,
    /** The cloud was asked for machines. */
    SCALE_OUT_REQUESTED,
    /** The cloud has rented machines. */
    SCALE_OUT_COMPLETED,
    /** The cloud has no machine of the requested kind. */
    SCALE_OUT_REFUSED,
    /** Hardly a machine of a zone reports: nothing is rented there. */
    ZONE_PARTITIONED,
    /** A partitioned zone reports again, or none of its machines is left. */
    ZONE_RECONNECTED,
    /** A job holds reservations for all of its tasks. */
    RESERVATIONS_MADE,
    /** A reservation failed; all of its job are released, and the job queues again. */
    RESERVATION_FAILED,
    /** A team asks for more than its limit; what a class of it uses and what waits. */
    QUOTA_EXCEEDED,
    /** What comes free of a team's limit is kept for one job that has waited for long. */
    QUOTA_TURN_STARTED,
    /** A job that has waited for long gets no turn, as replicas hold too much of the limit. */
    QUOTA_TURN_IMPOSSIBLE,
    /** A job could not start in the time in which the limit was kept for it. */
    QUOTA_TURN_EXPIRED,
    /** Once a minute, how a class of a team is served. */
    SERVICE_LEVEL,
    /** Once a minute, how the largest jobs of a class are served. */
    LARGEST_JOBS_SERVICE_LEVEL,
    /** Stored records are not of the form in force and are to be rewritten. */
    ROLLOUT_RECORDS_OUTDATED,
    /** Stored records can't be read and are kept as they are. */
    ROLLOUT_RECORDS_UNREADABLE,
    /** The settings of the nodes name different nodes. */
    ROLLOUT_MEMBERS_DIFFER,
    /** A feature stays at its step, for the reason given. */
    ROLLOUT_WAITING,
    /** A feature has moved to another step. */
    ROLLOUT_STEP;

    /** The name as it stands in the log. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
