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
    private static final int MAX_ORDERS = 400;
    private static final long ERROR_BACKOFF_MICROS = 1_000_000;
    private static final long MAX_BACKOFF_MICROS = 60_000_000;

    /** On so many machines a job without fault may have failed. */
    private static final int FAULTY_AT_ONCE = 2;

    private final SchedulerState world;
    private final MachineRegistry table;
    private final TaskLossHandler losses;

    /** Exits that may be cleared once the job's record has reached a version. */
    private final Map<String, Map<Exit, Long>> clearAfter = new HashMap<>();

    /**
     * Numbers the messages that were taken in, to tell which placements the one at hand has listed.
     */
    private long readings;

    private record Exit(TaskId task, long attempt) {}

    public HeartbeatHandler(SchedulerState world, MachineRegistry table, TaskLossHandler losses) {
        this.world = world;
        this.table = table;
        this.losses = losses;
    }

    /** A report that waits for an answer. */
    public void report(SchedulerEvent.HeartbeatReceived command) {
        Heartbeat report = command.heartbeat();
        Machine machine =
                table.reported(
                        new MachineRecord(
                                report.host(),
                                report.machineType(),
                                report.zone(),
                                report.spot(),
                                false));
        if (laterTerm(machine, report)) {
            return;
        }
        if (!machine.hearing.mayWaitFor(report, world.nowMicros)) {
            // Nobody waits for this answer; if somebody did, it would renew a lease that counts as
            // running out.
            world.emit(new SchedulerAction.RejectHeartbeat(command.requestId()));
            return;
        }
        machine.lastAnsweredMicros = world.nowMicros;
        MessageAge age = absorb(machine, report, AgentLiveness.NEVER);
        List<TaskCommand> commands = age != MessageAge.COPY ? orders(machine, report) : List.of();
        if (age == MessageAge.PERHAPS_OLD) {
            machine.hearing.challenge();
        }
        if (age != MessageAge.COPY && !machine.hearing.heardToken()) {
            machine.greet();
        }
        world.emit(
                new SchedulerAction.AnswerHeartbeat(
                        command.requestId(), machine.hearing.issue(world.nowMicros), commands));
    }

    /**
     * True if the worker has heard of a later leader. A higher token of this term is of a machine
     * that was forgotten.
     */
    public boolean laterTerm(Machine machine, Heartbeat report) {
        if (report.fencingToken() <= machine.hearing.token()) {
            return false;
        }
        if (report.fencingToken() >> AgentLiveness.FENCE_BITS == world.term) {
            machine.hearing.passOver(report.fencingToken());
            return false;
        }
        world.emit(
                new SchedulerAction.StepDown(
                        "worker " + report.host() + " has seen token " + report.fencingToken()));
        return true;
    }

    /**
     * Takes in a report, or the body of a direct command's answer.
     *
     * @param sinceMicros when the direct command was sent, {@link AgentLiveness#NEVER} for a report
     *     of its own, which alone shows that the answer to the one before was dealt with
     */
    public MessageAge absorb(Machine machine, Heartbeat report, long sinceMicros) {
        AgentLiveness hearing = machine.hearing;
        MessageAge age =
                machine.deleted
                        ? MessageAge.COPY
                        : hearing.judge(report, sinceMicros, world.nowMicros);
        if (age == MessageAge.COPY) {
            return age;
        }
        boolean own = sinceMicros == AgentLiveness.NEVER;
        boolean newSession =
                hearing.incarnation() > 0 && report.incarnation() > hearing.incarnation();
        boolean first = !machine.acknowledged();
        boolean doubted = hearing.inDoubt(world.nowMicros);
        boolean unheard = !machine.heard();
        hearing.take(report, age, sinceMicros, world.nowMicros);
        if (first && machine.acknowledged()) {
            world.placementWorthTrying = true;
            machine.lastAnsweredMicros = Math.max(machine.lastAnsweredMicros, world.nowMicros);
        }
        if (unheard && machine.heard()) {
            machine.confirm();
            machine.idleSinceMicros = world.nowMicros;
            world.log(
                    LogEntry.info(LogEvent.MACHINE_UP)
                            .with("machine", machine.host)
                            .with("zone", machine.zone));
        }
        if (doubted && !hearing.inDoubt(world.nowMicros)) {
            world.placementWorthTrying = true;
        }
        if (newSession || first) {
            machine.attend();
        }
        machine.addr = report.address();
        if (report.spotNoticeMicros() >= 0 && age == MessageAge.FRESH) {
            if (machine.takenMicros < 0) {
                world.log(
                        LogEntry.info(LogEvent.SPOT_NOTICE)
                                .with("machine", machine.host)
                                .withSeconds("notice_s", report.spotNoticeMicros()));
            }
            machine.takenMicros = world.nowMicros + report.spotNoticeMicros();
        }
        if (newSession) {
            // The new session's lease runs from its start, which may be later than our last answer:
            // a session that is
            // first seen in the body of a direct command has not been answered at all.
            machine.lastAnsweredMicros = Math.max(machine.lastAnsweredMicros, world.nowMicros);
            newSession(machine);
            // It may have ended because nothing reaches the worker any more.
            hearing.mistrust(world.nowMicros);
        }
        List<TaskStatus> tasks = report.tasks();
        TaskAttempt[] listed = new TaskAttempt[tasks.size()];
        long reading = ++readings;
        int found = 0;
        for (int i = 0; i < listed.length; i++) {
            TaskStatus task = tasks.get(i);
            TaskAttempt placement = placement(machine, task);
            listed[i] = placement;
            if (placement == null) {
                if (task.state() == TaskStatus.State.EXITED) {
                    strangeExit(machine, task);
                }
            } else if (placement.listedIn != reading) {
                placement.listedIn = reading;
                found++;
            }
        }
        if (found < machine.placements().size()) {
            for (TaskAttempt placement : machine.snapshot()) {
                if (placement.listedIn != reading) {
                    notListed(placement, report, own);
                }
            }
        }
        for (int i = 0; i < listed.length; i++) {
            if (listed[i] != null && tasks.get(i).state() == TaskStatus.State.EXITED) {
                exited(listed[i], tasks.get(i));
            } else if (listed[i] != null) {
                there(listed[i], tasks.get(i));
            }
        }
        return age;
    }

    private void newSession(Machine machine) {
        for (TaskAttempt placement : machine.snapshot()) {
            // An earlier leader may have launched it in this session, or may still: what the
            // message lists decides about it.
            if (!placement.neverSent() && placement.stage != Stage.INHERITED) {
                losses.lost(placement, "the worker's lease ended");
            }
        }
    }

    private TaskAttempt placement(Machine machine, TaskStatus task) {
        Job job = world.jobs.get(task.task().jobId());
        TaskAttempt placement = job == null ? null : job.placement(task.task().index());
        return placement != null
                        && placement.machine == machine
                        && placement.attempt == task.attempt()
                ? placement
                : null;
    }

    private void there(TaskAttempt placement, TaskStatus task) {
        if (placement.stage != Stage.SENT) {
            placement.stage = Stage.THERE;
        }
        Machine machine = placement.machine;
        if (task.state() == TaskStatus.State.RUNNING
                && placement.seen != TaskStatus.State.RUNNING) {
            placement.runningSinceMicros = world.nowMicros;
            placement.job.recording.needs(PersistenceState.WriteReason.PHASE);
        }
        if (task.state() == TaskStatus.State.RUNNING) {
            machine.images.used(
                    placement.job.description.image(),
                    placement.job.description.imageGb(),
                    machine.type == null ? 0 : machine.type.imageCacheGb());
        }
        placement.seen = task.state();
    }

    private void notListed(TaskAttempt placement, Heartbeat report, boolean own) {
        switch (placement.stage) {
            case THERE -> losses.lost(placement, "no longer reported");
            case UNANSWERED -> {
                // The worker refuses the old token from here on, so the late launch can no longer
                // be executed.
                if (report.fencingToken() > placement.sentToken) {
                    losses.lost(placement, "the launch never arrived");
                }
            }
            case ANSWERED -> {
                // A worker has one report in flight: this one was made after the answer was
                // executed or dropped.
                if (own && report.sequence() > placement.answeredTick) {
                    if (placement.halting()) {
                        losses.gone(placement);
                    } else {
                        placement.ready();
                    }
                    // One lost answer is nothing; if the next ones are lost as well, the worker is
                    // deaf.
                    placement.machine.hearing.challenge();
                }
            }
            case INHERITED -> {
                if (report.fencingToken() >> AgentLiveness.FENCE_BITS == world.term) {
                    losses.lost(placement, "not found by the new leader");
                }
            }
            default -> {
                // PLANNED and READY were never sent; SENT is settled by the answer to the direct
                // command.
            }
        }
    }

    private void exited(TaskAttempt placement, TaskStatus task) {
        Job job = placement.job;
        Machine machine = placement.machine;
        boolean service = job.description.isService();
        world.log(
                LogEntry.debug(LogEvent.TASK_EXITED)
                        .with("task", placement.task())
                        .with("attempt", placement.attempt)
                        .with("machine", machine.host)
                        .with("reason", task.exitReason()));
        if (task.exitReason() == TaskStatus.ExitReason.DONE && !service) {
            job.markDone(placement.index);
        } else if (task.exitReason() == TaskStatus.ExitReason.ERROR) {
            failed(job, machine);
        } else if (task.exitReason() == TaskStatus.ExitReason.UNKNOWN_TASK) {
            job.notBeforeMicros = world.nowMicros + ERROR_BACKOFF_MICROS;
        } else if (task.exitReason() == TaskStatus.ExitReason.INSUFFICIENT_RESOURCES
                || task.exitReason() == TaskStatus.ExitReason.ALREADY_RUNNING) {
            world.log(
                    LogEntry.info(LogEvent.TASK_REFUSED)
                            .with("task", placement.task())
                            .with("machine", machine.host)
                            .with("reason", task.exitReason()));
            machine.fullUntilMicros = world.nowMicros + ERROR_BACKOFF_MICROS;
        }
        if (!task.wasRefused()) {
            machine.images.used(
                    job.description.image(),
                    job.description.imageGb(),
                    machine.type == null ? 0 : machine.type.imageCacheGb());
        }
        losses.gone(placement);
        if (job.allDone()) {
            job.recording.needs(PersistenceState.WriteReason.LAUNCH);
        }
        noteExit(machine, task, job.recording.nextVersion());
    }

    private void failed(Job job, Machine machine) {
        job.failures++;
        job.failedOn.add(machine.host);
        machine.failedJobs.put(job.jobId(), world.nowMicros);
        // Failures of several jobs point at the machine; those of a job that fails on many machines
        // point at the job alone.
        machine.failedJobs
                .entrySet()
                .removeIf(
                        failure ->
                                world.nowMicros - failure.getValue() > 60_000_000
                                        || world.jobs.containsKey(failure.getKey())
                                                && world.jobs.get(failure.getKey()).failedOn.size()
                                                        > FAULTY_AT_ONCE);
        boolean machineAtFault = machine.failedJobs.size() >= 2;
        if (machineAtFault && machine.quarantinedUntilMicros < world.nowMicros) {
            machine.quarantinedUntilMicros =
                    world.nowMicros + world.settings.operator().quarantineMicros();
            world.log(
                    LogEntry.info(LogEvent.MACHINE_QUARANTINED)
                            .with("machine", machine.host)
                            .with("failed_jobs", machine.failedJobs.size()));
        }
        if (job.failedOn.size() > 1) {
            long pause = ERROR_BACKOFF_MICROS << Math.min(6, job.failures);
            job.notBeforeMicros = world.nowMicros + Math.min(MAX_BACKOFF_MICROS, pause);
        }
    }

    /**
     * An exit that no placement accounts for: an earlier leader's, or one that was taken for lost.
     */
    private void strangeExit(Machine machine, TaskStatus task) {
        Map<Exit, Long> known = clearAfter.get(machine.host);
        if (known != null && known.containsKey(new Exit(task.task(), task.attempt()))) {
            return;
        }
        Job job = world.jobs.get(task.task().jobId());
        int index = task.task().index();
        if (job != null
                && index < job.description.taskCount()
                && task.exitReason() == TaskStatus.ExitReason.DONE
                && !job.description.isService()
                && !job.cancelled
                && job.markDone(index)) {
            TaskAttempt other = job.placement(index);
            if (other != null && other.neverSent()) {
                losses.gone(other);
            } else if (other != null) {
                other.halt(0);
            }
            job.recording.needs(
                    job.allDone()
                            ? PersistenceState.WriteReason.LAUNCH
                            : PersistenceState.WriteReason.OUTCOME);
            noteExit(machine, task, job.recording.nextVersion());
        } else if (job != null) {
            noteExit(machine, task, 0);
        }
    }

    private void noteExit(Machine machine, TaskStatus task, long version) {
        clearAfter
                .computeIfAbsent(machine.host, h -> new HashMap<>())
                .put(new Exit(task.task(), task.attempt()), version);
    }

    private List<TaskCommand> orders(Machine machine, Heartbeat report) {
        List<TaskCommand> commands = new ArrayList<>();
        Map<Exit, Long> exits = clearAfter.getOrDefault(machine.host, Map.of());
        Map<Exit, Long> stillListed = exits.isEmpty() ? Map.of() : new HashMap<>();
        for (TaskStatus task : report.tasks()) {
            if (task.state() == TaskStatus.State.EXITED) {
                Job job = world.jobs.get(task.task().jobId());
                Exit exit = new Exit(task.task(), task.attempt());
                Long version = exits.get(exit);
                if (version != null) {
                    stillListed.put(exit, version);
                }
                // A job that is no longer here has its final state in the store.
                if (job == null || version != null && version <= job.recording.durable) {
                    commands.add(TaskCommand.acknowledgeExit(task.task(), task.attempt()));
                }
            } else if (placement(machine, task) == null) {
                commands.add(TaskCommand.stop(task.task(), task.attempt(), 0));
            }
        }
        if (!exits.isEmpty()) {
            clearAfter.put(machine.host, stillListed);
        }
        // Halts go out at once: an answer without them would renew the lease of what must be gone
        // in time.
        boolean launches =
                machine.acknowledged()
                        && !machine.directWorks(world.nowMicros)
                        && !machine.hearing.inDoubt(world.nowMicros);
        for (TaskAttempt placement : machine.placements()) {
            if (commands.size() >= MAX_ORDERS) {
                break;
            }
            if (placement.halting() && !placement.neverSent()) {
                commands.add(
                        TaskCommand.stop(placement.task(), placement.attempt, placement.windDownS));
            } else if (placement.stage == Stage.READY && launches && !placement.halting()) {
                placement.stage = Stage.ANSWERED;
                placement.answeredTick = report.sequence();
                placement.sentToken = machine.hearing.token();
                commands.add(TaskCommand.start(placement.task(), placement.attempt));
            }
        }
        return commands;
    }

    /** Drops what is kept for machines that are no longer known. */
    public void forget() {
        clearAfter.keySet().retainAll(world.machines.keySet());
    }
}
