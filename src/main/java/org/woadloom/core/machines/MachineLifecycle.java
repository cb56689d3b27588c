package org.woadloom.core.machines;

/**
 * The phases of a machine from use to deletion, with all transitions:
 *
 * <pre>
 * IN_USE -> DECOMMISSIONING -> DELETING -> DELETED
 *                 ^------------'  the deletion failed
 * </pre>
 *
 * <p>The answer to a deletion that this node requested in an earlier term may arrive in any phase.
 * A deleted machine stays deleted.
 */
final class MachineLifecycle {
    private enum Phase {
        IN_USE,
        /**
         * The machine gets no more tasks. {@link MachineDeleter} requests its deletion once the
         * decommissioning is recorded in the store and the machine is empty, lost, failed or
         * abandoned.
         */
        DECOMMISSIONING,
        /** The cloud was asked to delete it. */
        DELETING,
        /** The cloud has confirmed the deletion; nothing runs on it any more. */
        DELETED
    }

    private Phase phase;
    private boolean failed;
    private boolean abandoned;

    MachineLifecycle(boolean decommissioning) {
        phase = decommissioning ? Phase.DECOMMISSIONING : Phase.IN_USE;
    }

    void decommission() {
        if (phase == Phase.IN_USE) {
            phase = Phase.DECOMMISSIONING;
        }
    }

    /** Decommissions a machine without waiting for its agent's lease to expire. */
    void abandon() {
        decommission();
        abandoned = true;
    }

    /** Decommissions a machine that the cloud lists as failed. */
    void fail() {
        decommission();
        failed = true;
    }

    void startDeletion() {
        phase = Phase.DELETING;
    }

    void onDeletionFailed() {
        if (phase == Phase.DELETING) {
            phase = Phase.DECOMMISSIONING;
        }
    }

    void onDeleted() {
        phase = Phase.DELETED;
    }

    /** True once the machine is decommissioned, and still true after it is deleted. */
    boolean isDecommissioning() {
        return phase != Phase.IN_USE;
    }

    boolean isDeleting() {
        return phase == Phase.DELETING;
    }

    boolean isDeleted() {
        return phase == Phase.DELETED;
    }

    boolean isAbandoned() {
        return abandoned;
    }

    /** True if the machine is deleted without being drained first. */
    boolean isDeletedWithTasks() {
        return abandoned || failed;
    }
}
