package org.woadloom.node;

import org.woadloom.cloud.CloudClient;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.settings.ServiceSettings;

/** Polls the cloud for machine types and rented machines while this node leads. */
final class CloudPoller {
    private static final long TYPES_INTERVAL_MICROS = 60_000_000;
    private static final long TYPES_RETRY_MICROS = 3_000_000;

    /**
     * The shortest interval between two lists. Otherwise the interval is half of the time by which
     * the list may lag.
     */
    private static final long MIN_LIST_INTERVAL_MICROS = 2_000_000;

    private final CloudClient cloud;
    private final EventQueue queue;
    private final long listIntervalMicros;

    CloudPoller(CloudClient cloud, EventQueue queue, ServiceSettings settings) {
        this.cloud = cloud;
        this.queue = queue;
        listIntervalMicros =
                Math.max(MIN_LIST_INTERVAL_MICROS, settings.cloud().listLagMicros() / 2);
    }

    /** Polls until the term ends. */
    void start(LeadershipTerm term) {
        pollTypes(term);
        pollMachines(term);
    }

    private void pollTypes(LeadershipTerm term) {
        cloud.listMachineTypes(
                types -> {
                    if (!term.isActive()) {
                        return;
                    }
                    if (types != null) {
                        queue.add(new SchedulerEvent.MachineTypesRead(types));
                    }
                    term.schedule(
                            types == null ? TYPES_RETRY_MICROS : TYPES_INTERVAL_MICROS,
                            () -> pollTypes(term));
                });
    }

    private void pollMachines(LeadershipTerm term) {
        cloud.listMachines(
                machines -> {
                    if (!term.isActive()) {
                        return;
                    }
                    if (machines != null) {
                        queue.add(new SchedulerEvent.MachinesListed(machines));
                    }
                    term.schedule(listIntervalMicros, () -> pollMachines(term));
                });
    }
}
