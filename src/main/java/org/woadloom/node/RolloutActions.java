package org.woadloom.node;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.leader.RecordWriter;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.JobRecord;
import org.woadloom.store.MachineRecord;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/** Carries out what a leader's core wants done of a rollout. */
final class RolloutActions {
    private final StoreClient store;
    private final RolloutParticipant rollout;

    /** Takes an outcome, if the term still lasts. */
    interface Outcome {
        void add(SchedulerEvent command);
    }

    RolloutActions(StoreClient store, RolloutParticipant rollout) {
        this.store = store;
        this.rollout = rollout;
    }

    void write(SchedulerAction.WriteRollout put, RecordWriter writer, Outcome outcome) {
        List<Condition> conditions = new ArrayList<>();
        put.expectedRevisions()
                .forEach((path, revision) -> conditions.add(new Condition(path, revision)));
        List<Change> changes = new ArrayList<>();
        changes.add(Change.put(StoreKeys.ROLLOUT_STATE, put.record().toMap()));
        if (put.agreedVersion() > 0) {
            changes.add(
                    Change.put(
                            StoreKeys.AGREED_VERSION,
                            ImmutableMap.of("version", put.agreedVersion())));
        }
        writer.add(
                true,
                new RecordWriter.Write(
                        conditions,
                        changes,
                        (written, revision) -> {
                            // Written or not, what stands there now is what counts.
                            rollout.refresh();
                            outcome.add(
                                    new SchedulerEvent.RolloutWriteCompleted(
                                            put.record().number(), written, revision));
                        }));
    }

    /**
     * Reads all records that the feature writes, after everything else, and judges each by its
     * form.
     */
    void countRecords(SchedulerAction.CountRecords count, Outcome outcome) {
        store.list(
                RequestPriority.BACKGROUND,
                count.feature().recordPrefix(),
                (result, entries, storeRevision) -> {
                    List<String> old = new ArrayList<>();
                    List<String> unreadable = new ArrayList<>();
                    for (StoreClient.Entry entry : entries) {
                        try {
                            if (entry.key().startsWith(StoreKeys.JOB_PREFIX)) {
                                JobRecord.parse(entry.value());
                            } else {
                                MachineRecord.parse(
                                        entry.key().substring(StoreKeys.MACHINE_PREFIX.length()),
                                        entry.value());
                            }
                            if (count.feature().isInFeatureFormat(entry.value())
                                    == count.rollingBack()) {
                                old.add(entry.key());
                            }
                        } catch (MalformedMessageException e) {
                            UnreadableRecords.log(entry.key(), e);
                            unreadable.add(entry.key());
                        }
                    }
                    outcome.add(
                            new SchedulerEvent.RecordsCounted(
                                    count.feature(),
                                    count.rollingBack(),
                                    result == Result.OK,
                                    old,
                                    unreadable));
                });
    }
}
