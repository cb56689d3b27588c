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
 * Confirms cancellations to users once the leader knows of them, or once no leader relies on a
 * promise of this node any longer. A promise says that this node confirms no cancellation that the
 * leader lacks; nodes send it with their watermark reports of confirmed cancellations. In return a
 * leader continues without the store as long as all nodes send these reports. Confined to the event
 * loop.
 */
final class CancellationConfirmer implements JobApi.CancellationConfirmation {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationConfirmer.class);
    private static final long ANSWER_CHECK_INTERVAL_MICROS = 50_000;

    /**
     * How often a report is sent while a user waits: the leader may have been loading its state, or
     * the previous report may have been lost.
     */
    private static final long REPORT_RETRY_MICROS = 200_000;

    private static final long LOG_INTERVAL_MICROS = 10_000_000;

    /**
     * The minimum lag at which a leader suspends lease renewal: the watch alone may delay a leader
     * that the store serves by this much. The minimum also holds where the settings let a cancelled
     * task run for little longer than a lease, which is more than any leader can guarantee.
     */
    private static final long MIN_TOLERATED_LAG_MICROS = 5_000_000;

    /** Sends reports and acknowledgements to peers, and knows whether the leader can be reached. */
    interface PeerChannel {
        /** The label of the leader, possibly this node, or null if messages can't reach it. */
        String reachableLeader();

        long term();

        void sendReport(String leader, WatermarkReport report);

        void sendAck(String node, WatermarkAck ack);

        /** How long the store has not answered this node; 0 while its requests succeed. */
        long storeSilentMicros();
    }

    /** The state of this node while it leads. */
    interface LeaderState {
        /** True once the stored records are loaded. */
        boolean isReady();

        long cancellationsReadUpToMicros();

        void onCancelled(List<String> jobIds);
    }

    private final EventLoop loop;
    private final String self;
    private final List<String> nodes = new ArrayList<>();
    private final long maxLagMicros;
    private final PeerChannel peerChannel;
    private final LeaderState leaderState;
    private final ConfirmedCancellations confirmed;

    /**
     * The users who wait for a confirmation, in order of arrival, and the job that each cancelled.
     */
    private final Map<PendingConfirmation, String> pending = new LinkedHashMap<>();

    private CancellationWatermark watermark;
    private boolean reportsEnabled;
    private boolean answerCheckScheduled;
    private boolean reportScheduled;
    private long lastReportMicros = Long.MIN_VALUE / 2;
    private long malformedReports;
    private long lastSuspensionLogMicros = Long.MIN_VALUE / 2;

    private record PendingConfirmation(long deadlineMicros, Consumer<Boolean> answer) {}

    CancellationConfirmer(
            EventLoop loop,
            ServiceSettings settings,
            Random random,
            PeerChannel peerChannel,
            LeaderState leaderState) {
        this.loop = loop;
        this.peerChannel = peerChannel;
        this.leaderState = leaderState;
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

    /** Switches watermark reports on or off. Promises that were given before remain valid. */
    void setEnabled(boolean enabled) {
        reportsEnabled = enabled;
    }

    /**
     * The feature is known to have been off so far, so the previous process of this node made no
     * promises.
     */
    void onNeverEnabled() {
        confirmed.forgetPredecessorPromises();
    }

    // Confirmations to users.

    @Override
    public void confirm(String jobId, long timeoutMicros, Consumer<Boolean> answer) {
        long now = loop.nowMicros();
        confirmed.add(jobId, now);
        if (confirmed.tryConfirm(jobId, now)) {
            answer.accept(true);
            return;
        }
        pending.put(new PendingConfirmation(now + timeoutMicros, answer), jobId);
        scheduleReport();
        scheduleAnswerCheck();
    }

    private void scheduleAnswerCheck() {
        if (!answerCheckScheduled && !pending.isEmpty()) {
            answerCheckScheduled = true;
            loop.schedule(
                    ANSWER_CHECK_INTERVAL_MICROS,
                    () -> {
                        answerCheckScheduled = false;
                        answerUsers();
                        if (!pending.isEmpty()
                                && loop.nowMicros() - lastReportMicros >= REPORT_RETRY_MICROS) {
                            sendReport();
                        }
                        scheduleAnswerCheck();
                    });
        }
    }

    private void answerUsers() {
        long now = loop.nowMicros();
        for (Map.Entry<PendingConfirmation, String> entry : List.copyOf(pending.entrySet())) {
            PendingConfirmation user = entry.getKey();
            boolean confirmable = confirmed.tryConfirm(entry.getValue(), now);
            if (confirmable || now >= user.deadlineMicros) {
                pending.remove(user);
                user.answer.accept(confirmable);
            }
        }
    }

    int waitingUsers() {
        return pending.size();
    }

    // Reports to the leader.

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

    /**
     * Sends the leader a report of the confirmed cancellations, with a promise for a limited time.
     * Called periodically.
     */
    void sendReport() {
        String leader = peerChannel.reachableLeader();
        if (!reportsEnabled || leader == null || (leader.equals(self) && !leaderState.isReady())) {
            return;
        }
        long now = loop.nowMicros();
        lastReportMicros = now;
        WatermarkReport report =
                confirmed.nextReport(
                        leader, peerChannel.term(), peerChannel.storeSilentMicros(), now);
        if (report == null) {
            return;
        }
        if (leader.equals(self)) {
            onReport(self, report);
        } else {
            peerChannel.sendReport(leader, report);
        }
    }

    void onAck(WatermarkAck ack) {
        confirmed.onAck(ack);
        answerUsers();
    }

    void onPeerTerm(String peer, long term, boolean leads) {
        confirmed.onPeerTerm(peer, term, leads);
    }

    // Reports from all nodes, while this node leads.

    void startTerm(long term) {
        watermark = new CancellationWatermark(term, nodes);
    }

    void endTerm() {
        watermark = null;
        confirmed.onLeadershipLost(self);
    }

    void onReport(String node, WatermarkReport report) {
        long now = loop.nowMicros();
        String error =
                report.jobIds().stream().allMatch(JobDescription::isJobId)
                        ? CancellationWatermark.validationError(report, now)
                        : "jobIds: expected only job ids";
        if (error != null) {
            malformedReports++;
            LOG.warn("event=cancellation_report_invalid node={} error=\"{}\"", node, error);
            return;
        }
        if (watermark == null || !leaderState.isReady()) {
            return;
        }
        WatermarkAck ack =
                watermark.onReport(node, report, leaderState.cancellationsReadUpToMicros(), now);
        if (ack == null) {
            return;
        }
        // The scheduler must get these before any later heartbeat, so that the next answer to an
        // agent stops the jobs.
        if (!report.jobIds().isEmpty()) {
            leaderState.onCancelled(report.jobIds());
        }
        if (node.equals(self)) {
            onAck(ack);
        } else {
            peerChannel.sendAck(node, ack);
        }
    }

    long malformedReports() {
        return malformedReports;
    }

    /**
     * The age of the cancellation watermark: this leader knows every cancellation that was
     * confirmed before it. 0 while this node does not lead.
     */
    long lagMicros() {
        return watermark == null || !leaderState.isReady()
                ? 0
                : Math.max(
                        0,
                        loop.nowMicros()
                                - watermark.watermarkMicros(
                                        leaderState.cancellationsReadUpToMicros()));
    }

    /**
     * Whether this leader must stop renewing leases, so that they expire in time: a user may have
     * been told of a cancellation that this leader lacks.
     */
    boolean mustSuspendLeaseRenewal() {
        long lag = lagMicros();
        if (lag <= maxLagMicros) {
            return false;
        }
        long now = loop.nowMicros();
        if (now - lastSuspensionLogMicros > LOG_INTERVAL_MICROS) {
            lastSuspensionLogMicros = now;
            LOG.warn(
                    "event=lease_renewal_suspended cancellations_behind_s={} missing_reports={}",
                    lag / 1_000_000,
                    watermark.slowestNodes(leaderState.cancellationsReadUpToMicros()));
        }
        return true;
    }
}
