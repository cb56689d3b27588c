package org.woadloom.node;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.core.Command;
import org.woadloom.core.Effect;
import org.woadloom.leader.RecordWriter;
import org.woadloom.state.JobRecord;
import org.woadloom.state.Keys;
import org.woadloom.state.MachineRecord;
import org.woadloom.state.StateClient;
import org.woadloom.state.StateClient.Change;
import org.woadloom.state.StateClient.Condition;
import org.woadloom.state.StateClient.Result;
import org.woadloom.state.StateClient.Urgency;
import org.woadloom.wire.WireException;

/** Carries out what a leader's core wants done of a rollout. */
final class RolloutDuties {
    private static final Logger LOG = LoggerFactory.getLogger(RolloutDuties.class);

    private final StateClient state;
    private final Rollout rollout;

    /** Takes an outcome, if the term still lasts. */
    interface Outcome {
        void add(Command command);
    }

    RolloutDuties(StateClient state, Rollout rollout) {
        this.state = state;
        this.rollout = rollout;
    }

    void put(Effect.PutRollout put, RecordWriter writer, Outcome outcome) {
        List<Condition> conditions = new ArrayList<>();
        put.conditions().forEach((path, stamp) -> conditions.add(new Condition(path, stamp)));
        List<Change> changes = new ArrayList<>();
        changes.add(Change.put(Keys.ROLLOUT_STATE, put.record().toMap()));
        if (put.agreed() > 0) {
            changes.add(Change.put(Keys.AGREED, ImmutableMap.of("version", put.agreed())));
        }
        writer.add(
                true,
                new RecordWriter.Write(
                        conditions,
                        changes,
                        (written, stamp) -> {
                            // Written or not, what stands there now is what counts.
                            rollout.changed();
                            outcome.add(
                                    new Command.RolloutWritten(
                                            put.record().number(), written, stamp));
                        }));
    }

    /**
     * Reads all records that the feature writes, after everything else, and judges each by its
     * form.
     */
    void count(Effect.CountRecords count, Outcome outcome) {
        state.list(
                Urgency.BACKGROUND,
                count.feature().prefix(),
                (result, entries, generation) -> {
                    List<String> old = new ArrayList<>();
                    List<String> unreadable = new ArrayList<>();
                    for (StateClient.Entry entry : entries) {
                        try {
                            if (entry.path().startsWith(Keys.JOBS)) {
                                JobRecord.parse(entry.value());
                            } else {
                                MachineRecord.parse(
                                        entry.path().substring(Keys.MACHINES.length()),
                                        entry.value());
                            }
                            if (count.feature().fresh(entry.value()) == count.back()) {
                                old.add(entry.path());
                            }
                        } catch (WireException e) {
                            LOG.error(
                                    "event=record_unreadable key={} error=\"{}\"",
                                    entry.path(),
                                    e.getMessage());
                            unreadable.add(entry.path());
                        }
                    }
                    outcome.add(
                            new Command.RecordsCounted(
                                    count.feature(),
                                    count.back(),
                                    result == Result.OK,
                                    old,
                                    unreadable));
                });
    }
}
