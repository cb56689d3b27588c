package org.woadloom.core.machines;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class MachineLifecycleTest {
    private final MachineLifecycle lifecycle = new MachineLifecycle(false);

    @Test
    void decommissionedMachineIsDeletedOnceTheCloudConfirms() {
        assertFalse(lifecycle.isDecommissioning());
        lifecycle.decommission();
        assertTrue(lifecycle.isDecommissioning());
        lifecycle.startDeletion();
        assertTrue(lifecycle.isDeleting());
        assertTrue(lifecycle.isDecommissioning());
        lifecycle.onDeleted();
        assertTrue(lifecycle.isDeleted());
        assertFalse(lifecycle.isDeleting());
    }

    @Test
    void failedDeletionReturnsToDecommissioning() {
        lifecycle.decommission();
        lifecycle.startDeletion();
        lifecycle.onDeletionFailed();
        assertFalse(lifecycle.isDeleting());
        assertTrue(lifecycle.isDecommissioning());
        assertFalse(lifecycle.isDeleted());
    }

    /**
     * The answer to a deletion requested in an earlier term may arrive after the answer to the
     * current one.
     */
    @Test
    void deletedMachineIgnoresDeletionFailureAndDecommissioning() {
        lifecycle.onDeleted();
        lifecycle.onDeletionFailed();
        lifecycle.decommission();
        assertTrue(lifecycle.isDeleted());
    }

    @Test
    void deletionFailureDoesNotDecommissionAMachineInUse() {
        lifecycle.onDeletionFailed();
        assertFalse(lifecycle.isDecommissioning());
    }

    @Test
    void onlyAbandonedOrFailedMachinesAreDeletedWithoutBeingDrained() {
        lifecycle.decommission();
        assertFalse(lifecycle.isDeletedWithTasks());
        MachineLifecycle abandoned = new MachineLifecycle(false);
        abandoned.abandon();
        assertTrue(abandoned.isDecommissioning() && abandoned.isDeletedWithTasks());
        MachineLifecycle failed = new MachineLifecycle(true);
        failed.fail();
        assertTrue(failed.isDeletedWithTasks());
        assertFalse(failed.isAbandoned());
    }
}
