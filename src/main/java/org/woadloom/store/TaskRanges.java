package org.woadloom.store;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Encodes task indexes as a flat list of the first and last index of each range, the format of
 * version 1.
 */
final class TaskRanges {
    private TaskRanges() {}

    static List<Object> encode(BitSet set) {
        List<Object> list = new ArrayList<>();
        for (int first = set.nextSetBit(0); first >= 0; ) {
            int end = set.nextClearBit(first);
            list.add((long) first);
            list.add((long) end - 1);
            first = set.nextSetBit(end);
        }
        return list;
    }

    static BitSet decode(List<?> list, int taskCount) throws MalformedMessageException {
        BitSet set = new BitSet();
        for (int i = 0; i + 1 < list.size(); i += 2) {
            if (!(list.get(i) instanceof Long first)
                    || !(list.get(i + 1) instanceof Long last)
                    || first < 0
                    || last < first
                    || last >= taskCount) {
                throw new MalformedMessageException(
                        "task ranges: expected pairs of a first and last index below " + taskCount);
            }
            set.set(first.intValue(), last.intValue() + 1);
        }
        return set;
    }
}
