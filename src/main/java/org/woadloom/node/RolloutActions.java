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

/** Carries out the actions by which a leader's scheduler advances a rollout. */
final class RolloutActions {
    private final StoreClient store;
    private final RolloutParticipant rollout;

    /** Receives the outcome of an action; ignores it if the term has ended. */
    interface EventSink {
        void add(SchedulerEvent event);
    }

    RolloutActions(StoreClient store, RolloutParticipant rollout) {
        this.store = store;
        this.rollout = rollout;
    }

    void write(SchedulerAction.WriteRollout action, RecordWriter writer, EventSink sink) {
        List<Condition> conditions = new ArrayList<>();
        action.expectedRevisions()
                .forEach((key, revision) -> conditions.add(new Condition(key, revision)));
        List<Change> changes = new ArrayList<>();
        changes.add(Change.put(StoreKeys.ROLLOUT_STATE, action.record().toMap()));
        if (action.agreedVersion() > 0) {
            changes.add(
                    Change.put(
                            StoreKeys.AGREED_VERSION,
                            ImmutableMap.of("version", action.agreedVersion())));
        }
        writer.add(
                true,
                new RecordWriter.Write(
                        conditions,
                        changes,
                        (written, revision) -> {
                            // Whether or not the write succeeded, the stored state is read again,
                            // as only that counts.
                            rollout.refresh();
                            sink.add(
                                    new SchedulerEvent.RolloutWriteCompleted(
                                            action.record().number(), written, revision));
                        }));
    }

    /**
     * Reads all records that the feature affects, in the background, and classifies each by its
     * format.
     */
    void countRecords(SchedulerAction.CountRecords count, EventSink sink) {
        store.list(
                RequestPriority.BACKGROUND,
                count.feature().recordPrefix(),
                (result, entries, storeRevision) -> {
                    List<String> outdated = new ArrayList<>();
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
                                outdated.add(entry.key());
                            }
                        } catch (MalformedMessageException e) {
                            UnreadableRecords.log(entry.key(), e);
                            unreadable.add(entry.key());
                        }
                    }
                    sink.add(
                            new SchedulerEvent.RecordsCounted(
                                    count.feature(),
                                    count.rollingBack(),
                                    result == Result.OK,
                                    outdated,
                                    unreadable));
                });
    }
}
