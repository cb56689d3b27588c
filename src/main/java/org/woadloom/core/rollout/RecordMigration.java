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
 * Rewrites stored records in the current format, within a small share of the write rate. The
 * records to rewrite are found by counting in the store, so a new leader counts again and no
 * progress has to be stored.
 */
final class RecordMigration {
    private static final double MIN_REWRITES_PER_SECOND = 0.2;

    private final SchedulerState state;
    private final Map<Feature, ArrayDeque<String>> outdatedKeys = new EnumMap<>(Feature.class);

    /**
     * The keys of records that are being rewritten. For a job, with the first version of its record
     * that has the new format.
     */
    private final Map<Feature, Map<String, Long>> inFlight = new EnumMap<>(Feature.class);

    private double rewriteAllowance;
    private long lastRunMicros;

    RecordMigration(SchedulerState state) {
        this.state = state;
        lastRunMicros = state.nowMicros();
        for (Feature feature : Feature.values()) {
            outdatedKeys.put(feature, new ArrayDeque<>());
            inFlight.put(feature, new HashMap<>());
        }
    }

    /** Replaces the keys of the records to be rewritten with those that a count has found. */
    void setOutdated(Feature feature, List<String> keys) {
        outdatedKeys.get(feature).clear();
        outdatedKeys.get(feature).addAll(keys);
        inFlight.get(feature).clear();
    }

    void clear(Feature feature) {
        setOutdated(feature, List.of());
    }

    int remaining(Feature feature) {
        return outdatedKeys.get(feature).size() + inFlight.get(feature).size();
    }

    /**
     * True if no write in the other format is in flight any more, so that the records can be
     * counted. A write without an answer may still be executed until the record has been read and
     * written again, and could then add a record in the other format after the count.
     */
    boolean hasNoOtherFormatWriteInFlight(Feature feature, boolean on) {
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

    /** Starts as many rewrites as the rate allows since the last call. */
    void migrate() {
        // If the load uses up all writes, the migration still makes progress: it then takes about
        // an hour instead of minutes.
        double rate =
                state.writeBudget().hasSpareCapacity()
                        ? Math.max(
                                MIN_REWRITES_PER_SECOND,
                                state.writeBudget().writesPerSecond()
                                        * state.settings().operator().migrationWriteShare())
                        : MIN_REWRITES_PER_SECOND;
        rewriteAllowance =
                Math.min(
                        Math.max(1, rate),
                        rewriteAllowance + rate * (state.nowMicros() - lastRunMicros) / 1e6);
        lastRunMicros = state.nowMicros();
        for (Feature feature : Feature.values()) {
            removeFinished(feature);
            ArrayDeque<String> keys = outdatedKeys.get(feature);
            while (rewriteAllowance >= 1 && !keys.isEmpty()) {
                rewriteAllowance -= startRewrite(feature, keys.poll()) ? 1 : 0;
            }
        }
        recordFirstHeartbeats();
    }

    /** Drops records that have been rewritten, or whose job or machine no longer exists. */
    private void removeFinished(Feature feature) {
        for (Iterator<Map.Entry<String, Long>> iterator =
                        inFlight.get(feature).entrySet().iterator();
                iterator.hasNext(); ) {
            Map.Entry<String, Long> entry = iterator.next();
            String key = entry.getKey();
            Job job =
                    key.startsWith(StoreKeys.JOB_PREFIX)
                            ? state.jobs().get(key.substring(StoreKeys.JOB_PREFIX.length()))
                            : null;
            Machine machine =
                    key.startsWith(StoreKeys.MACHINE_PREFIX)
                            ? state.machines().get(key.substring(StoreKeys.MACHINE_PREFIX.length()))
                            : null;
            if ((job == null && machine == null)
                    || (job != null && job.persistence.durableVersion() >= entry.getValue())
                    || (machine != null
                            && !machine.isRewriteNeeded()
                            && !machine.isRecordRequestInFlight())) {
                iterator.remove();
            }
        }
    }

    /** Returns false if the record no longer has to be rewritten. */
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

    /**
     * Rewrites the records of machines that have reported since their record was written. A new
     * leader judges silent machines by whether they ever reported.
     */
    private void recordFirstHeartbeats() {
        if (!state.recordsMachineLifecycle()) {
            return;
        }
        for (Machine machine : state.machines().values()) {
            if (rewriteAllowance < 1) {
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
                rewriteAllowance--;
            }
        }
    }
}
