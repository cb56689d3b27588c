package org.woadloom.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** The faults of one seed, in the order of their beginnings; two or three may overlap. */
final class FaultSchedule {
    private static final int MIN_GAP_MICROS = 300_000;
    private static final int GAP_SPREAD_MICROS = 2_500_000;
    private static final int MIN_DURATION_MICROS = 300_000;
    private static final int DURATION_SPREAD_MICROS = 12_000_000;
    private static final int MAX_OVERLAPPING = 3;

    /**
     * One fault.
     *
     * @param node the node that it hits, if it hits one
     * @param variant tells its forms apart
     */
    record Fault(FaultKind kind, long atMicros, long durationMicros, int node, int variant) {
        long endMicros() {
            return atMicros + durationMicros;
        }
    }

    private FaultSchedule() {}

    /** The same seed, kinds and times give the same faults. */
    static List<Fault> of(
            long seed, Set<FaultKind> kinds, int nodes, long fromMicros, long untilMicros) {
        Random random = new Random(seed);
        List<FaultKind> choices = List.copyOf(kinds).stream().sorted().toList();
        List<Fault> faults = new ArrayList<>();
        long at = fromMicros + MIN_GAP_MICROS + random.nextInt(GAP_SPREAD_MICROS);
        while (at < untilMicros) {
            long now = at;
            Fault fault =
                    new Fault(
                            choices.get(random.nextInt(choices.size())),
                            at,
                            Math.min(
                                    MIN_DURATION_MICROS + random.nextInt(DURATION_SPREAD_MICROS),
                                    untilMicros - at),
                            random.nextInt(nodes),
                            random.nextInt(MAX_OVERLAPPING));
            List<Fault> open = faults.stream().filter(other -> other.endMicros() > now).toList();
            boolean sameKindOpen = open.stream().anyMatch(other -> other.kind() == fault.kind());
            if (open.size() < MAX_OVERLAPPING && !sameKindOpen) {
                faults.add(fault);
            }
            at += MIN_GAP_MICROS + random.nextInt(GAP_SPREAD_MICROS);
        }
        return faults;
    }
}
