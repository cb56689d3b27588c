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
 * Reviews agents that are out of touch. One that is unreachable (its heartbeats come, and nothing
 * reaches it) or suspect gets no more starts: what was meant for it goes elsewhere. One that is
 * silent is probed by a direct command, a few at a time: an answer tells that it is alive. An agent
 * that reports to a partitioned earlier leader learns the present token that way, and its next
 * heartbeat makes that leader step down.
 */
public final class AgentProber {
    /**
     * Agents that are probed at a time in a small fleet; in a large one it is one for each so many
     * machines, within the sockets for direct commands.
     */
    private static final int MIN_PROBES = 16;

    private static final int MACHINES_PER_PROBE = 64;

    private final SchedulerState state;
    private final TaskLossHandler taskLosses;
    private final Set<String> unreachableHosts = new HashSet<>();
    private final Set<Machine> probed = new HashSet<>();

    public AgentProber(SchedulerState state, TaskLossHandler taskLosses) {
        this.state = state;
        this.taskLosses = taskLosses;
    }

    /** To be called at intervals: walks over all machines. */
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

    /** How many machines have agents that report but are reached by nothing. */
    public int unreachableCount() {
        return unreachableHosts.size();
    }

    /**
     * What was never sent can go elsewhere: the agent may be reachable again at any time, but is
     * not waited for.
     */
    private void withdrawUnsentTasks(Machine machine) {
        for (TaskAttempt attempt : machine.snapshot()) {
            if (attempt.wasNeverSent()) {
                taskLosses.onLost(attempt, "the worker does not hear");
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
     * True if no heartbeat comes from an agent that was up, by its messages to this leader or by
     * what earlier leaders have recorded.
     */
    private boolean isSilent(Machine machine) {
        boolean known =
                machine.isKnownAlive() || machine.isHeartbeatRecorded() || !machine.isEmpty();
        long since = Math.max(machine.liveness.lastHeartbeatMicros(), state.termStartMicros());
        return known
                && !machine.isDecommissioning()
                && !machine.address().isEmpty()
                && state.nowMicros() - since > state.livenessTimeouts().maxFreshAgeMicros();
    }

    private void probe(List<Machine> silent) {
        int maxProbes = Math.max(MIN_PROBES, state.machines().size() / MACHINES_PER_PROBE);
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
