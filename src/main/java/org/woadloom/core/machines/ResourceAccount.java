package org.woadloom.core.machines;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.placement.Resources;
import org.woadloom.protocol.Priority;
import org.woadloom.protocol.TaskId;

/**
 * The attempts on a machine and the resources that they use. The used resources are always the sum
 * over all attempts. Each attempt is counted either as stopping or as running at its job's
 * priority.
 */
// Counts by priority are kept in an array, because they change with every task.
@SuppressWarnings("EnumOrdinal")
final class ResourceAccount {
    private final Map<TaskId, TaskAttempt> attempts = new LinkedHashMap<>();
    private Resources capacity = Resources.NONE;
    private Resources used = Resources.NONE;

    /** Cache of {@link #balance()}; null after a change. */
    private Resources balance;

    private final int[] runningByPriority = new int[Priority.values().length];
    private int stopping;

    void add(TaskAttempt attempt) {
        attempts.put(attempt.taskId(), attempt);
        used = used.plus(attempt.job.taskResources);
        balance = null;
        if (attempt.isStopping()) {
            stopping++;
        } else {
            runningByPriority[attempt.job.priority().ordinal()]++;
        }
    }

    /** Removes the attempt; has no effect if it is not on the machine. */
    void remove(TaskAttempt attempt) {
        if (attempts.remove(attempt.taskId(), attempt)) {
            used = used.minus(attempt.job.taskResources);
            balance = null;
            if (attempt.isStopping()) {
                stopping--;
            } else {
                runningByPriority[attempt.job.priority().ordinal()]--;
            }
        }
    }

    void onStopping(TaskAttempt attempt) {
        if (contains(attempt)) {
            runningByPriority[attempt.job.priority().ordinal()]--;
            stopping++;
        }
    }

    void onPriorityChanged(TaskAttempt attempt, Priority previous) {
        if (contains(attempt) && !attempt.isStopping()) {
            runningByPriority[previous.ordinal()]--;
            runningByPriority[attempt.job.priority().ordinal()]++;
        }
    }

    private boolean contains(TaskAttempt attempt) {
        return attempts.get(attempt.taskId()) == attempt;
    }

    Collection<TaskAttempt> attempts() {
        return attempts.values();
    }

    List<TaskAttempt> snapshot() {
        return new ArrayList<>(attempts.values());
    }

    boolean isEmpty() {
        return attempts.isEmpty();
    }

    Resources capacity() {
        return capacity;
    }

    void setCapacity(Resources newCapacity) {
        capacity = newCapacity;
        balance = null;
    }

    Resources used() {
        return used;
    }

    /**
     * The capacity minus the used resources; negative if recovered attempts use more than the
     * capacity.
     */
    Resources balance() {
        if (balance == null) {
            balance = capacity.minus(used);
        }
        return balance;
    }

    boolean hasStoppingTasks() {
        return stopping > 0;
    }

    /** True if a task of lower priority is on the machine and not stopping. */
    boolean hasTasksBelow(Priority priority) {
        for (int lower = 0; lower < priority.ordinal(); lower++) {
            if (runningByPriority[lower] > 0) {
                return true;
            }
        }
        return false;
    }
}
