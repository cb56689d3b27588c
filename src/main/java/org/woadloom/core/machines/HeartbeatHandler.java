package org.woadloom.core.machines;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.PersistenceState;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.jobs.TaskAttempt.Stage;
import org.woadloom.core.liveness.AgentLiveness;
import org.woadloom.core.liveness.MessageAge;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.protocol.TaskId;
import org.woadloom.protocol.TaskStatus;
import org.woadloom.store.MachineRecord;

/** Reads what workers say, and answers their reports. */
public final class HeartbeatHandler {
    private static final int MAX_COMMANDS = 400;
    private static final long ERROR_BACKOFF_MICROS = 1_000_000;
    private static final long MAX_BACKOFF_MICROS = 60_000_000;

    /** On so many machines a job without fault may have failed. */
    private static final int MAX_FAULTY_MACHINES = 2;

    private final SchedulerState state;
    private final MachineRegistry machines;
    private final TaskLossHandler taskLosses;

    /** Exits that may be cleared once the job's record has reached a version. */
    private final Map<String, Map<Exit, Long>> acknowledgeAfterVersion = new HashMap<>();

    /**
     * Numbers the messages that were taken in, to tell which placements the one at hand has listed.
     */
    private long messagesApplied;

    private record Exit(TaskId task, long attempt) {}

    public HeartbeatHandler(
            SchedulerState state, MachineRegistry machines, TaskLossHandler taskLosses) {
        this.state = state;
        this.machines = machines;
        this.taskLosses = taskLosses;
    }

    /** A report that waits for an answer. */
    public void onHeartbeat(SchedulerEvent.HeartbeatReceived event) {
        Heartbeat heartbeat = event.heartbeat();
        Machine machine =
                machines.findOrCreate(
                        new MachineRecord(
                                heartbeat.host(),
                                heartbeat.machineType(),
                                heartbeat.zone(),
                                heartbeat.spot(),
                                false));
        if (hasSeenLaterTerm(machine, heartbeat)) {
            return;
        }
        if (!machine.liveness.awaitsAnswerTo(heartbeat, state.nowMicros())) {
            // Nobody waits for this answer; if somebody did, it would renew a lease that counts as
            // running out.
            state.emit(new SchedulerAction.RejectHeartbeat(event.requestId()));
            return;
        }
        machine.lastAnsweredMicros = state.nowMicros();
        MessageAge age = apply(machine, heartbeat, AgentLiveness.NEVER);
        List<TaskCommand> commands =
                age != MessageAge.DUPLICATE ? commandsFor(machine, heartbeat) : List.of();
        if (age == MessageAge.POSSIBLY_DELAYED) {
            machine.liveness.requireAcknowledgement();
        }
        if (age != MessageAge.DUPLICATE && !machine.liveness.hasAcknowledgedToken()) {
            machine.requestToken();
        }
        state.emit(
                new SchedulerAction.AnswerHeartbeat(
                        event.requestId(),
                        machine.liveness.issueToken(state.nowMicros()),
                        commands));
    }

    /**
     * True if the worker has heard of a later leader. A higher token of this term is of a machine
     * that was forgotten.
     */
    public boolean hasSeenLaterTerm(Machine machine, Heartbeat heartbeat) {
        if (heartbeat.fencingToken() <= machine.liveness.fencingToken()) {
            return false;
        }
        if (heartbeat.fencingToken() >> AgentLiveness.FENCE_BITS == state.term()) {
            machine.liveness.advanceFencePast(heartbeat.fencingToken());
            return false;
        }
        state.emit(
                new SchedulerAction.StepDown(
                        "worker "
                                + heartbeat.host()
                                + " has seen token "
                                + heartbeat.fencingToken()));
        return true;
    }

    /**
     * Takes in a report, or the body of a direct command's answer.
     *
     * @param sinceMicros when the direct command was sent, {@link AgentLiveness#NEVER} for a report
     *     of its own, which alone shows that the answer to the one before was dealt with
     */
    public MessageAge apply(Machine machine, Heartbeat heartbeat, long sinceMicros) {
        AgentLiveness liveness = machine.liveness;
        MessageAge age =
                machine.deleted
                        ? MessageAge.DUPLICATE
                        : liveness.classify(heartbeat, sinceMicros, state.nowMicros());
        if (age == MessageAge.DUPLICATE) {
            return age;
        }
        boolean ownHeartbeat = sinceMicros == AgentLiveness.NEVER;
        boolean newSession =
                liveness.incarnation() > 0 && heartbeat.incarnation() > liveness.incarnation();
        boolean first = !machine.hasAcknowledgedTerm();
        boolean wasSuspect = liveness.isSuspect(state.nowMicros());
        boolean wasNeverAlive = !machine.isKnownAlive();
        liveness.accept(heartbeat, age, sinceMicros, state.nowMicros());
        if (first && machine.hasAcknowledgedTerm()) {
            state.requestPlacement();
            machine.lastAnsweredMicros = Math.max(machine.lastAnsweredMicros, state.nowMicros());
        }
        if (wasNeverAlive && machine.isKnownAlive()) {
            machine.confirmExistence();
            machine.idleSinceMicros = state.nowMicros();
            state.log(
                    LogEntry.info(LogEvent.MACHINE_UP)
                            .with("machine", machine.host)
                            .with("zone", machine.zone));
        }
        if (wasSuspect && !liveness.isSuspect(state.nowMicros())) {
            state.requestPlacement();
        }
        if (newSession || first) {
            machine.markPendingCommands();
        }
        machine.address = heartbeat.address();
        if (heartbeat.spotNoticeMicros() >= 0 && age == MessageAge.FRESH) {
            if (machine.spotTerminationMicros < 0) {
                state.log(
                        LogEntry.info(LogEvent.SPOT_NOTICE)
                                .with("machine", machine.host)
                                .withSeconds("notice_s", heartbeat.spotNoticeMicros()));
            }
            machine.spotTerminationMicros = state.nowMicros() + heartbeat.spotNoticeMicros();
        }
        if (newSession) {
            // The new session's lease runs from its start, which may be later than our last answer:
            // a session that is
            // first seen in the body of a direct command has not been answered at all.
            machine.lastAnsweredMicros = Math.max(machine.lastAnsweredMicros, state.nowMicros());
            onNewSession(machine);
            // It may have ended because nothing reaches the worker any more.
            liveness.suspect(state.nowMicros());
        }
        List<TaskStatus> tasks = heartbeat.tasks();
        TaskAttempt[] listed = new TaskAttempt[tasks.size()];
        long messageNumber = ++messagesApplied;
        int found = 0;
        for (int i = 0; i < listed.length; i++) {
            TaskStatus task = tasks.get(i);
            TaskAttempt attempt = findAttempt(machine, task);
            listed[i] = attempt;
            if (attempt == null) {
                if (task.state() == TaskStatus.State.EXITED) {
                    onUnknownExit(machine, task);
                }
            } else if (attempt.listedInMessage() != messageNumber) {
                attempt.onListed(messageNumber);
                found++;
            }
        }
        if (found < machine.attempts().size()) {
            for (TaskAttempt attempt : machine.snapshot()) {
                if (attempt.listedInMessage() != messageNumber) {
                    onNotListed(attempt, heartbeat, ownHeartbeat);
                }
            }
        }
        for (int i = 0; i < listed.length; i++) {
            if (listed[i] != null && tasks.get(i).state() == TaskStatus.State.EXITED) {
                onExited(listed[i], tasks.get(i));
            } else if (listed[i] != null) {
                onListed(listed[i], tasks.get(i));
            }
        }
        return age;
    }

    private void onNewSession(Machine machine) {
        for (TaskAttempt attempt : machine.snapshot()) {
            // An earlier leader may have launched it in this session, or may still: what the
            // message lists decides about it.
            if (!attempt.wasNeverSent() && attempt.stage() != Stage.RECOVERED) {
                taskLosses.onLost(attempt, "the worker's lease ended");
            }
        }
    }

    private TaskAttempt findAttempt(Machine machine, TaskStatus task) {
        Job job = state.jobs().get(task.task().jobId());
        TaskAttempt attempt = job == null ? null : job.attempt(task.task().index());
        return attempt != null && attempt.machine == machine && attempt.attempt == task.attempt()
                ? attempt
                : null;
    }

    private void onListed(TaskAttempt attempt, TaskStatus task) {
        if (attempt.stage() != Stage.SENT) {
            attempt.onConfirmed();
        }
        Machine machine = attempt.machine;
        if (task.state() == TaskStatus.State.RUNNING
                && attempt.reportedState() != TaskStatus.State.RUNNING) {
            attempt.onRunning(state.nowMicros());
            attempt.job.persistence.requestWrite(PersistenceState.WriteReason.PHASE);
        }
        if (task.state() == TaskStatus.State.RUNNING) {
            machine.images.touch(
                    attempt.job.description.image(),
                    attempt.job.description.imageGb(),
                    machine.type == null ? 0 : machine.type.imageCacheGb());
        }
        attempt.onReported(task.state());
    }

    private void onNotListed(TaskAttempt attempt, Heartbeat heartbeat, boolean ownHeartbeat) {
        switch (attempt.stage()) {
            case CONFIRMED -> taskLosses.onLost(attempt, "no longer reported");
            case UNANSWERED -> {
                // The worker refuses the old token from here on, so the late launch can no longer
                // be executed.
                if (heartbeat.fencingToken() > attempt.startToken()) {
                    taskLosses.onLost(attempt, "the launch never arrived");
                }
            }
            case SENT_IN_ANSWER -> {
                // A worker has one report in flight: this one was made after the answer was
                // executed or dropped.
                if (ownHeartbeat && heartbeat.sequence() > attempt.answeredSequence()) {
                    if (attempt.isStopping()) {
                        taskLosses.remove(attempt);
                    } else {
                        attempt.markReady();
                    }
                    // One lost answer is nothing; if the next ones are lost as well, the worker is
                    // deaf.
                    attempt.machine.liveness.requireAcknowledgement();
                }
            }
            case RECOVERED -> {
                if (heartbeat.fencingToken() >> AgentLiveness.FENCE_BITS == state.term()) {
                    taskLosses.onLost(attempt, "not found by the new leader");
                }
            }
            default -> {
                // PLANNED and READY were never sent; SENT is settled by the answer to the direct
                // command.
            }
        }
    }

    private void onExited(TaskAttempt attempt, TaskStatus task) {
        Job job = attempt.job;
        Machine machine = attempt.machine;
        boolean service = job.description.isService();
        state.log(
                LogEntry.debug(LogEvent.TASK_EXITED)
                        .with("task", attempt.task())
                        .with("attempt", attempt.attempt)
                        .with("machine", machine.host)
                        .with("reason", task.exitReason()));
        if (task.exitReason() == TaskStatus.ExitReason.DONE && !service) {
            job.markCompleted(attempt.index);
        } else if (task.exitReason() == TaskStatus.ExitReason.ERROR) {
            onTaskFailed(job, machine);
        } else if (task.exitReason() == TaskStatus.ExitReason.UNKNOWN_TASK) {
            job.placeNotBefore(state.nowMicros() + ERROR_BACKOFF_MICROS);
        } else if (task.exitReason() == TaskStatus.ExitReason.INSUFFICIENT_RESOURCES
                || task.exitReason() == TaskStatus.ExitReason.ALREADY_RUNNING) {
            state.log(
                    LogEntry.info(LogEvent.TASK_REFUSED)
                            .with("task", attempt.task())
                            .with("machine", machine.host)
                            .with("reason", task.exitReason()));
            machine.refusesUntilMicros = state.nowMicros() + ERROR_BACKOFF_MICROS;
        }
        if (!task.wasRefused()) {
            machine.images.touch(
                    job.description.image(),
                    job.description.imageGb(),
                    machine.type == null ? 0 : machine.type.imageCacheGb());
        }
        taskLosses.remove(attempt);
        if (job.isComplete()) {
            job.persistence.requestWrite(PersistenceState.WriteReason.IMMEDIATE);
        }
        rememberExit(machine, task, job.persistence.nextVersion());
    }

    private void onTaskFailed(Job job, Machine machine) {
        job.countFailure();
        job.failedOn.add(machine.host);
        machine.failedJobs.put(job.jobId(), state.nowMicros());
        // Failures of several jobs point at the machine; those of a job that fails on many machines
        // point at the job alone.
        machine.failedJobs
                .entrySet()
                .removeIf(
                        failure ->
                                state.nowMicros() - failure.getValue() > 60_000_000
                                        || state.jobs().containsKey(failure.getKey())
                                                && state.jobs()
                                                                .get(failure.getKey())
                                                                .failedOn
                                                                .size()
                                                        > MAX_FAULTY_MACHINES);
        boolean machineAtFault = machine.failedJobs.size() >= 2;
        if (machineAtFault && machine.quarantinedUntilMicros < state.nowMicros()) {
            machine.quarantinedUntilMicros =
                    state.nowMicros() + state.settings().operator().quarantineMicros();
            state.log(
                    LogEntry.info(LogEvent.MACHINE_QUARANTINED)
                            .with("machine", machine.host)
                            .with("failed_jobs", machine.failedJobs.size()));
        }
        if (job.failedOn.size() > 1) {
            long pause = ERROR_BACKOFF_MICROS << Math.min(6, job.failures());
            job.placeNotBefore(state.nowMicros() + Math.min(MAX_BACKOFF_MICROS, pause));
        }
    }

    /**
     * An exit that no placement accounts for: an earlier leader's, or one that was taken for lost.
     */
    private void onUnknownExit(Machine machine, TaskStatus task) {
        Map<Exit, Long> known = acknowledgeAfterVersion.get(machine.host);
        if (known != null && known.containsKey(new Exit(task.task(), task.attempt()))) {
            return;
        }
        Job job = state.jobs().get(task.task().jobId());
        int index = task.task().index();
        if (job != null
                && index < job.description.taskCount()
                && task.exitReason() == TaskStatus.ExitReason.DONE
                && !job.description.isService()
                && !job.isCancelled()
                && job.markCompleted(index)) {
            TaskAttempt other = job.attempt(index);
            if (other != null && other.wasNeverSent()) {
                taskLosses.remove(other);
            } else if (other != null) {
                other.stop(0);
            }
            job.persistence.requestWrite(
                    job.isComplete()
                            ? PersistenceState.WriteReason.IMMEDIATE
                            : PersistenceState.WriteReason.OUTCOME);
            rememberExit(machine, task, job.persistence.nextVersion());
        } else if (job != null) {
            rememberExit(machine, task, 0);
        }
    }

    private void rememberExit(Machine machine, TaskStatus task, long version) {
        acknowledgeAfterVersion
                .computeIfAbsent(machine.host, h -> new HashMap<>())
                .put(new Exit(task.task(), task.attempt()), version);
    }

    private List<TaskCommand> commandsFor(Machine machine, Heartbeat heartbeat) {
        List<TaskCommand> commands = new ArrayList<>();
        Map<Exit, Long> exits = acknowledgeAfterVersion.getOrDefault(machine.host, Map.of());
        Map<Exit, Long> stillListed = exits.isEmpty() ? Map.of() : new HashMap<>();
        for (TaskStatus task : heartbeat.tasks()) {
            if (task.state() == TaskStatus.State.EXITED) {
                Job job = state.jobs().get(task.task().jobId());
                Exit exit = new Exit(task.task(), task.attempt());
                Long version = exits.get(exit);
                if (version != null) {
                    stillListed.put(exit, version);
                }
                // A job that is no longer here has its final state in the store.
                if (job == null || version != null && version <= job.persistence.durableVersion()) {
                    commands.add(TaskCommand.acknowledgeExit(task.task(), task.attempt()));
                }
            } else if (findAttempt(machine, task) == null) {
                commands.add(TaskCommand.stop(task.task(), task.attempt(), 0));
            }
        }
        if (!exits.isEmpty()) {
            acknowledgeAfterVersion.put(machine.host, stillListed);
        }
        // Halts go out at once: an answer without them would renew the lease of what must be gone
        // in time.
        boolean launches =
                machine.hasAcknowledgedTerm()
                        && !machine.acceptsDirectCommands(state.nowMicros())
                        && !machine.liveness.isSuspect(state.nowMicros());
        for (TaskAttempt attempt : machine.attempts()) {
            if (commands.size() >= MAX_COMMANDS) {
                break;
            }
            if (attempt.isStopping() && !attempt.wasNeverSent()) {
                commands.add(
                        TaskCommand.stop(
                                attempt.task(), attempt.attempt, attempt.gracePeriodSeconds()));
            } else if (attempt.stage() == Stage.READY && launches && !attempt.isStopping()) {
                attempt.onStartSentInAnswer(heartbeat.sequence(), machine.liveness.fencingToken());
                commands.add(TaskCommand.start(attempt.task(), attempt.attempt));
            }
        }
        return commands;
    }

    /** Drops what is kept for machines that are no longer known. */
    public void forget() {
        acknowledgeAfterVersion.keySet().retainAll(state.machines().keySet());
    }
}
