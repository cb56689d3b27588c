package org.woadloom.core;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadloom.core.care.NodeStanding;
import org.woadloom.core.rollout.Feature;
import org.woadloom.state.JobRecord;
import org.woadloom.state.MachineRecord;
import org.woadloom.state.NodeWord;
import org.woadloom.state.RecordFormat;
import org.woadloom.state.RolloutRecord;
import org.woadloom.state.RolloutRequest;
import org.woadloom.wire.ListedMachine;
import org.woadloom.wire.MachineType;
import org.woadloom.wire.WorkerReport;

/** What happens to the core. Everything it knows of the world comes through here. */
public sealed interface Command {
    /** A record as read from the state service. */
    record StoredJob(JobRecord record, long stamp) {}

    record StoredMachine(MachineRecord record, long stamp) {}

    /**
     * This node has taken the term and has read every record.
     *
     * @param cancellationsSeenMicros the records tell of every cancellation that was made before
     *     this moment
     */
    record Lead(
            long term,
            List<StoredJob> jobs,
            List<StoredMachine> machines,
            long cancellationsSeenMicros)
            implements Command {}

    /** This node leads no more: everything is forgotten. */
    record StepDown() implements Command {}

    /** A job's record was accepted, changed or read. */
    record JobSeen(JobRecord record, long stamp) implements Command {}

    /** A job's record was read and says nothing but, perhaps, that it is cancelled. */
    record JobUnread(String uid, long stamp, boolean cancelled) implements Command {}

    /** Somebody may be told that these jobs are cancelled, as the state service says. */
    record CancellationsTold(List<String> uids) implements Command {}

    /** A job's record was looked for and is not there. */
    record JobMissing(String uid) implements Command {}

    /** A job's record could not be read. */
    record JobUnreadable(String uid) implements Command {}

    /** What the store says of a job that others wait for. */
    enum Standing {
        OPEN,
        DONE,
        CANCELLED,
        NOT_FOUND,
        UNREADABLE
    }

    /**
     * The answer to {@link Effect.FindJob}, with the time at which the job was over, 0 where that
     * is not known.
     */
    record JobFound(String uid, Standing standing, long overWallMicros) implements Command {}

    /**
     * What the state service takes, and how records are written, from now on; and whether nodes
     * take care of workers.
     *
     * @param machineLife whether records of machines tell of their lives
     */
    record StorageSeen(
            int valueBytes,
            RecordFormat format,
            double writesPerSecond,
            boolean care,
            boolean machineLife)
            implements Command {}

    /**
     * A node, this one perhaps, tells how it stands.
     *
     * @param cancellationsSeenMicros the core has been told of every cancellation that was made
     *     before this moment
     */
    record NodeSpoke(String node, NodeStanding standing, long cancellationsSeenMicros)
            implements Command {}

    /**
     * A machine's record as read after a write without a clear outcome; null where there is none.
     */
    record MachineSeen(String host, MachineRecord record, long stamp) implements Command {}

    record MachineUnreadable(String host) implements Command {}

    /** A worker's report, to be answered by a {@link Effect.Answer} with the same id. */
    record Report(long replyId, WorkerReport report) implements Command {}

    /** The outcome of a direct command: the HTTP status, 0 for no response, -1 for never sent. */
    record DirectResult(long sendId, String host, int status, WorkerReport report)
            implements Command {}

    /**
     * What became of a write; one that is too large for the state service was not executed and
     * never will be.
     */
    enum WriteOutcome {
        WRITTEN,
        CONFLICT,
        UNKNOWN,
        NOT_WRITTEN,
        TOO_LARGE
    }

    record JobWritten(String uid, long version, WriteOutcome outcome, long stamp)
            implements Command {}

    record MachineWritten(
            String host, boolean leaving, boolean dropped, WriteOutcome outcome, long stamp)
            implements Command {}

    record TypesSeen(List<MachineType> types) implements Command {}

    record MachinesListed(List<ListedMachine> machines) implements Command {}

    enum RentOutcome {
        RENTED,
        NO_CAPACITY,
        REFUSED,
        UNKNOWN
    }

    record Rented(String claim, RentOutcome outcome, List<String> hosts) implements Command {}

    record Deleted(List<String> hosts, boolean done) implements Command {}

    /** A live process's word, and the stamp under which it was read. */
    record Spoken(NodeWord word, long stamp) {}

    /**
     * The rollout as the store tells it.
     *
     * @param wordless nodes that were heard lately and give no word
     * @param agreed what versions 2 and 3 have agreed on
     * @param refused how many answers were refused and how many steps were late, since this process
     *     began
     */
    record RolloutSeen(
            RolloutRecord record,
            long stamp,
            Map<String, Spoken> words,
            Map<String, RolloutRequest> asked,
            Set<String> wordless,
            long agreed,
            long agreedStamp,
            long refused)
            implements Command {
        public RolloutSeen with(RolloutRecord changed, long changedStamp) {
            return new RolloutSeen(
                    changed, changedStamp, words, asked, wordless, agreed, agreedStamp, refused);
        }
    }

    record RolloutWritten(long number, WriteOutcome outcome, long stamp) implements Command {}

    /** What {@link Effect.CountRecords} found, if the store could be read. */
    record RecordsCounted(
            Feature feature, boolean back, boolean read, List<String> old, List<String> unreadable)
            implements Command {}

    /** Time has passed. */
    record Tick() implements Command {}
}
