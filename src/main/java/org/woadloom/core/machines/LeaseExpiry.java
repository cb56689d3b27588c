package org.woadloom.core.machines;

import java.util.HashMap;
import java.util.Map;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;

/**
 * Ends the sessions of agents whose lease has certainly expired. An agent whose lease was renewed
 * neither by this leader nor by a node that renews on its behalf has killed its tasks by then, so
 * they may be started elsewhere.
 */
public final class LeaseExpiry {
    private final SchedulerState state;
    private final TaskLossHandler taskLosses;

    public LeaseExpiry(SchedulerState state, TaskLossHandler taskLosses) {
        this.state = state;
        this.taskLosses = taskLosses;
    }

    /** Removes the task attempts of all machines whose lease has expired. */
    public void expireLeases() {
        Map<String, Long> delegatedRenewals = new HashMap<>();
        for (Machine machine : state.machines().values()) {
            if (machine.isUp()
                    && !machine.isDeleted()
                    && isLeaseOver(machine.lastLeaseRenewalMicros())
                    && isLeaseOver(lastDelegatedRenewalMicros(machine.zone, delegatedRenewals))) {
                expire(machine);
            }
        }
    }

    private boolean isLeaseOver(long renewedMicros) {
        return state.nowMicros() - renewedMicros > state.delegationTimeouts().leaseExpiryMicros();
    }

    /** The last renewal by a delegate is a matter of the zone, and worked out once for each. */
    private long lastDelegatedRenewalMicros(String zone, Map<String, Long> byZone) {
        return byZone.computeIfAbsent(
                zone,
                name -> state.delegations().latestPossibleRenewalMicros(name, state.nowMicros()));
    }

    private void expire(Machine machine) {
        state.log(
                LogEntry.info(LogEvent.LEASE_EXPIRED)
                        .with("machine", machine.host)
                        .with("zone", machine.zone)
                        .with("term", state.term()));
        machine.liveness.expireIncarnation();
        taskLosses.onSessionEnded(machine, "lease expired");
    }
}
