package org.woadloom.node;

/** The keys below which this node relays batches of heartbeats, and what is under way in each. */
final class RelaySlots {
    /**
     * Batches under way at a time. With more heartbeats the batches get larger rather than more, up
     * to the value limit, and each slot is used anew as soon as it is answered. Must not grow
     * before every version in use ignores slots that it does not know.
     */
    static final int COUNT = 8;

    /** Ids are drawn at random from 2^63 numbers: that one is 0 does not happen in practice. */
    private static final long FREE = 0;

    private final long[] batchIds = new long[COUNT];

    boolean isFree(int slot) {
        return batchIds[slot] == FREE;
    }

    void occupy(int slot, long batchId) {
        batchIds[slot] = batchId;
    }

    /** Frees the slot if the batch is still the one in it; ignores slots of other versions. */
    void free(int slot, long batchId) {
        if (slot >= 0 && slot < COUNT && batchIds[slot] == batchId) {
            batchIds[slot] = FREE;
        }
    }
}
