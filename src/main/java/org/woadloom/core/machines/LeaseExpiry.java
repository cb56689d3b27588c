package org.woadloom.core.machines;

import java.util.HashMap;
import java.util.Map;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerState;

/**
 * Ends the sessions of agents whose lease has certainly expired. By then the agent has killed its
 * tasks, because neither this leader nor a node with delegated renewal has renewed the lease in
 * time. The tasks may be started elsewhere.
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

    /** Renewal is delegated by zone, so the last delegated renewal is computed once per zone. */
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
