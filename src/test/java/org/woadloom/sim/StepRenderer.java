package org.woadloom.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.core.delegation.PeerStatus;
import org.woadloom.golden.CanonicalJson;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.ListedMachine;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.protocol.TaskStatus;
import org.woadloom.store.FinalRecord;
import org.woadloom.store.JobRecord;
import org.woadloom.store.MachineRecord;
import org.woadloom.store.NodeAnnouncement;
import org.woadloom.store.RecordFormat;

/**
 * Renders the events and actions of a scheduler step as text for {@link BehaviourDigest}. Each has
 * a literal tag followed by its values in a fixed order; records have their stored form. The text
 * contains no names of classes, methods, fields or constants, so that renaming them does not change
 * it. An unknown event or action is an error.
 */
final class StepRenderer {
    private StepRenderer() {}

    /**
     * Returns one line for the step, one for each event and one for each action except log entries.
     */
    static String render(
            int node, long nowMicros, List<SchedulerEvent> events, List<SchedulerAction> actions) {
        StringBuilder out = new StringBuilder();
        line(out, "step ", list(node, nowMicros));
        for (SchedulerEvent event : events) {
            line(out, "  in  ", event(event));
        }
        for (SchedulerAction action : actions) {
            if (!(action instanceof SchedulerAction.Log)) {
                line(out, "  out ", action(action));
            }
        }
        return out.toString();
    }

    private static void line(StringBuilder out, String begin, List<Object> values) {
        out.append(begin);
        CanonicalJson.write(out, values);
        out.append('\n');
    }

    private static List<Object> event(SchedulerEvent event) {
        if (event instanceof SchedulerEvent.LeadershipAcquired c) {
            return list(
                    "lead",
                    c.term(),
                    each(c.jobs(), StepRenderer::storedJob),
                    each(c.machines(), StepRenderer::storedMachine),
                    c.cancellationsReadUpToMicros());
        } else if (event instanceof SchedulerEvent.LeadershipLost) {
            return list("step-down");
        } else if (event instanceof SchedulerEvent.JobStored c) {
            return list("job-record", job(c.record()), c.revision());
        } else if (event instanceof SchedulerEvent.JobRecordDamaged c) {
            return list(
                    "job-record-partly-unreadable", c.jobId(), c.revision(), c.knownCancelled());
        } else if (event instanceof SchedulerEvent.CancellationsConfirmed c) {
            return list("cancellations-told", c.jobIds());
        } else if (event instanceof SchedulerEvent.JobRecordNotFound c) {
            return list("job-record-missing", c.jobId());
        } else if (event instanceof SchedulerEvent.JobReadFailed c) {
            return list("job-record-unreadable", c.jobId());
        } else if (event instanceof SchedulerEvent.DependencyResolved c) {
            return list("job-found", c.jobId(), dependencyState(c.state()), c.endedWallMicros());
        } else if (event instanceof SchedulerEvent.StoreLimitsChanged c) {
            return list(
                    "storage",
                    c.maxValueBytes(),
                    format(c.recordFormat()),
                    c.writesPerSecond(),
                    c.delegationEnabled(),
                    c.recordsMachineLifecycle());
        } else if (event instanceof SchedulerEvent.PeerStatusReceived c) {
            return list(
                    "node-standing",
                    c.node(),
                    peerStatus(c.status()),
                    c.cancellationsReadUpToMicros());
        } else if (event instanceof SchedulerEvent.MachineRecordRead c) {
            return list(
                    "machine-record",
                    c.host(),
                    c.record() == null ? null : machine(c.record()),
                    c.revision());
        } else if (event instanceof SchedulerEvent.MachineReadFailed c) {
            return list("machine-record-unreadable", c.host());
        } else if (event instanceof SchedulerEvent.HeartbeatReceived c) {
            return list("report", c.requestId(), heartbeat(c.heartbeat()));
        } else if (event instanceof SchedulerEvent.DirectCommandCompleted c) {
            return list(
                    "direct-result",
                    c.commandId(),
                    c.host(),
                    c.status(),
                    c.heartbeat() == null ? null : heartbeat(c.heartbeat()));
        } else if (event instanceof SchedulerEvent.JobWriteCompleted c) {
            return list("job-written", c.jobId(), c.version(), outcome(c.outcome()), c.revision());
        } else if (event instanceof SchedulerEvent.MachineWriteCompleted c) {
            return list(
                    "machine-written",
                    c.host(),
                    c.decommissioning(),
                    c.deleted(),
                    outcome(c.outcome()),
                    c.revision());
        } else if (event instanceof SchedulerEvent.MachineTypesRead c) {
            return list("machine-types", each(c.types(), MachineType::toMap));
        } else if (event instanceof SchedulerEvent.MachinesListed c) {
            return list("machines-listed", each(c.machines(), StepRenderer::listedMachine));
        } else if (event instanceof SchedulerEvent.ScaleOutCompleted c) {
            return list("rented", c.requestName(), outcome(c.outcome()), c.hosts());
        } else if (event instanceof SchedulerEvent.MachineDeletionCompleted c) {
            return list("deleted", c.hosts(), c.succeeded());
        } else if (event instanceof SchedulerEvent.RolloutStateRead c) {
            return list(
                    "rollout",
                    c.record().toMap(),
                    c.revision(),
                    sorted(c.announcements(), StepRenderer::announcement),
                    sorted(c.requests(), request -> request.toMap()),
                    List.copyOf(new TreeSet<>(c.unannouncedNodes())),
                    c.agreedVersion(),
                    c.agreedVersionRevision(),
                    c.overloadSignals());
        } else if (event instanceof SchedulerEvent.RolloutWriteCompleted c) {
            return list("rollout-written", c.recordNumber(), outcome(c.outcome()), c.revision());
        } else if (event instanceof SchedulerEvent.RecordsCounted c) {
            return list(
                    "records-counted",
                    c.feature().key(),
                    c.rollingBack(),
                    c.succeeded(),
                    c.outdated(),
                    c.unreadable());
        } else if (event instanceof SchedulerEvent.Tick) {
            return list("time");
        }
        throw new IllegalArgumentException("no text defined for event: " + event);
    }

    private static List<Object> action(SchedulerAction action) {
        if (action instanceof SchedulerAction.AnswerHeartbeat e) {
            return list(
                    "answer",
                    e.requestId(),
                    e.fencingToken(),
                    each(e.commands(), TaskCommand::toMap));
        } else if (action instanceof SchedulerAction.RejectHeartbeat e) {
            return list("turn-away", e.requestId());
        } else if (action instanceof SchedulerAction.SendDirectCommand e) {
            return list(
                    "send-direct",
                    e.commandId(),
                    e.host(),
                    e.address(),
                    e.fencingToken(),
                    e.incarnation(),
                    each(e.commands(), TaskCommand::toMap));
        } else if (action instanceof SchedulerAction.WriteJob e) {
            return list("put-job", job(e.record()), e.revision(), e.urgent());
        } else if (action instanceof SchedulerAction.WriteFinalState e) {
            return list("finish-job", finalRecord(e.record()), e.revision(), e.version());
        } else if (action instanceof SchedulerAction.ReadJob e) {
            return list("read-job", e.jobId());
        } else if (action instanceof SchedulerAction.ResolveDependency e) {
            return list("find-job", e.jobId());
        } else if (action instanceof SchedulerAction.WriteMachine e) {
            return list("put-machine", machine(e.record()), e.revision());
        } else if (action instanceof SchedulerAction.DeleteMachineRecord e) {
            return list("drop-machine", e.host(), e.revision());
        } else if (action instanceof SchedulerAction.ReadMachine e) {
            return list("read-machine", e.host());
        } else if (action instanceof SchedulerAction.RentMachines e) {
            return list("rent", e.requestName(), e.machineType(), e.zone(), e.spot(), e.count());
        } else if (action instanceof SchedulerAction.DeleteMachines e) {
            return list("delete", e.hosts());
        } else if (action instanceof SchedulerAction.DelegateLeases e) {
            return list("give-warrant", e.node(), leaseDelegation(e.delegation()));
        } else if (action instanceof SchedulerAction.StepDown) {
            // The reason is omitted because it is only logged.
            return list("abdicate");
        } else if (action instanceof SchedulerAction.WriteRollout e) {
            return list(
                    "put-rollout",
                    e.record().toMap(),
                    new TreeMap<>(e.expectedRevisions()),
                    e.agreedVersion());
        } else if (action instanceof SchedulerAction.CountRecords e) {
            return list("count-records", e.feature().key(), e.rollingBack());
        } else if (action instanceof SchedulerAction.PublishServiceLevels e) {
            return list(
                    "served",
                    each(
                            e.rows(),
                            r ->
                                    list(
                                            r.team(),
                                            r.jobClass(),
                                            r.accepted(),
                                            r.fullyStarted(),
                                            r.ended(),
                                            r.cancelled(),
                                            r.longestWaitMicros())));
        }
        throw new IllegalArgumentException("no text defined for action: " + action);
    }

    /** Like {@link List#of} but allows null. */
    private static List<Object> list(Object... values) {
        return Arrays.asList(values);
    }

    private static <T> List<Object> each(Collection<T> items, Function<T, Object> render) {
        List<Object> rendered = new ArrayList<>();
        items.forEach(item -> rendered.add(render.apply(item)));
        return rendered;
    }

    private static <T> Map<String, Object> sorted(
            Map<String, T> items, Function<T, Object> render) {
        Map<String, Object> rendered = new TreeMap<>();
        items.forEach((key, item) -> rendered.put(key, render.apply(item)));
        return rendered;
    }

    private static List<Object> storedJob(SchedulerEvent.StoredJob stored) {
        return list(job(stored.record()), stored.revision());
    }

    private static List<Object> storedMachine(SchedulerEvent.StoredMachine stored) {
        return list(machine(stored.record()), stored.revision());
    }

    /** Uses the compact format because it can represent every record, also of waiting jobs. */
    private static Map<String, Object> job(JobRecord record) {
        return record.toMap(RecordFormat.COMPACT);
    }

    private static List<Object> finalRecord(FinalRecord record) {
        return list(record.jobId(), record.toMap(RecordFormat.COMPACT));
    }

    private static List<Object> machine(MachineRecord record) {
        return list(record.host(), record.toMap());
    }

    private static List<Object> announcement(SchedulerEvent.StoredAnnouncement stored) {
        NodeAnnouncement announcement = stored.announcement();
        return list(announcement.toMap(), stored.revision());
    }

    private static List<Object> peerStatus(PeerStatus status) {
        return list(
                status.processId(),
                status.uptimeMicros(),
                status.sentMicros(),
                status.term(),
                status.echoedLeaderClockMicros(),
                status.noRenewalForMicros(),
                status.sinceLastRenewalMicros(),
                status.storeSilentMicros());
    }

    private static List<Object> leaseDelegation(LeaseDelegation delegation) {
        return list(
                delegation.term(),
                delegation.statusSentMicros(),
                delegation.leaderClockMicros(),
                delegation.cancellationLagMicros());
    }

    private static List<Object> listedMachine(ListedMachine machine) {
        return list(
                machine.host(),
                machine.address(),
                machine.machineType(),
                machine.zone(),
                machine.spot(),
                machine.status(),
                machine.rentedForMicros());
    }

    /** As on the wire, except that the spot notice is in microseconds. */
    private static Map<String, Object> heartbeat(Heartbeat heartbeat) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("host", heartbeat.host());
        map.put("addr", heartbeat.address());
        map.put("hosttype", heartbeat.machineType());
        map.put("yard", heartbeat.zone());
        map.put("reclaimable", heartbeat.spot());
        map.put("tenure", heartbeat.incarnation());
        map.put("tick", heartbeat.sequence());
        map.put("epoch", heartbeat.fencingToken());
        map.put("warningMicros", heartbeat.spotNoticeMicros());
        map.put("shards", each(heartbeat.tasks(), StepRenderer::task));
        return map;
    }

    private static List<Object> task(TaskStatus status) {
        return list(
                status.task().jobId(),
                status.task().index(),
                status.attempt(),
                state(status.state()),
                status.exitReason() == null ? null : exitReason(status.exitReason()),
                status.checkpointed());
    }

    private static String state(TaskStatus.State state) {
        return switch (state) {
            case FETCHING -> "fetching";
            case GATHERING -> "gathering";
            case RUNNING -> "running";
            case CHECKPOINTING -> "flushing";
            case EXITED -> "exited";
        };
    }

    private static String exitReason(TaskStatus.ExitReason reason) {
        return switch (reason) {
            case DONE -> "done";
            case STOPPED -> "halted";
            case ERROR -> "error";
            case INSUFFICIENT_RESOURCES -> "no_room";
            case ALREADY_RUNNING -> "busy";
            case UNKNOWN_TASK -> "unknown";
            case GANG_LOST -> "peers";
            case GANG_INCOMPLETE -> "incomplete";
        };
    }

    private static String dependencyState(SchedulerEvent.DependencyState state) {
        return switch (state) {
            case OPEN -> "open";
            case DONE -> "done";
            case CANCELLED -> "cancelled";
            case NOT_FOUND -> "not-found";
            case UNREADABLE -> "unreadable";
        };
    }

    private static String format(RecordFormat format) {
        return switch (format) {
            case PLAIN -> "plain";
            case COMPACT -> "compact";
        };
    }

    private static String outcome(SchedulerEvent.WriteOutcome outcome) {
        return switch (outcome) {
            case WRITTEN -> "written";
            case CONFLICT -> "conflict";
            case UNKNOWN -> "unknown";
            case NOT_WRITTEN -> "not-written";
            case TOO_LARGE -> "too-large";
        };
    }

    private static String outcome(SchedulerEvent.ScaleOutOutcome outcome) {
        return switch (outcome) {
            case RENTED -> "rented";
            case NO_CAPACITY -> "no-capacity";
            case REFUSED -> "refused";
            case UNKNOWN -> "unknown";
        };
    }
}
