package org.woadloom.core;

import java.util.List;
import java.util.function.ToIntFunction;
import org.woadloom.protocol.MachineType;
import org.woadloom.store.RecordFormat;

/**
 * The scheduler: a deterministic state machine that owns all state of the cluster while this node
 * leads. Events go in, actions come out; the same events at the same times give the same actions,
 * and nothing in it reads a clock, a file or a socket.
 *
 * <p>Every node has one. While the node does not lead it knows no more than the limits of the store
 * and the machine types, and asks for nothing.
 */
public final class Scheduler {
    private final SchedulerSettings settings;
    private List<MachineType> machineTypes = List.of();
    private SchedulerEvent.StoreLimitsChanged storeLimits =
            new SchedulerEvent.StoreLimitsChanged(0, RecordFormat.PLAIN, 0, false, false);

    /** The term in which this node leads; null while it does not. */
    private LeaderTerm leaderTerm;

    public Scheduler(SchedulerSettings settings) {
        this.settings = settings;
    }

    /** Jobs that are not over, or not stored as such yet; 0 while this node does not lead. */
    public int openJobCount() {
        return countInTerm(term -> term.state().jobs().size());
    }

    /** Jobs that wait for those that they depend on. */
    public int blockedJobCount() {
        return countInTerm(term -> term.state().dependencies().blockedCount());
    }

    /** Machines that are known, also those that are only rented or about to be deleted. */
    public int machineCount() {
        return countInTerm(term -> term.state().machines().size());
    }

    /** Machines whose agents send heartbeats and that no direct command reaches. */
    public int unreachableMachineCount() {
        return countInTerm(LeaderTerm::unreachableMachineCount);
    }

    /** Reservations of resources for gangs. */
    public int reservationCount() {
        return countInTerm(LeaderTerm::reservationCount);
    }

    /** Machines that searches have examined in this term, counted anew for each job. */
    public long machinesExamined() {
        return leaderTerm == null ? 0 : leaderTerm.machinesExamined();
    }

    /** Records that a rollout still has to rewrite. */
    public int recordsToMigrateCount() {
        return countInTerm(LeaderTerm::recordsToMigrate);
    }

    /** Records that could not be read when a rollout counted them. */
    public int unreadableRecordCount() {
        return countInTerm(LeaderTerm::unreadableRecords);
    }

    private int countInTerm(ToIntFunction<LeaderTerm> count) {
        return leaderTerm == null ? 0 : count.applyAsInt(leaderTerm);
    }

    /**
     * Applies the events in order, then does what has become possible or due.
     *
     * @param nowMicros the time by a monotonic clock, for every span that is measured
     * @param wallMicros the time since 1970, for what is stored or compared between nodes
     * @param events what has happened since the last step
     * @return what is to be done, in this order; nothing while this node does not lead
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

    /** Handles the events that matter whether this node leads or not, at the time of one step. */
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
