package org.woadloom.node;

/** The slots, each with its own store key, through which this node relays batches of heartbeats. */
final class RelaySlots {
    /**
     * The maximum number of batches in flight. With more heartbeats the batches get larger, up to
     * the value limit, rather than more numerous, and each slot is reused as soon as its batch is
     * answered. Must not grow before every version in use ignores slots that it does not know.
     */
    static final int COUNT = 8;

    /**
     * Marks a slot without a batch. Ids are random numbers below 2^63, so an id of 0 does not occur
     * in practice.
     */
    private static final long FREE = 0;

    private final long[] batchIds = new long[COUNT];

    boolean isFree(int slot) {
        return batchIds[slot] == FREE;
    }

    void occupy(int slot, long batchId) {
        batchIds[slot] = batchId;
    }

    /**
     * Frees the slot if it still holds the batch. A slot number that only other versions use is
     * ignored.
     */
    void free(int slot, long batchId) {
        if (slot >= 0 && slot < COUNT && batchIds[slot] == batchId) {
            batchIds[slot] = FREE;
        }
    }
}
