package org.woadloom.core.machines;

/**
 * A machine's way from being in use to being deleted. All transitions stand here:
 *
 * <pre>
 * IN_USE -> DECOMMISSIONING -> DELETING -> DELETED
 *                 ^------------'  the deletion failed
 * </pre>
 *
 * <p>The answer to a deletion that an earlier leadership of this node requested may come at any
 * phase; a machine that is deleted stays so.
 */
final class MachineLifecycle {
    private enum Phase {
        IN_USE,
        /** It gets no more tasks, and is deleted when it may be. */
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

    /** Decommissions a machine that is not waited for: its lease may still run. */
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

    /** True from the moment at which it is decommissioned, also when it is deleted. */
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

    /** True if it is deleted without being emptied first. */
    boolean isDeletedWithTasks() {
        return abandoned || failed;
    }
}
