package org.woadloom.core;

import java.util.List;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;
import org.woadloom.protocol.MachineType;
import org.woadloom.store.RecordFormat;

/**
 * The scheduler: a deterministic state machine that owns all cluster state while this node is the
 * leader. It consumes events and emits actions. The same events at the same times give the same
 * actions; it reads no clock, file or socket.
 *
 * <p>Every node has one. While the node is not the leader, the scheduler keeps only the limits of
 * the store and the machine types, and emits no actions.
 */
public final class Scheduler {
    private final SchedulerSettings settings;
    private List<MachineType> machineTypes = List.of();
    private SchedulerEvent.StoreLimitsChanged storeLimits =
            new SchedulerEvent.StoreLimitsChanged(0, RecordFormat.PLAIN, 0, false, false);

    /** The current term of leadership; null while this node is not the leader. */
    private LeaderTerm leaderTerm;

    public Scheduler(SchedulerSettings settings) {
        this.settings = settings;
    }

    /** How many jobs have no final state in the store; 0 while this node is not the leader. */
    public int openJobCount() {
        return countInTerm(term -> term.state().jobs().size());
    }

    /** How many jobs wait for their dependencies. */
    public int blockedJobCount() {
        return countInTerm(term -> term.state().dependencies().blockedCount());
    }

    /** How many machines are known, including those that have not come up or are to be deleted. */
    public int machineCount() {
        return countInTerm(term -> term.state().machines().size());
    }

    /** How many machines send heartbeats but can't be reached by direct commands. */
    public int unreachableMachineCount() {
        return countInTerm(LeaderTerm::unreachableMachineCount);
    }

    /** How many exits this term has acknowledged to agents. */
    public long acknowledgedExitCount() {
        return sumInTerm(term -> term.heartbeatHandler().acknowledgedExitCount());
    }

    /** How often in this term the acknowledgement of an exit waited for a direct command. */
    public long heldExitCount() {
        return sumInTerm(term -> term.heartbeatHandler().heldExitCount());
    }

    /** How often in this term an agent's fencing token was raised to acknowledge exits. */
    public long raisedTokenCount() {
        return sumInTerm(term -> term.heartbeatHandler().raisedTokenCount());
    }

    /** How many direct commands agents have refused in this term. */
    public long refusedCommandCount() {
        return sumInTerm(LeaderTerm::refusedCommandCount);
    }

    /** How many reservations of machine resources exist. */
    public int reservationCount() {
        return countInTerm(LeaderTerm::reservationCount);
    }

    /**
     * How many machines the placement and reservation searches of this term have examined; a
     * machine counts once for each job it is examined for.
     */
    public long machinesExamined() {
        return sumInTerm(LeaderTerm::machinesExamined);
    }

    /** How many records a feature rollout still has to rewrite. */
    public int recordsToMigrateCount() {
        return countInTerm(LeaderTerm::recordsToMigrate);
    }

    /** How many records could not be decoded when a feature rollout last counted them. */
    public int unreadableRecordCount() {
        return countInTerm(LeaderTerm::unreadableRecords);
    }

    private long sumInTerm(ToLongFunction<LeaderTerm> sum) {
        return leaderTerm == null ? 0 : sum.applyAsLong(leaderTerm);
    }

    private int countInTerm(ToIntFunction<LeaderTerm> count) {
        return leaderTerm == null ? 0 : count.applyAsInt(leaderTerm);
    }

    /**
     * Applies the events in order, then does the work that has become possible or due.
     *
     * @param nowMicros the time by a monotonic clock, used to measure durations
     * @param wallMicros the time since 1970, used in stored records and across nodes
     * @param events the events since the last step
     * @return the actions to execute, in this order; empty while this node is not the leader
     */
    public List<SchedulerAction> step(
            long nowMicros, long wallMicros, List<SchedulerEvent> events) {
        NodeEvents nodeEvents = new NodeEvents(nowMicros, wallMicros);
        for (SchedulerEvent event : events) {
            if (event instanceof SchedulerEvent.NodeEvent nodeEvent) {
                nodeEvent.accept(nodeEvents);
            } else if (event instanceof SchedulerEvent.TermEvent termEvent && leaderTerm != null) {
                leaderTerm.state().setTime(nowMicros, wallMicros);
                termEvent.accept(leaderTerm);
            }
        }
        if (leaderTerm == null) {
            return List.of();
        }
        leaderTerm.state().setTime(nowMicros, wallMicros);
        leaderTerm.runPass();
        return leaderTerm.state().takeActions();
    }

    /** Handles the events of one step that apply whether or not this node is the leader. */
    private final class NodeEvents implements SchedulerEvent.NodeEventHandler {
        private final long nowMicros;
        private final long wallMicros;

        NodeEvents(long nowMicros, long wallMicros) {
            this.nowMicros = nowMicros;
            this.wallMicros = wallMicros;
        }

        @Override
        public void onLeadershipAcquired(SchedulerEvent.LeadershipAcquired event) {
            SchedulerState state =
                    new SchedulerState(settings, event.term(), nowMicros, wallMicros);
            state.setStoreLimits(storeLimits);
            state.advanceCancellationsReadUpTo(event.cancellationsReadUpToMicros());
            leaderTerm = new LeaderTerm(state);
            leaderTerm.load(event, machineTypes);
        }

        @Override
        public void onLeadershipLost(SchedulerEvent.LeadershipLost event) {
            leaderTerm = null;
        }

        @Override
        public void onStoreLimitsChanged(SchedulerEvent.StoreLimitsChanged event) {
            storeLimits = event;
            if (leaderTerm != null) {
                leaderTerm.state().setTime(nowMicros, wallMicros);
                leaderTerm.state().setStoreLimits(event);
            }
        }

        @Override
        public void onMachineTypesRead(SchedulerEvent.MachineTypesRead event) {
            machineTypes = event.types();
            if (leaderTerm != null) {
                leaderTerm.onMachineTypes(machineTypes);
            }
        }
    }
}
