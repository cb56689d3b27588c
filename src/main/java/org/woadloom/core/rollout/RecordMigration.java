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
    private static final double MIN_REWRITES_PER_SECOND = 0.2;

    private final SchedulerState state;
    private final Map<Feature, ArrayDeque<String>> waiting = new EnumMap<>(Feature.class);

    /** Jobs that are being rewritten, with the first version that has the new form. */
    private final Map<Feature, Map<String, Long>> inFlight = new EnumMap<>(Feature.class);

    private double allowance;
    private long lastRunMicros;

    RecordMigration(SchedulerState state) {
        this.state = state;
        lastRunMicros = state.nowMicros();
        for (Feature feature : Feature.values()) {
            waiting.put(feature, new ArrayDeque<>());
            inFlight.put(feature, new HashMap<>());
        }
    }

    /** The store was counted, and the records under these keys are to be rewritten. */
    void setOutdated(Feature feature, List<String> keys) {
        waiting.get(feature).clear();
        waiting.get(feature).addAll(keys);
        inFlight.get(feature).clear();
    }

    void forget(Feature feature) {
        setOutdated(feature, List.of());
    }

    int remaining(Feature feature) {
        return waiting.get(feature).size() + inFlight.get(feature).size();
    }

    /**
     * True once no write of the other form is under way any more. One without an answer is read and
     * written over, which voids it; counted before that, the store would hold a record of that form
     * later.
     */
    boolean isQuiet(Feature feature, boolean on) {
        if (feature != Feature.MACHINE_LIFECYCLE) {
            return true;
        }
        return state.recordsMachineLifecycle() == on
                && state.machines().values().stream()
                        .noneMatch(
                                machine ->
                                        machine.mayRecordChange(
                                                state.recordsMachineLifecycleSinceMicros()));
    }

    /** Has as many records rewritten as the time since the last call allows. */
    void migrate() {
        // Under a load that takes all writes it still gets done, in an hour or so instead of
        // minutes.
        double rate =
                state.writeBudget().hasSpareCapacity()
                        ? Math.max(
                                MIN_REWRITES_PER_SECOND,
                                state.writeBudget().writesPerSecond()
                                        * state.settings().operator().migrationWriteShare())
                        : MIN_REWRITES_PER_SECOND;
        allowance =
                Math.min(
                        Math.max(1, rate),
                        allowance + rate * (state.nowMicros() - lastRunMicros) / 1e6);
        lastRunMicros = state.nowMicros();
        for (Feature feature : Feature.values()) {
            removeFinished(feature);
            ArrayDeque<String> keys = waiting.get(feature);
            while (allowance >= 1 && !keys.isEmpty()) {
                allowance -= startRewrite(feature, keys.poll()) ? 1 : 0;
            }
        }
        rewriteReportedMachines();
    }

    /** Drops the records that are rewritten, or whose job or machine is no longer there. */
    private void removeFinished(Feature feature) {
        for (Iterator<Map.Entry<String, Long>> all = inFlight.get(feature).entrySet().iterator();
                all.hasNext(); ) {
            Map.Entry<String, Long> one = all.next();
            String key = one.getKey();
            Job job =
                    key.startsWith(StoreKeys.JOB_PREFIX)
                            ? state.jobs().get(key.substring(StoreKeys.JOB_PREFIX.length()))
                            : null;
            Machine machine =
                    key.startsWith(StoreKeys.MACHINE_PREFIX)
                            ? state.machines().get(key.substring(StoreKeys.MACHINE_PREFIX.length()))
                            : null;
            if ((job == null && machine == null)
                    || (job != null && job.persistence.durableVersion() >= one.getValue())
                    || (machine != null
                            && !machine.isRewriteNeeded()
                            && !machine.isRecordRequestInFlight())) {
                all.remove();
            }
        }
    }

    private boolean startRewrite(Feature feature, String key) {
        if (key.startsWith(StoreKeys.JOB_PREFIX)) {
            Job job = state.jobs().get(key.substring(StoreKeys.JOB_PREFIX.length()));
            if (job == null) {
                return false;
            }
            inFlight.get(feature).put(key, job.persistence.nextVersion());
            job.persistence.requestWrite(PersistenceState.WriteUrgency.TASK_PROGRESS);
            return true;
        }
        Machine machine = state.machines().get(key.substring(StoreKeys.MACHINE_PREFIX.length()));
        if (machine == null || machine.isDeleted() || !machine.isRecorded()) {
            return false;
        }
        inFlight.get(feature).put(key, 0L);
        machine.requestRewrite();
        return true;
    }

    /** Whether a machine ever came up is what a new leader wants to know of one that is silent. */
    private void rewriteReportedMachines() {
        if (!state.recordsMachineLifecycle()) {
            return;
        }
        for (Machine machine : state.machines().values()) {
            if (allowance < 1) {
                return;
            }
            if (machine.isKnownAlive()
                    && machine.isRecorded()
                    && !machine.isHeartbeatRecorded()
                    && !machine.isRewriteNeeded()
                    && !machine.isRecordRequestInFlight()
                    && !machine.isDecommissioning()
                    && !machine.isDeleted()) {
                machine.requestRewrite();
                allowance--;
            }
        }
    }
}
