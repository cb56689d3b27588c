package org.woadloom.reads;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.state.FinalRecord;
import org.woadloom.state.JobRecord;
import org.woadloom.state.Keys;
import org.woadloom.state.RecordFormat;
import org.woadloom.state.StateClient;
import org.woadloom.state.StateClient.Result;
import org.woadloom.state.StateClient.Urgency;
import org.woadloom.wire.WireException;

/** Reads one job by its keys. Only what never changes is kept: final states, and that a job was accepted. */
public final class JobReader {
    private static final Logger LOG = LoggerFactory.getLogger(JobReader.class);
    /**
     * More than the 12,000 open jobs of 4,000 machines, with those that ended lately. A final state takes 164 bytes of heap and
     * an accepted job 131 (measured): 5.9 MB when both are full. What is dropped is read again when it is asked for.
     */
    private static final int MOST_KEPT = 20_000;

    private final StateClient state;
    private final Consumer<RecordFormat> formatSeen;
    private final Cache<String, FinalRecord> finals = Caffeine.newBuilder().maximumSize(MOST_KEPT)
            .executor(Runnable::run).build();
    /** Jobs that are known to be accepted, which stays true; true for services. */
    private final Cache<String, Boolean> accepted = Caffeine.newBuilder().maximumSize(MOST_KEPT)
            .executor(Runnable::run).build();

    /** @param formatSeen hears in which format a record is */
    public JobReader(StateClient state, Consumer<RecordFormat> formatSeen) {
        this.state = state;
        this.formatSeen = formatSeen;
    }

    public void accepted(String uid, boolean service) {
        accepted.put(uid, service);
    }

    /** Whether an accepted job is a service; null for a job that is not known to be accepted. */
    public Boolean acceptedService(String uid) {
        return accepted.getIfPresent(uid);
    }

    /** The job's final state if it was ever read here, or null. */
    public Looked known(String uid) {
        FinalRecord known = finals.getIfPresent(uid);
        return known == null ? null : Looked.over(known);
    }

    /** Reads a job from the store, unless its final state is known; null if the store does not say. */
    public void look(String uid, Consumer<Looked> consumer) {
        look(uid, StateClient.NO_DEADLINE, consumer);
    }

    /** The same, without what would be asked of the store only after the given moment. */
    public void look(String uid, long deadlineMicros, Consumer<Looked> consumer) {
        look(Urgency.NORMAL, uid, deadlineMicros, consumer);
    }

    /** The same; of a job that is known to be over the final state is read at once. */
    void look(String uid, boolean over, long deadlineMicros, Consumer<Looked> consumer) {
        if (over && known(uid) == null) {
            lookForFinal(Urgency.NORMAL, uid, deadlineMicros, looked -> {
                if (looked == Looked.UNKNOWN) {
                    look(uid, deadlineMicros, consumer);
                } else {
                    consumer.accept(looked);
                }
            });
        } else {
            look(uid, deadlineMicros, consumer);
        }
    }

    /** The same, before or after what else this node asks of the store. */
    public void look(Urgency urgency, String uid, Consumer<Looked> consumer) {
        look(urgency, uid, StateClient.NO_DEADLINE, consumer);
    }

    private void look(Urgency urgency, String uid, long deadlineMicros, Consumer<Looked> consumer) {
        Looked known = known(uid);
        if (known != null) {
            consumer.accept(known);
            return;
        }
        state.get(urgency, Keys.job(uid), deadlineMicros, (result, entry, generation) -> {
            if (result == Result.NOT_FOUND) {
                lookForFinal(urgency, uid, deadlineMicros, consumer);
            } else {
                consumer.accept(result == Result.OK ? parse(uid, entry.value(), entry.stamp()) : null);
            }
        });
    }

    /** Reads a job's record alone; null if the store does not say or there is none, which does not say that there is no job. */
    public void lookForRecord(Urgency urgency, String uid, Consumer<Looked> consumer) {
        state.get(urgency, Keys.job(uid), (result, entry, generation) -> consumer.accept(
                result == Result.OK ? parse(uid, entry.value(), entry.stamp()) : null));
    }

    /** A job moves from its record to its final state in one transaction, so this order of reading can't miss it. */
    private void lookForFinal(Urgency urgency, String uid, long deadlineMicros, Consumer<Looked> consumer) {
        state.get(urgency, Keys.finalState(uid), deadlineMicros, (result, entry, generation) -> {
            Looked looked = null;
            if (result == Result.NOT_FOUND) {
                looked = Looked.UNKNOWN;
            } else if (result == Result.OK) {
                try {
                    FinalRecord record = FinalRecord.parse(uid, entry.value());
                    finals.put(uid, record);
                    accepted.put(uid, record.service());
                    looked = Looked.over(record);
                } catch (WireException e) {
                    // What can't be read says nothing.
                }
            }
            consumer.accept(looked);
        });
    }

    /** What a job's record says; null for one of a later version. */
    Looked parse(String uid, Map<String, Object> value, long stamp) {
        try {
            RecordFormat format = JobRecord.formatOf(value);
            formatSeen.accept(format);
            JobRecord record = JobRecord.parse(value);
            accepted.put(uid, record.description().service());
            return Looked.of(record, format, stamp);
        } catch (WireException e) {
            LOG.error("event=record_unreadable key={} error=\"{}\"", Keys.job(uid), e.getMessage());
            return JobRecord.ofLaterVersion(value) ? null : Looked.unreadable(uid, value, stamp);
        }
    }
}
