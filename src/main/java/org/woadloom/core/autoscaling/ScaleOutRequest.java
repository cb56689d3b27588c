package org.woadloom.core.autoscaling;

import org.woadloom.core.SchedulerAction;

/** A request for machines of one kind that the cloud has not finally answered. */
final class ScaleOutRequest {
    private final String name;
    private final MachineKind kind;
    private final int count;
    private final long createdMicros;
    private boolean inFlight;
    private long retryAtMicros;

    ScaleOutRequest(String name, MachineKind kind, int count, long createdMicros) {
        this.name = name;
        this.kind = kind;
        this.count = count;
        this.createdMicros = createdMicros;
    }

    /** The idempotency key: the cloud gives the same answer to a repeated request of this name. */
    String name() {
        return name;
    }

    MachineKind kind() {
        return kind;
    }

    /** How many machines are requested; the cloud may rent out fewer. */
    int count() {
        return count;
    }

    long createdMicros() {
        return createdMicros;
    }

    boolean isDue(long nowMicros) {
        return !inFlight && nowMicros >= retryAtMicros;
    }

    /** Marks the request as sent and returns the action that sends it. */
    SchedulerAction.RentMachines send() {
        inFlight = true;
        return new SchedulerAction.RentMachines(
                name, kind.type().name(), kind.zone(), kind.spot(), count);
    }

    /** Schedules the request to be sent again, because the outcome of the last try is unknown. */
    void retryAt(long micros) {
        inFlight = false;
        retryAtMicros = micros;
    }
}
