package org.woadloom.node;

import java.util.Locale;
import org.woadloom.agent.AgentConnectionBalancer;
import org.woadloom.core.Scheduler;
import org.woadloom.http.JobApi;
import org.woadloom.invariant.Invariants;
import org.woadloom.leader.Election;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.reads.QueryRefusal;
import org.woadloom.store.RateShare;
import org.woadloom.store.StoreClient;

/** Registers the gauges of a node's components. */
final class NodeGauges {
    private static final double MICROS_PER_SECOND = 1e6;

    private NodeGauges() {}

    static void registerUsersAndElection(
            NodeMetrics metrics, JobApi jobs, Node node, Election election) {
        metrics.gauge(
                "woadloom.jobs.unanswered_s",
                jobs,
                j -> j.longestUnansweredMicros() / MICROS_PER_SECOND);
        for (QueryRefusal reason : QueryRefusal.values()) {
            metrics.gauge(
                    "woadloom.jobs.polls_refused",
                    "reason",
                    reason.key(),
                    jobs,
                    j -> j.refusedQueries(reason));
        }
        metrics.gauge("woadloom.invariants.violated", metrics, ignored -> Invariants.violations());
        metrics.gauge("woadloom.alone", node, n -> n.isIsolated() ? 1 : 0);
        metrics.gauge("woadloom.leader", election, e -> e.isLeader() ? 1 : 0);
        metrics.gauge("woadloom.term", election, Election::leaderTerm);
    }

    static void registerStore(NodeMetrics metrics, StoreClient store) {
        metrics.gauge("woadloom.state.troubles", store, StoreClient::failureCount);
        metrics.gauge("woadloom.state.shed", store, StoreClient::shedCount);
        metrics.gauge("woadloom.state.over_rate", store, StoreClient::rateRefusalCount);
        metrics.gauge("woadloom.state.requests_per_s", store, StoreClient::requestsPerSecond);
        metrics.gauge("woadloom.state.changes_per_s", store, StoreClient::writesPerSecond);
        for (RateShare share : RateShare.values()) {
            String name = share.name().toLowerCase(Locale.ROOT);
            metrics.gauge("woadloom.state.queued", "share", name, store, s -> s.queuedCount(share));
            metrics.gauge(
                    "woadloom.state.queue_age_s",
                    "share",
                    name,
                    store,
                    s -> s.longestQueuedMicros(share) / MICROS_PER_SECOND);
        }
    }

    static void registerScheduler(
            NodeMetrics metrics, Scheduler scheduler, RolloutParticipant rollout) {
        metrics.gauge("woadloom.jobs", scheduler, Scheduler::openJobCount);
        metrics.gauge("woadloom.machines", scheduler, Scheduler::machineCount);
        metrics.gauge("woadloom.machines.deaf", scheduler, Scheduler::unreachableMachineCount);
        metrics.gauge("woadloom.exits.acknowledged", scheduler, Scheduler::acknowledgedExitCount);
        metrics.gauge("woadloom.exits.held", scheduler, Scheduler::heldExitCount);
        metrics.gauge("woadloom.tokens.raised", scheduler, Scheduler::raisedTokenCount);
        metrics.gauge("woadloom.direct.refused", scheduler, Scheduler::refusedCommandCount);
        metrics.gauge("woadloom.core.machines_examined", scheduler, Scheduler::machinesExamined);
        metrics.gauge("woadloom.jobs.waiting", scheduler, Scheduler::blockedJobCount);
        metrics.gauge("woadloom.rollout.number", rollout, RolloutParticipant::recordNumber);
        metrics.gauge("woadloom.rollout.on", rollout, RolloutParticipant::enabledCount);
        metrics.gauge("woadloom.rollout.rewrite", scheduler, Scheduler::recordsToMigrateCount);
        metrics.gauge("woadloom.rollout.unreadable", scheduler, Scheduler::unreadableRecordCount);
        metrics.gauge("woadloom.rollout.closed", rollout, r -> r.closedReason() == null ? 0 : 1);
        metrics.gauge("woadloom.reservations", scheduler, Scheduler::reservationCount);
    }

    static void registerCancellations(
            NodeMetrics metrics, CancellationConfirmer cancellationConfirmer) {
        metrics.gauge(
                "woadloom.cancellations.behind_s",
                cancellationConfirmer,
                c -> c.lagMicros() / MICROS_PER_SECOND);
        metrics.gauge(
                "woadloom.cancellations.waiting",
                cancellationConfirmer,
                CancellationConfirmer::waitingUsers);
        metrics.gauge(
                "woadloom.cancellations.malformed",
                cancellationConfirmer,
                CancellationConfirmer::malformedReports);
    }

    static void registerQueues(
            NodeMetrics metrics,
            EventQueue queue,
            HeartbeatRouter heartbeatRouter,
            PeerTracker peers,
            AgentConnectionBalancer connectionBalancer) {
        metrics.gauge("woadloom.reports.queue_full", queue, EventQueue::refusedHeartbeats);
        metrics.gauge(
                "woadloom.reports.parked_full",
                heartbeatRouter,
                HeartbeatRouter::refusedHeartbeats);
        metrics.gauge("woadloom.peers.queue_full", peers, PeerTracker::refusedHeartbeats);
        metrics.gauge(
                "woadloom.workers.here",
                connectionBalancer,
                AgentConnectionBalancer::connectedAgents);
    }
}
