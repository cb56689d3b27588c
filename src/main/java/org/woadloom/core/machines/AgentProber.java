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
 * Looks after workers that are out of touch. One that is deaf (it reports, and nothing reaches it)
 * or in doubt gets no more launches: what was meant for it goes elsewhere. One that is silent is
 * spoken to directly, a few at a time: an answer tells that it lives, and one that reports to a
 * controller that has lost everybody else learns of the present token that way, which that
 * controller then can't help hearing of.
 */
public final class AgentProber {
    /**
     * As many at a time in any fleet, and one more for each so many machines, within the sockets
     * for direct commands.
     */
    private static final int MIN_PROBES = 16;

    private static final int MACHINES_PER_PROBE = 64;

    private final SchedulerState state;
    private final TaskLossHandler taskLosses;
    private final Set<String> unreachableCount = new HashSet<>();
    private final Set<Machine> probed = new HashSet<>();

    public AgentProber(SchedulerState state, TaskLossHandler taskLosses) {
        this.state = state;
        this.taskLosses = taskLosses;
    }

    public void review() {
        probed.removeIf(
                machine -> machine.commandInFlight == 0 && !machine.tokenDue() || machine.deleted);
        List<Machine> silent = new ArrayList<>();
        for (Machine machine : state.machines().values()) {
            if (machine.deleted) {
                unreachableCount.remove(machine.host);
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

    /** How many machines report that nothing reaches. */
    public int unreachableCount() {
        return unreachableCount.size();
    }

    /**
     * What was never sent can go elsewhere; the worker may come to hear again at any time, and
     * nobody waits for it.
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
            if (unreachableCount.add(machine.host)) {
                state.log(
                        LogEntry.info(LogEvent.MACHINE_UNREACHABLE)
                                .with("machine", machine.host)
                                .with("zone", machine.zone)
                                .withSeconds(
                                        "unacknowledged_s",
                                        liveness.unacknowledgedForMicros(state.nowMicros())));
            }
        } else if (!unreachableCount.isEmpty()
                && liveness.hasAcknowledgedToken()
                && unreachableCount.remove(machine.host)) {
            state.log(
                    LogEntry.info(LogEvent.MACHINE_REACHABLE)
                            .with("machine", machine.host)
                            .with("zone", machine.zone));
        }
    }

    /**
     * Out of touch although it was there: by its own word to this leader, or by what earlier ones
     * have recorded.
     */
    private boolean isSilent(Machine machine) {
        boolean known = machine.isKnownAlive() || machine.reportedRecorded || !machine.isEmpty();
        long since = Math.max(machine.liveness.lastHeartbeatMicros(), state.startedMicros());
        return known
                && !machine.decommissioning
                && !machine.address.isEmpty()
                && state.nowMicros() - since > state.livenessTimeouts().freshMicros();
    }

    private void probe(List<Machine> silent) {
        int maxProbes = Math.max(MIN_PROBES, state.machines().size() / MACHINES_PER_PROBE);
        if (silent.isEmpty() || probed.size() >= maxProbes) {
            return;
        }
        silent.sort(Comparator.comparingLong((Machine machine) -> machine.lastProbeMicros));
        for (Machine machine : silent) {
            if (probed.size() >= maxProbes
                    || state.nowMicros() - machine.lastProbeMicros
                            < state.settings().leaseMicros() / 2) {
                return;
            }
            if (machine.commandInFlight == 0 && machine.acceptsDirectCommands(state.nowMicros())) {
                machine.lastProbeMicros = state.nowMicros();
                machine.liveness.requireAcknowledgement();
                machine.requestToken();
                probed.add(machine);
            }
        }
    }
}
