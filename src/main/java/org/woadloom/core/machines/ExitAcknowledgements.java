package org.woadloom.core.machines;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.woadloom.core.jobs.Job;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.TaskId;
import org.woadloom.protocol.TaskStatus;

/**
 * Task exits that agents report until they are acknowledged. An agent forgets an acknowledged exit,
 * so an exit is acknowledged only once the job record with its outcome is durable.
 */
final class ExitAcknowledgements {
    /**
     * By host and exit, the version of the job's record that must be durable before the exit is
     * acknowledged.
     */
    private final Map<String, Map<Exit, Long>> versionByExit = new HashMap<>();

    private record Exit(TaskId task, long attempt) {
        static Exit of(TaskStatus task) {
            return new Exit(task.task(), task.attempt());
        }
    }

    boolean contains(Machine machine, TaskStatus task) {
        Map<Exit, Long> known = versionByExit.get(machine.host);
        return known != null && known.containsKey(Exit.of(task));
    }

    /** Adds an exit that is acknowledged once the given version of its job's record is durable. */
    void add(Machine machine, TaskStatus task, long version) {
        versionByExit
                .computeIfAbsent(machine.host, host -> new HashMap<>())
                .put(Exit.of(task), version);
    }

    /**
     * Returns true if the exit can be acknowledged now.
     *
     * @param job the exited task's job, or null if the scheduler has dropped it because its final
     *     state is stored
     */
    boolean isDue(Machine machine, TaskStatus task, Job job) {
        if (job == null) {
            return true;
        }
        Map<Exit, Long> known = versionByExit.get(machine.host);
        Long version = known == null ? null : known.get(Exit.of(task));
        return version != null && version <= job.persistence.durableVersion();
    }

    /**
     * Drops the exits that the agent no longer lists, because it has received their
     * acknowledgement.
     */
    void retainListed(Machine machine, Heartbeat heartbeat) {
        Map<Exit, Long> known = versionByExit.get(machine.host);
        if (known == null || known.isEmpty()) {
            return;
        }
        Map<Exit, Long> listed = new HashMap<>();
        for (TaskStatus task : heartbeat.tasks()) {
            if (task.state() == TaskStatus.State.EXITED) {
                Exit exit = Exit.of(task);
                Long version = known.get(exit);
                if (version != null) {
                    listed.put(exit, version);
                }
            }
        }
        versionByExit.put(machine.host, listed);
    }

    /** Drops the exits of all machines but these. */
    void retainMachines(Collection<String> hosts) {
        versionByExit.keySet().retainAll(hosts);
    }
}
