package org.woadloom.core.autoscaling;

import java.util.List;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.machines.MachineRegistry;
import org.woadloom.core.placement.PlacementConstraints;
import org.woadloom.core.placement.TaskPlacer;
import org.woadloom.core.reservation.Reservations;
import org.woadloom.protocol.ListedMachine;

/** Rents machines for jobs that lack capacity, and decommissions machines that are idle or lost. */
public final class Autoscaler {
    private static final long REVIEW_INTERVAL_MICROS = 500_000;

    private final SchedulerState state;
    private final TaskPlacer placer;
    private final MachineListing listing;
    private final RefusedKinds refusedKinds;
    private final PartitionedZones partitionedZones;
    private final ScaleOutRequests requests;
    private final ScaleOutPlanner scaleOut;
    private final ScaleInPlanner scaleIn;

    /** Half the range of a long, so that the first review is due without an overflow. */
    private long lastReviewMicros = Long.MIN_VALUE / 2;

    private long lastLossReviewMicros = Long.MIN_VALUE / 2;

    public Autoscaler(
            SchedulerState state,
            PlacementConstraints constraints,
            TaskPlacer placer,
            MachineRegistry machines,
            Reservations reservations) {
        this.state = state;
        this.placer = placer;
        listing = new MachineListing(state);
        refusedKinds = new RefusedKinds(state);
        partitionedZones = new PartitionedZones(state, listing);
        requests = new ScaleOutRequests(state, machines, refusedKinds);
        MachineLossDetector losses = new MachineLossDetector(state, listing, partitionedZones);
        scaleOut =
                new ScaleOutPlanner(
                        state, constraints, reservations, requests, partitionedZones, losses);
        scaleIn = new ScaleInPlanner(state, constraints, placer, reservations, losses);
    }

    /**
     * Sends requests that are due, and reviews the fleet at intervals. Must be called in every
     * scheduling pass.
     *
     * @param isSearchComplete whether placement on the existing machines was tried for every
     *     waiting job; until then it is not known which machines are missing or idle, so only lost
     *     machines are decommissioned
     */
    public void review(boolean isSearchComplete) {
        requests.sendDue();
        if (state.machineTypes().isEmpty()) {
            return;
        }
        if (isSearchComplete) {
            reviewFleet();
        } else {
            reviewLostMachines();
        }
    }

    private void reviewLostMachines() {
        if (state.nowMicros() - lastLossReviewMicros < REVIEW_INTERVAL_MICROS) {
            return;
        }
        lastLossReviewMicros = state.nowMicros();
        partitionedZones.review();
        scaleIn.removeLost();
    }

    private void reviewFleet() {
        if (state.nowMicros() - lastReviewMicros < REVIEW_INTERVAL_MICROS) {
            return;
        }
        lastReviewMicros = state.nowMicros();
        refusedKinds.updateScarceZones();
        partitionedZones.review();
        // A new leader first waits for heartbeats, as the existing machines may be sufficient.
        if (state.nowMicros() - state.termStartMicros()
                > 2 * state.settings().heartbeatIntervalMicros()) {
            requests.request(scaleOut.plan(placer.placementQueue()));
        }
        scaleIn.review();
    }

    /** Handles the cloud's list of machines. */
    public void onMachinesListed(List<ListedMachine> machines) {
        listing.onMachinesListed(machines);
    }

    /** Handles the cloud's answer to a request for machines. */
    public void onScaleOutCompleted(SchedulerEvent.ScaleOutCompleted result) {
        requests.onCompleted(result);
    }
}
