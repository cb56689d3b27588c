package org.woadloom.core.rollout;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.PersistenceState;
import org.woadloom.core.machines.Machine;
import org.woadloom.store.StoreKeys;

/**
 * Rewrites records in the form that is in force, a small part of the write rate at a time. What has
 * to be rewritten is counted in the store, so nothing of it needs to be kept: a new leader counts
 * again.
 */
final class RecordMigration {
    private static final double LEAST_PER_SECOND = 0.2;

    private final SchedulerState world;
    private final Map<Feature, ArrayDeque<String>> waiting = new EnumMap<>(Feature.class);

    /** Jobs that are being rewritten, with the first version that has the new form. */
    private final Map<Feature, Map<String, Long>> underWay = new EnumMap<>(Feature.class);

    private double allowance;
    private long wentMicros;

    RecordMigration(SchedulerState world) {
        this.world = world;
        wentMicros = world.nowMicros;
        for (Feature feature : Feature.values()) {
            waiting.put(feature, new ArrayDeque<>());
            underWay.put(feature, new HashMap<>());
        }
    }

    /** The store was counted: these are not of the form that they should be. */
    void found(Feature feature, List<String> keys) {
        waiting.get(feature).clear();
        waiting.get(feature).addAll(keys);
        underWay.get(feature).clear();
    }

    void forget(Feature feature) {
        found(feature, List.of());
    }

    int left(Feature feature) {
        return waiting.get(feature).size() + underWay.get(feature).size();
    }

    /**
     * True once no write of the other form is under way any more. One without an answer is read and
     * written over, which voids it; counted before that, the store would hold a record of that form
     * later.
     */
    boolean quiet(Feature feature, boolean on) {
        if (feature != Feature.MACHINE_LIFE) {
            return true;
        }
        return world.machineLife == on
                && world.machines.values().stream()
                        .noneMatch(machine -> machine.mayChange(world.machineLifeSinceMicros));
    }

    /** Has as many records rewritten as the time since the last call allows. */
    void go() {
        // Under a load that takes all writes it still gets done, in an hour or so instead of
        // minutes.
        double rate =
                world.writes.spare()
                        ? Math.max(
                                LEAST_PER_SECOND,
                                world.writes.perSecond() * world.settings.operator().rewriteShare())
                        : LEAST_PER_SECOND;
        allowance =
                Math.min(
                        Math.max(1, rate), allowance + rate * (world.nowMicros - wentMicros) / 1e6);
        wentMicros = world.nowMicros;
        for (Feature feature : Feature.values()) {
            settle(feature);
            ArrayDeque<String> keys = waiting.get(feature);
            while (allowance >= 1 && !keys.isEmpty()) {
                allowance -= begin(feature, keys.poll()) ? 1 : 0;
            }
        }
        tellWhichCameUp();
    }

    /** What is written, gone, or known to be written anew by itself, is done with. */
    private void settle(Feature feature) {
        for (Iterator<Map.Entry<String, Long>> all = underWay.get(feature).entrySet().iterator();
                all.hasNext(); ) {
            Map.Entry<String, Long> one = all.next();
            String key = one.getKey();
            Job job =
                    key.startsWith(StoreKeys.JOBS)
                            ? world.jobs.get(key.substring(StoreKeys.JOBS.length()))
                            : null;
            Machine machine =
                    key.startsWith(StoreKeys.MACHINES)
                            ? world.machines.get(key.substring(StoreKeys.MACHINES.length()))
                            : null;
            if (job == null && machine == null
                    || job != null && job.recording.durable >= one.getValue()
                    || machine != null && !machine.rewrite && !machine.writing) {
                all.remove();
            }
        }
    }

    private boolean begin(Feature feature, String key) {
        if (key.startsWith(StoreKeys.JOBS)) {
            Job job = world.jobs.get(key.substring(StoreKeys.JOBS.length()));
            if (job == null) {
                return false;
            }
            underWay.get(feature).put(key, job.recording.nextVersion());
            job.recording.needs(PersistenceState.WriteReason.PHASE);
            return true;
        }
        Machine machine = world.machines.get(key.substring(StoreKeys.MACHINES.length()));
        if (machine == null || machine.deleted || !machine.recorded) {
            return false;
        }
        underWay.get(feature).put(key, 0L);
        machine.rewrite();
        return true;
    }

    /** Whether a machine ever came up is what a new leader wants to know of one that is silent. */
    private void tellWhichCameUp() {
        if (!world.machineLife) {
            return;
        }
        for (Machine machine : world.machines.values()) {
            if (allowance < 1) {
                return;
            }
            if (machine.heard()
                    && machine.recorded
                    && !machine.upRecorded
                    && !machine.rewrite
                    && !machine.writing
                    && !machine.leaving
                    && !machine.deleted) {
                machine.rewrite();
                allowance--;
            }
        }
    }
}
