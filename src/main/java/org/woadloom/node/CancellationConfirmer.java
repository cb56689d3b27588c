package org.woadloom.node;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.core.cancellation.CancellationWatermark;
import org.woadloom.core.cancellation.ConfirmedCancellations;
import org.woadloom.core.cancellation.WatermarkAck;
import org.woadloom.core.cancellation.WatermarkReport;
import org.woadloom.core.delegation.DelegationTimeouts;
import org.woadloom.http.JobApi;
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.JobDescription;
import org.woadloom.settings.Peer;
import org.woadloom.settings.ServiceSettings;

/**
 * Confirms cancellations to users once the leader has them, or once no leader relies on a promise
 * of this node. In return a leader goes on without the store as long as all nodes send watermark
 * reports of what they have confirmed. Belongs to the event loop.
 */
final class CancellationConfirmer implements JobApi.CancellationConfirmation {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationConfirmer.class);
    private static final long RELEASE_INTERVAL_MICROS = 50_000;

    /**
     * While a user waits a report is sent to the leader so often: it may have been loading, or the
     * one before got lost.
     */
    private static final long REPORT_RETRY_MICROS = 200_000;

    private static final long LOG_INTERVAL_MICROS = 10_000_000;

    /**
     * A leader that the store serves may be this far behind by its watch alone, so none suspends
     * lease renewal sooner: not even where a cancelled task may stay for little longer than a
     * lease, which then asks for more than any leader can do.
     */
    private static final long MIN_TOLERATED_LAG_MICROS = 5_000_000;

    /** Sends reports to the leader, and knows whether it can be reached. */
    interface Carrier {
        /** The leader where messages reach it, this node perhaps; null otherwise. */
        String reachableLeader();

        long term();

        void sendReport(String leader, WatermarkReport report);

        void sendAck(String node, WatermarkAck ack);

        /** For how long the store has not served this node. */
        long storeSilentMicros();
    }

    /** What a leader knows by itself. */
    interface View {
        /** True once it has read the records. */
        boolean isReady();

        long cancellationsReadUpToMicros();

        void onCancelled(List<String> jobIds);
    }

    private final EventLoop loop;
    private final String self;
    private final List<String> nodes = new ArrayList<>();
    private final long maxLagMicros;
    private final Carrier carrier;
    private final View view;
    private final ConfirmedCancellations confirmed;

    /** The users who wait, in order of arrival, and the job of each. */
    private final Map<Waiting, String> waiting = new LinkedHashMap<>();

    private CancellationWatermark watermark;
    private boolean reportsEnabled;
    private boolean releaseScheduled;
    private boolean reportScheduled;
    private long lastReportMicros = Long.MIN_VALUE / 2;
    private long malformed;
    private long suspensionLoggedMicros = Long.MIN_VALUE / 2;

    private record Waiting(long untilMicros, Consumer<Boolean> answer) {}

    CancellationConfirmer(
            EventLoop loop, ServiceSettings settings, Random random, Carrier carrier, View view) {
        this.loop = loop;
        this.carrier = carrier;
        this.view = view;
        self = settings.label();
        List<String> peers = settings.peers().stream().map(Peer::label).toList();
        nodes.add(self);
        nodes.addAll(peers);
        maxLagMicros =
                Math.max(
                        MIN_TOLERATED_LAG_MICROS,
                        DelegationTimeouts.of(
                                        settings.agents().leaseMicros(),
                                        settings.agents().cancelMicros())
                                .validityMicros());
        confirmed = new ConfirmedCancellations(random.nextLong(), peers, loop.nowMicros());
    }

    /**
     * The feature of watermark reports has been switched on or off; promises that were given hold
     * all the same.
     */
    void setEnabled(boolean agreed) {
        reportsEnabled = agreed;
    }

    /** The feature is known to have been off: the process before this one made no promises. */
    void onNeverEnabled() {
        confirmed.forgetPredecessorPromises();
    }

    // Towards users.

    @Override
    public void confirm(String jobId, long patienceMicros, Consumer<Boolean> answer) {
        long now = loop.nowMicros();
        confirmed.add(jobId, now);
        if (confirmed.tryConfirm(jobId, now)) {
            answer.accept(true);
            return;
        }
        waiting.put(new Waiting(now + patienceMicros, answer), jobId);
        scheduleReport();
        scheduleRelease();
    }

    private void scheduleRelease() {
        if (!releaseScheduled && !waiting.isEmpty()) {
            releaseScheduled = true;
            loop.schedule(
                    RELEASE_INTERVAL_MICROS,
                    () -> {
                        releaseScheduled = false;
                        release();
                        if (!waiting.isEmpty()
                                && loop.nowMicros() - lastReportMicros >= REPORT_RETRY_MICROS) {
                            sendReport();
                        }
                        scheduleRelease();
                    });
        }
    }

    private void release() {
        long now = loop.nowMicros();
        for (Map.Entry<Waiting, String> entry : List.copyOf(waiting.entrySet())) {
            Waiting user = entry.getKey();
            boolean confirmable = confirmed.tryConfirm(entry.getValue(), now);
            if (confirmable || now >= user.untilMicros) {
                waiting.remove(user);
                user.answer.accept(confirmable);
            }
        }
    }

    /** How many users wait for the confirmation of a cancellation. */
    int waiting() {
        return waiting.size();
    }

    // Towards the leader.

    private void scheduleReport() {
        if (!reportScheduled) {
            reportScheduled = true;
            loop.execute(
                    () -> {
                        reportScheduled = false;
                        sendReport();
                    });
        }
    }

    /** Sends a report of what was confirmed, with a promise for a while; called all the time. */
    void sendReport() {
        String leader = carrier.reachableLeader();
        if (!reportsEnabled || leader == null || (leader.equals(self) && !view.isReady())) {
            return;
        }
        long now = loop.nowMicros();
        lastReportMicros = now;
        WatermarkReport report =
                confirmed.nextReport(leader, carrier.term(), carrier.storeSilentMicros(), now);
        if (report == null) {
            return;
        }
        if (leader.equals(self)) {
            onReport(self, report);
        } else {
            carrier.sendReport(leader, report);
        }
    }

    void onAck(WatermarkAck ack) {
        confirmed.onAck(ack);
        release();
    }

    void onPeerTerm(String peer, long term, boolean leads) {
        confirmed.onPeerTerm(peer, term, leads);
    }

    // While this node leads.

    void startTerm(long term) {
        watermark = new CancellationWatermark(term, nodes);
    }

    void endTerm() {
        watermark = null;
        confirmed.onLeadershipLost(self);
    }

    void onReport(String node, WatermarkReport report) {
        long now = loop.nowMicros();
        String flaw =
                report.jobIds().stream().allMatch(JobDescription::isJobId)
                        ? CancellationWatermark.validationError(report, now)
                        : "a name that is no job's";
        if (flaw != null) {
            malformed++;
            LOG.warn("event=cancellation_report_invalid node={} error=\"{}\"", node, flaw);
            return;
        }
        if (watermark == null || !view.isReady()) {
            return;
        }
        WatermarkAck ack =
                watermark.onReport(node, report, view.cancellationsReadUpToMicros(), now);
        if (ack == null) {
            return;
        }
        // Before any heartbeat that comes after this: the next answer to an agent stops these jobs.
        if (!report.jobIds().isEmpty()) {
            view.onCancelled(report.jobIds());
        }
        if (node.equals(self)) {
            onAck(ack);
        } else {
            carrier.sendAck(node, ack);
        }
    }

    long malformed() {
        return malformed;
    }

    /**
     * How long ago the moment is up to which this leader knows every cancellation that was
     * confirmed; 0 while this node does not lead.
     */
    long lagMicros() {
        return watermark == null || !view.isReady()
                ? 0
                : Math.max(
                        0,
                        loop.nowMicros()
                                - watermark.watermarkMicros(view.cancellationsReadUpToMicros()));
    }

    /**
     * Whether this leader must stop to renew leases, so that they expire in time: a user may have
     * been told of a cancellation that the leader lacks.
     */
    boolean mustSuspendLeases() {
        long behind = lagMicros();
        if (behind <= maxLagMicros) {
            return false;
        }
        long now = loop.nowMicros();
        if (now - suspensionLoggedMicros > LOG_INTERVAL_MICROS) {
            suspensionLoggedMicros = now;
            LOG.warn(
                    "event=lease_renewal_suspended cancellations_behind_s={} missing_reports={}",
                    behind / 1_000_000,
                    watermark.slowestNodes(view.cancellationsReadUpToMicros()));
        }
        return true;
    }
}
