package org.woadloom.core.machines;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.woadloom.core.jobs.Job;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.TaskId;
import org.woadloom.protocol.TaskStatus;

/**
 * Exits that agents list until they are acknowledged. An exit is acknowledged once the job's record
 * that contains its outcome is durable, as the agent then forgets it.
 */
final class ExitAcknowledgements {
    /** The first durable version of the job's record under which an exit may be acknowledged. */
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

    /** The exit is to be acknowledged once the given version of its job's record is durable. */
    void add(Machine machine, TaskStatus task, long version) {
        versionByExit
                .computeIfAbsent(machine.host, host -> new HashMap<>())
                .put(Exit.of(task), version);
    }

    /**
     * @param job the exited task's job, or null if it is no longer here: then its final state is in
     *     the store
     */
    boolean isDue(Machine machine, TaskStatus task, Job job) {
        if (job == null) {
            return true;
        }
        Map<Exit, Long> known = versionByExit.get(machine.host);
        Long version = known == null ? null : known.get(Exit.of(task));
        return version != null && version <= job.persistence.durableVersion();
    }

    /** Drops the machine's exits that the agent lists no longer: it has the acknowledgement. */
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

    /** Drops what is kept for other machines than these. */
    void retainMachines(Collection<String> hosts) {
        versionByExit.keySet().retainAll(hosts);
    }
}
