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
        Heartbeat report = command.report();
        Machine machine =
                table.reported(
                        new MachineRecord(
                                report.host(),
                                report.hosttype(),
                                report.yard(),
                                report.reclaimable(),
                                false));
        if (laterTerm(machine, report)) {
            return;
        }
        if (!machine.hearing.mayWaitFor(report, world.nowMicros)) {
            // Nobody waits for this answer; if somebody did, it would renew a lease that counts as
            // running out.
            world.emit(new SchedulerAction.RejectHeartbeat(command.replyId()));
            return;
        }
        machine.lastAnsweredMicros = world.nowMicros;
        MessageAge age = absorb(machine, report, AgentLiveness.NEVER);
        List<TaskCommand> orders = age != MessageAge.COPY ? orders(machine, report) : List.of();
        if (age == MessageAge.PERHAPS_OLD) {
            machine.hearing.challenge();
        }
        if (age != MessageAge.COPY && !machine.hearing.heardToken()) {
            machine.greet();
        }
        world.emit(
                new SchedulerAction.AnswerHeartbeat(
                        command.replyId(), machine.hearing.issue(world.nowMicros), orders));
    }

    /**
     * True if the worker has heard of a later leader. A higher token of this term is of a machine
     * that was forgotten.
     */
    public boolean laterTerm(Machine machine, Heartbeat report) {
        if (report.epoch() <= machine.hearing.token()) {
            return false;
        }
        if (report.epoch() >> AgentLiveness.FENCE_BITS == world.term) {
            machine.hearing.passOver(report.epoch());
            return false;
        }
        world.emit(
                new SchedulerAction.StepDown(
                        "worker " + report.host() + " has seen token " + report.epoch()));
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
        boolean newSession = hearing.tenure() > 0 && report.tenure() > hearing.tenure();
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
                            .with("zone", machine.yard));
        }
        if (doubted && !hearing.inDoubt(world.nowMicros)) {
            world.placementWorthTrying = true;
        }
        if (newSession || first) {
            machine.attend();
        }
        machine.addr = report.addr();
        if (report.warningMicros() >= 0 && age == MessageAge.FRESH) {
            if (machine.takenMicros < 0) {
                world.log(
                        LogEntry.info(LogEvent.SPOT_NOTICE)
                                .with("machine", machine.host)
                                .withSeconds("notice_s", report.warningMicros()));
            }
            machine.takenMicros = world.nowMicros + report.warningMicros();
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
        Job job = world.jobs.get(task.task().uid());
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
                    placement.job.description.bundle(),
                    placement.job.description.pullGb(),
                    machine.type == null ? 0 : machine.type.cacheGb());
        }
        placement.seen = task.state();
    }

    private void notListed(TaskAttempt placement, Heartbeat report, boolean own) {
        switch (placement.stage) {
            case THERE -> losses.lost(placement, "no longer reported");
            case UNANSWERED -> {
                // The worker refuses the old token from here on, so the late launch can no longer
                // be executed.
                if (report.epoch() > placement.sentToken) {
                    losses.lost(placement, "the launch never arrived");
                }
            }
            case ANSWERED -> {
                // A worker has one report in flight: this one was made after the answer was
                // executed or dropped.
                if (own && report.tick() > placement.answeredTick) {
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
                if (report.epoch() >> AgentLiveness.FENCE_BITS == world.term) {
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
        boolean service = job.description.service();
        world.log(
                LogEntry.debug(LogEvent.TASK_EXITED)
                        .with("task", placement.task())
                        .with("attempt", placement.attempt)
                        .with("machine", machine.host)
                        .with("reason", task.cause()));
        if (task.cause() == TaskStatus.ExitReason.DONE && !service) {
            job.markDone(placement.index);
        } else if (task.cause() == TaskStatus.ExitReason.ERROR) {
            failed(job, machine);
        } else if (task.cause() == TaskStatus.ExitReason.UNKNOWN) {
            job.notBeforeMicros = world.nowMicros + ERROR_BACKOFF_MICROS;
        } else if (task.cause() == TaskStatus.ExitReason.NO_ROOM
                || task.cause() == TaskStatus.ExitReason.BUSY) {
            world.log(
                    LogEntry.info(LogEvent.TASK_REFUSED)
                            .with("task", placement.task())
                            .with("machine", machine.host)
                            .with("reason", task.cause()));
            machine.fullUntilMicros = world.nowMicros + ERROR_BACKOFF_MICROS;
        }
        if (!task.refused()) {
            machine.images.used(
                    job.description.bundle(),
                    job.description.pullGb(),
                    machine.type == null ? 0 : machine.type.cacheGb());
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
        machine.failedJobs.put(job.uid(), world.nowMicros);
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
        Job job = world.jobs.get(task.task().uid());
        int index = task.task().index();
        if (job != null
                && index < job.description.shards()
                && task.cause() == TaskStatus.ExitReason.DONE
                && !job.description.service()
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
        List<TaskCommand> orders = new ArrayList<>();
        Map<Exit, Long> exits = clearAfter.getOrDefault(machine.host, Map.of());
        Map<Exit, Long> stillListed = exits.isEmpty() ? Map.of() : new HashMap<>();
        for (TaskStatus task : report.tasks()) {
            if (task.state() == TaskStatus.State.EXITED) {
                Job job = world.jobs.get(task.task().uid());
                Exit exit = new Exit(task.task(), task.attempt());
                Long version = exits.get(exit);
                if (version != null) {
                    stillListed.put(exit, version);
                }
                // A job that is no longer here has its final state in the store.
                if (job == null || version != null && version <= job.recording.durable) {
                    orders.add(TaskCommand.clear(task.task(), task.attempt()));
                }
            } else if (placement(machine, task) == null) {
                orders.add(TaskCommand.halt(task.task(), task.attempt(), 0));
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
            if (orders.size() >= MAX_ORDERS) {
                break;
            }
            if (placement.halting() && !placement.neverSent()) {
                orders.add(
                        TaskCommand.halt(placement.task(), placement.attempt, placement.windDownS));
            } else if (placement.stage == Stage.READY && launches && !placement.halting()) {
                placement.stage = Stage.ANSWERED;
                placement.answeredTick = report.tick();
                placement.sentToken = machine.hearing.token();
                orders.add(TaskCommand.launch(placement.task(), placement.attempt));
            }
        }
        return orders;
    }

    /** Drops what is kept for machines that are no longer known. */
    public void forget() {
        clearAfter.keySet().retainAll(world.machines.keySet());
    }
}
