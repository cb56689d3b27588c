package org.woadloom.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Generates the random faults of one seed, ordered by start; up to three may overlap. */
final class FaultSchedule {
    private static final int MIN_GAP_MICROS = 300_000;
    private static final int GAP_SPREAD_MICROS = 2_500_000;
    private static final int MIN_DURATION_MICROS = 300_000;
    private static final int DURATION_SPREAD_MICROS = 12_000_000;
    private static final int MAX_OVERLAPPING = 3;

    /**
     * One fault.
     *
     * @param startOffsetMicros when it starts, counted from the first accepted job
     * @param node the node affected; unused by kinds that affect no single node
     * @param variant 0 to 2, selects the form of a kind that has several
     */
    record Fault(
            FaultKind kind, long startOffsetMicros, long durationMicros, int node, int variant) {
        long endOffsetMicros() {
            return startOffsetMicros + durationMicros;
        }
    }

    private FaultSchedule() {}

    /** Returns the same faults for the same arguments. */
    static List<Fault> generate(
            long seed, Set<FaultKind> kinds, int nodes, long fromMicros, long untilMicros) {
        Random random = new Random(seed);
        List<FaultKind> choices = List.copyOf(kinds).stream().sorted().toList();
        List<Fault> faults = new ArrayList<>();
        long nextMicros = fromMicros + MIN_GAP_MICROS + random.nextInt(GAP_SPREAD_MICROS);
        while (nextMicros < untilMicros) {
            long startMicros = nextMicros;
            Fault fault =
                    new Fault(
                            choices.get(random.nextInt(choices.size())),
                            nextMicros,
                            Math.min(
                                    MIN_DURATION_MICROS + random.nextInt(DURATION_SPREAD_MICROS),
                                    untilMicros - nextMicros),
                            random.nextInt(nodes),
                            random.nextInt(MAX_OVERLAPPING));
            List<Fault> active =
                    faults.stream().filter(other -> other.endOffsetMicros() > startMicros).toList();
            boolean sameKindActive =
                    active.stream().anyMatch(other -> other.kind() == fault.kind());
            if (active.size() < MAX_OVERLAPPING && !sameKindActive) {
                faults.add(fault);
            }
            nextMicros += MIN_GAP_MICROS + random.nextInt(GAP_SPREAD_MICROS);
        }
        return faults;
    }
}
