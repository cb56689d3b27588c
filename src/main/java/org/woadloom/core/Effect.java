package org.woadloom.core;

import java.util.List;
import java.util.Map;
import org.woadloom.core.care.Warrant;
import org.woadloom.core.rollout.Feature;
import org.woadloom.core.served.Served;
import org.woadloom.state.FinalRecord;
import org.woadloom.state.JobRecord;
import org.woadloom.state.MachineRecord;
import org.woadloom.state.RolloutRecord;
import org.woadloom.wire.Order;

/** What the core wants done. Outcomes come back as commands. */
public sealed interface Effect {
    record Answer(long replyId, long epoch, List<Order> orders) implements Effect {}

    /**
     * Tell whoever sent a report that it is not taken: nobody waits for its answer, and none may
     * renew a lease.
     */
    record TurnAway(long replyId) implements Effect {}

    record SendDirect(
            long sendId, String host, String addr, long epoch, long tenure, List<Order> orders)
            implements Effect {}

    /** Write the job's record on condition that its stamp is still {@code stamp}. */
    record PutJob(JobRecord record, long stamp, boolean urgent) implements Effect {}

    /** Replace the job's record by its final state, on the same condition. */
    record FinishJob(FinalRecord record, long stamp, long version) implements Effect {}

    record ReadJob(String uid) implements Effect {}

    /** Say what the store knows of a job that others wait for: its record, or its final state. */
    record FindJob(String uid) implements Effect {}

    record PutMachine(MachineRecord record, long stamp) implements Effect {}

    record DropMachine(String host, long stamp) implements Effect {}

    record ReadMachine(String host) implements Effect {}

    record Rent(String claim, String hosttype, String yard, boolean reclaimable, int count)
            implements Effect {}

    record Delete(List<String> hosts) implements Effect {}

    /** Answer a node that told how it stands. */
    record GiveWarrant(String node, Warrant warrant) implements Effect {}

    /** The core has seen proof that another node leads. */
    record Abdicate(String reason) implements Effect {}

    /**
     * Write how far the features are, if all these keys still have these stamps.
     *
     * @param agreed what versions 2 and 3 are to learn with it, 0 for nothing
     */
    record PutRollout(RolloutRecord record, Map<String, Long> conditions, long agreed)
            implements Effect {}

    /**
     * Say which of the feature's records in the store are not of its form, or are of it where it is
     * taken back.
     */
    record CountRecords(Feature feature, boolean back) implements Effect {}

    /** Who is served, once a minute. */
    record ServedSeen(List<Served.Row> rows) implements Effect {}

    /** One line for the log. */
    record Note(LogEntry entry) implements Effect {}
}
