package org.woadloom.core;

import java.util.Locale;

/**
 * The events that the scheduler logs. The name of a constant, in lower case, is the value of {@code
 * event} in its log line.
 */
public enum LogEvent {
    /** This node has become the leader and loaded the records of jobs and machines. */
    TERM_STARTED,
    /** The leader has received a job that the node that accepted it had stored. */
    JOB_ACCEPTED,
    /** A user cancelled the job; its tasks are being stopped. */
    JOB_CANCEL_REQUESTED,
    /** A cancelled job has no tasks left, and its final state is stored. */
    JOB_CANCELLED,
    /** The final state of a completed job is stored. */
    JOB_DONE,
    /** A job waits for its dependencies. */
    JOB_BLOCKED,
    /** The last dependency of a blocked job is done. */
    JOB_UNBLOCKED,
    /** A job is cancelled because one of its dependencies was cancelled. */
    DEPENDENT_JOB_CANCELLED,
    /** A job's record can't be decoded; the leader replaces it by what it knows of the job. */
    JOB_RECORD_DAMAGED,
    /**
     * Another node has stored the final state of a job of which this leader still knows tasks; they
     * are being stopped.
     */
    JOB_ENDED_ELSEWHERE,
    /**
     * A job's record exceeds the largest value that the store accepts; tasks that have not started
     * wait until others end.
     */
    JOB_RECORD_TOO_LARGE,
    /** A job names a team that is not in the settings; it can't be scheduled. */
    JOB_TEAM_UNKNOWN,
    /** Tasks of a job were assigned to machines. */
    TASKS_PLACED,
    /** Logged at intervals: why one of the jobs that have waited longest has unplaced tasks. */
    TASKS_PENDING,
    /** A task attempt certainly no longer runs and has not completed. */
    TASK_LOST,
    /** A direct command that starts a task attempt is sent, under the logged fencing token. */
    TASK_START_SENT,
    /** A task attempt ended on its machine. */
    TASK_EXITED,
    /** The answer to a heartbeat acknowledges exits; others wait for a direct command. */
    EXITS_ACKNOWLEDGED,
    /** The agent must refuse earlier direct commands before exits can be acknowledged. */
    FENCING_TOKEN_RAISED,
    /** A machine refused to start a task. */
    TASK_REFUSED,
    /**
     * A running task is stopped for a job of higher priority or one within its team's guarantee.
     */
    TASK_PREEMPTED,
    /** A service replica moves to another zone because another job can run only in its place. */
    REPLICA_MOVED,
    /** A direct command that starts tasks was not answered: the tasks may still start later. */
    DIRECT_COMMAND_UNANSWERED,
    /** The lease of a machine's agent has certainly expired: the agent has killed its tasks. */
    LEASE_EXPIRED,
    /** A machine's agent has sent its first heartbeat. */
    MACHINE_UP,
    /** The cloud's machine list contains a machine that this leader did not know. */
    MACHINE_DISCOVERED,
    /** The cloud reports that a machine has failed. */
    MACHINE_FAILED,
    /** The cloud has announced that it will reclaim a spot machine. */
    SPOT_NOTICE,
    /** Tasks of several jobs failed on a machine; for some time it gets no new tasks. */
    MACHINE_QUARANTINED,
    /** A machine's agent sends heartbeats, but no direct command reaches it. */
    MACHINE_UNREACHABLE,
    /** The agent of an unreachable machine has acknowledged a fencing token again. */
    MACHINE_REACHABLE,
    /** A machine is to be deleted, for the logged reason. */
    MACHINE_DECOMMISSIONED,
    /** The cloud was asked to delete machines. */
    MACHINES_DELETING,
    /** The cloud was asked for machines. */
    SCALE_OUT_REQUESTED,
    /** The cloud has rented machines. */
    SCALE_OUT_COMPLETED,
    /** The cloud has no machine of the requested kind. */
    SCALE_OUT_REFUSED,
    /** Almost no machine of a zone sends heartbeats: no machines are rented there. */
    ZONE_PARTITIONED,
    /** The machines of a partitioned zone send heartbeats again, or none of them is left. */
    ZONE_RECONNECTED,
    /** Reservations were made for all tasks of a gang, or for one large task. */
    RESERVATIONS_MADE,
    /** A reservation failed; all reservations of its job are released, and the job queues again. */
    RESERVATION_FAILED,
    /** A team asks for more than its limit: what one of its job classes uses and waits for. */
    QUOTA_EXCEEDED,
    /** A job that has waited for long gets a turn: freed quota of its team is kept for it. */
    QUOTA_TURN_STARTED,
    /** A job that has waited for long gets no turn: service replicas use too much of the limit. */
    QUOTA_TURN_IMPOSSIBLE,
    /** A job did not start during its turn. */
    QUOTA_TURN_EXPIRED,
    /** Logged once a minute: how the jobs of one class of one team are served. */
    SERVICE_LEVEL,
    /** Logged once a minute: how the largest jobs of a class are served. */
    LARGEST_JOBS_SERVICE_LEVEL,
    /** Stored records are not in the current format and will be rewritten. */
    ROLLOUT_RECORDS_OUTDATED,
    /** Stored records can't be decoded and are left unchanged. */
    ROLLOUT_RECORDS_UNREADABLE,
    /** The settings of the nodes disagree on which nodes the cluster has. */
    ROLLOUT_MEMBERS_DIFFER,
    /** The rollout of a feature stays at its step, for the logged reason. */
    ROLLOUT_WAITING,
    /** The rollout of a feature has moved to another step. */
    ROLLOUT_STEP;

    /** The name as it is written to the log. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
