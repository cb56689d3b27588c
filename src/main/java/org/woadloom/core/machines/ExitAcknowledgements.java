package org.woadloom.core.machines;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.invariant.Invariants;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.protocol.TaskId;
import org.woadloom.protocol.TaskStatus;

/**
 * Task exits that agents report until they are acknowledged. No other code decides when an exit is
 * acknowledged.
 *
 * <p>An agent forgets an acknowledged exit. It would then start the attempt again if a direct
 * command that starts it arrived once more, and it would no longer report the outcome. So an exit
 * is acknowledged only
 *
 * <ul>
 *   <li>once the job record with its outcome is durable, and
 *   <li>in an answer with a higher fencing token than any direct command that started the attempt,
 *       because the agent then refuses that command. If no such token has been issued yet, the
 *       answer issues it, which covers all earlier starts on the machine.
 * </ul>
 *
 * <p>Starts in the answers to heartbeats need no such token, as an agent waits for one answer at a
 * time and takes it only once.
 */
final class ExitAcknowledgements {
    /**
     * While a direct command is in flight, at most this many exits wait for it to complete before
     * the token is raised: agents report all of them in a message of limited size.
     */
    static final int MAX_HELD_EXITS = 64;

    private final SchedulerState state;
    private final Map<String, Map<Exit, PendingExit>> pendingByHost = new HashMap<>();
    private long acknowledgedCount;
    private long heldCount;
    private long raisedTokenCount;

    private record Exit(TaskId task, long attempt) {
        static Exit of(TaskStatus task) {
            return new Exit(task.task(), task.attempt());
        }
    }

    /**
     * An exit that is not acknowledged yet.
     *
     * @param recordVersion the version of the job's record that must be durable before
     * @param startToken the highest token of a direct command that may have started the attempt
     */
    private record PendingExit(long recordVersion, long startToken) {}

    ExitAcknowledgements(SchedulerState state) {
        this.state = state;
    }

    boolean contains(Machine machine, TaskStatus task) {
        return pending(machine, Exit.of(task)) != null;
    }

    /**
     * Adds an exit that is acknowledged once the given version of its job's record is durable.
     *
     * @param startToken the highest token of a direct command that may have started the attempt
     */
    void add(Machine machine, TaskStatus task, long recordVersion, long startToken) {
        pendingByHost
                .computeIfAbsent(machine.host, host -> new HashMap<>())
                .put(Exit.of(task), new PendingExit(recordVersion, startToken));
    }

    private PendingExit pending(Machine machine, Exit exit) {
        Map<Exit, PendingExit> pending = pendingByHost.get(machine.host);
        return pending == null ? null : pending.get(exit);
    }

    /**
     * Returns the acknowledgements that the answer to a heartbeat carries. May raise the machine's
     * fencing token, so the answer must carry the token as it is afterwards.
     */
    List<TaskCommand> acknowledge(Machine machine, Heartbeat heartbeat) {
        List<TaskStatus> due = dueExits(machine, heartbeat);
        retainListed(machine, heartbeat);
        if (due.isEmpty()) {
            return List.of();
        }
        if (needsHigherToken(machine, due) && mayRaiseToken(machine, due)) {
            raiseToken(machine, due.size());
        }
        List<TaskCommand> commands = new ArrayList<>();
        for (TaskStatus exit : due) {
            if (startToken(machine, Exit.of(exit)) < machine.liveness.fencingToken()) {
                commands.add(TaskCommand.acknowledgeExit(exit.task(), exit.attempt()));
            }
        }
        count(machine, commands.size(), due.size() - commands.size());
        return commands;
    }

    private List<TaskStatus> dueExits(Machine machine, Heartbeat heartbeat) {
        List<TaskStatus> due = new ArrayList<>();
        for (TaskStatus task : heartbeat.tasks()) {
            if (task.state() == TaskStatus.State.EXITED && isOutcomeDurable(machine, task)) {
                due.add(task);
            }
        }
        return due;
    }

    /** The scheduler drops a job once its final state is stored. */
    private boolean isOutcomeDurable(Machine machine, TaskStatus exit) {
        Job job = state.jobs().get(exit.task().jobId());
        PendingExit pending = pending(machine, Exit.of(exit));
        return job == null
                || (pending != null && pending.recordVersion <= job.persistence.durableVersion());
    }

    /** An exit that is not known may be of any attempt that was started until now. */
    private long startToken(Machine machine, Exit exit) {
        PendingExit pending = pending(machine, exit);
        return pending == null ? machine.commands.lastStartToken() : pending.startToken;
    }

    private boolean needsHigherToken(Machine machine, List<TaskStatus> due) {
        long token = machine.liveness.fencingToken();
        return due.stream().anyMatch(exit -> startToken(machine, Exit.of(exit)) >= token);
    }

    /** The agent would refuse a command in flight if it learned of a higher token before. */
    private static boolean mayRaiseToken(Machine machine, List<TaskStatus> due) {
        return !machine.commands.isCommandInFlight() || due.size() > MAX_HELD_EXITS;
    }

    private void raiseToken(Machine machine, int exits) {
        machine.liveness.incrementFence();
        raisedTokenCount++;
        state.log(
                LogEntry.debug(LogEvent.FENCING_TOKEN_RAISED)
                        .with("machine", machine.host)
                        .with("token", machine.liveness.fencingToken())
                        .with("exits", exits));
    }

    private void count(Machine machine, int acknowledged, int held) {
        acknowledgedCount += acknowledged;
        heldCount += held;
        state.log(
                LogEntry.debug(LogEvent.EXITS_ACKNOWLEDGED)
                        .with("machine", machine.host)
                        .with("token", machine.liveness.fencingToken())
                        .with("exits", acknowledged)
                        .with("held", held));
    }

    /**
     * Returns the commands without acknowledgements that the token of their answer does not allow,
     * and reports these as violations.
     */
    List<TaskCommand> checked(Machine machine, List<TaskCommand> commands, long answerToken) {
        return commands.stream()
                .filter(command -> isAllowed(machine, command, answerToken))
                .toList();
    }

    private boolean isAllowed(Machine machine, TaskCommand command, long answerToken) {
        if (command.action() != TaskCommand.Action.ACKNOWLEDGE_EXIT) {
            return true;
        }
        Exit exit = new Exit(command.task(), command.attempt());
        return Invariants.holds(
                startToken(machine, exit) < answerToken,
                Invariants.Invariant.ACKNOWLEDGED_START_FENCED,
                machine.host + " " + command.task());
    }

    /**
     * Drops the exits that the agent no longer lists, because it has received their
     * acknowledgement.
     */
    private void retainListed(Machine machine, Heartbeat heartbeat) {
        Map<Exit, PendingExit> pending = pendingByHost.get(machine.host);
        if (pending == null || pending.isEmpty()) {
            return;
        }
        Map<Exit, PendingExit> listed = new HashMap<>();
        for (TaskStatus task : heartbeat.tasks()) {
            PendingExit exit = pending.get(Exit.of(task));
            if (task.state() == TaskStatus.State.EXITED && exit != null) {
                listed.put(Exit.of(task), exit);
            }
        }
        pendingByHost.put(machine.host, listed);
    }

    /** Drops the exits of all machines but these. */
    void retainMachines(Collection<String> hosts) {
        pendingByHost.keySet().retainAll(hosts);
    }

    /** Acknowledgements sent in this term; an exit counts anew each time it is acknowledged. */
    long acknowledgedCount() {
        return acknowledgedCount;
    }

    /** How often in this term an exit was due but waited for a direct command to complete. */
    long heldCount() {
        return heldCount;
    }

    /** How often in this term a fencing token was raised to acknowledge exits. */
    long raisedTokenCount() {
        return raisedTokenCount;
    }
}
