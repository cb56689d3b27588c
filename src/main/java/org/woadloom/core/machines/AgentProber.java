package org.woadloom.core.machines;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.TaskAttempt;
import org.woadloom.core.liveness.AgentLiveness;

/**
 * Checks agents that may have lost contact with this leader.
 *
 * <p>An agent is suspect if it does not acknowledge the current fencing token in time, and
 * unreachable if its heartbeats keep arriving without an acknowledgement. Tasks planned for such an
 * agent but never sent to it are placed elsewhere.
 *
 * <p>An agent is silent if its heartbeats are overdue. A limited number of silent agents at a time
 * is probed with a direct command; an answer proves that the agent is alive. The probe carries the
 * current token, so an agent that still reports to a partitioned former leader learns of the new
 * term, and its next heartbeat makes the former leader step down.
 */
public final class AgentProber {
    /**
     * The limit of concurrent probes, unless the fleet is large enough for {@link
     * #MACHINES_PER_PROBE} to allow more.
     */
    private static final int MIN_PROBE_LIMIT = 16;

    /**
     * A large fleet may have one concurrent probe per this many machines, which stays within the
     * sockets available for direct commands.
     */
    private static final int MACHINES_PER_PROBE = 64;

    private final SchedulerState state;
    private final TaskLossHandler taskLosses;
    private final Set<String> unreachableHosts = new HashSet<>();
    private final Set<Machine> probed = new HashSet<>();

    public AgentProber(SchedulerState state, TaskLossHandler taskLosses) {
        this.state = state;
        this.taskLosses = taskLosses;
    }

    /** Checks all machines. Must be called periodically. */
    public void review() {
        probed.removeIf(machine -> isProbeOver(machine));
        List<Machine> silent = new ArrayList<>();
        for (Machine machine : state.machines().values()) {
            if (machine.isDeleted()) {
                unreachableHosts.remove(machine.host);
                continue;
            }
            if (machine.liveness.isSuspect(state.nowMicros()) && !machine.isEmpty()) {
                withdrawUnsentTasks(machine);
            }
            logReachability(machine);
            if (isSilent(machine)) {
                silent.add(machine);
            }
        }
        probe(silent);
    }

    private static boolean isProbeOver(Machine machine) {
        return machine.isDeleted()
                || (!machine.commands.isCommandInFlight() && !machine.commands.isTokenRequested());
    }

    /** Number of machines whose agent sends heartbeats but receives nothing from this leader. */
    public int unreachableCount() {
        return unreachableHosts.size();
    }

    /**
     * Releases attempts that were never sent, so that their tasks are placed elsewhere without
     * waiting for the agent to become reachable again.
     */
    private void withdrawUnsentTasks(Machine machine) {
        for (TaskAttempt attempt : machine.snapshot()) {
            if (attempt.wasNeverSent()) {
                taskLosses.onLost(attempt, "agent does not acknowledge commands");
            }
        }
    }

    private void logReachability(Machine machine) {
        AgentLiveness liveness = machine.liveness;
        if (liveness.isUnreachable(state.nowMicros())) {
            if (unreachableHosts.add(machine.host)) {
                state.log(
                        LogEntry.info(LogEvent.MACHINE_UNREACHABLE)
                                .with("machine", machine.host)
                                .with("zone", machine.zone)
                                .withSeconds(
                                        "unacknowledged_s",
                                        liveness.unacknowledgedForMicros(state.nowMicros())));
            }
        } else if (!unreachableHosts.isEmpty()
                && liveness.hasAcknowledgedToken()
                && unreachableHosts.remove(machine.host)) {
            state.log(
                    LogEntry.info(LogEvent.MACHINE_REACHABLE)
                            .with("machine", machine.host)
                            .with("zone", machine.zone));
        }
    }

    /**
     * True if heartbeats are overdue from an agent that was alive before, according to its messages
     * to this leader or to records of earlier leaders.
     */
    private boolean isSilent(Machine machine) {
        boolean wasAlive =
                machine.isKnownAlive() || machine.isHeartbeatRecorded() || !machine.isEmpty();
        long silentSinceMicros =
                Math.max(machine.liveness.lastHeartbeatMicros(), state.termStartMicros());
        return wasAlive
                && !machine.isDecommissioning()
                && !machine.address().isEmpty()
                && state.nowMicros() - silentSinceMicros
                        > state.livenessTimeouts().maxFreshAgeMicros();
    }

    private void probe(List<Machine> silent) {
        int maxProbes = Math.max(MIN_PROBE_LIMIT, state.machines().size() / MACHINES_PER_PROBE);
        if (silent.isEmpty() || probed.size() >= maxProbes) {
            return;
        }
        silent.sort(
                Comparator.comparingLong((Machine machine) -> machine.commands.lastProbeMicros()));
        for (Machine machine : silent) {
            if (probed.size() >= maxProbes
                    || state.nowMicros() - machine.commands.lastProbeMicros()
                            < state.settings().leaseDurationMicros() / 2) {
                return;
            }
            if (!machine.commands.isCommandInFlight()
                    && machine.acceptsDirectCommands(state.nowMicros())) {
                machine.commands.onProbe(state.nowMicros());
                machine.liveness.requireAcknowledgement();
                machine.requestToken();
                probed.add(machine);
            }
        }
    }
}
