package org.woadloom.reads;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Checks, for all queries that a round answers, that no direct or transitive dependency of a job is
 * cancelled.
 *
 * <p>A job is read once per check, however many queries and paths lead to it. The graph is walked
 * by queues instead of recursion, because a chain of thousands of jobs would overflow the stack. It
 * has no cycles, because a job can only name jobs that were accepted before it.
 */
final class DependencyCheck {
    /** Reads a job as it is now, or as of a later time. */
    interface JobSource {
        void read(String jobId, Consumer<QueryResult> callback);
    }

    /** A job in the graph, or a query. */
    private static final class Node {
        private final Consumer<Optional<QueryRefusal>> onSettled;
        private final List<Node> dependents = new ArrayList<>();
        private int unsettledDependencies;
        private boolean isSettled;

        /** Why dependents of a settled node can't be reported, or empty. */
        private Optional<QueryRefusal> refusal = Optional.empty();

        Node(Consumer<Optional<QueryRefusal>> onSettled) {
            this.onSettled = onSettled;
        }
    }

    /** A job that has yet to be read. */
    private record UnreadJob(String jobId, Node node) {}

    private final JobSource jobs;
    private final Map<String, Node> nodes = new HashMap<>();
    private final ArrayDeque<UnreadJob> unreadJobs = new ArrayDeque<>();

    /** Settled nodes whose dependents have yet to be notified. */
    private final ArrayDeque<Node> settledNodes = new ArrayDeque<>();

    private boolean isWalking;

    DependencyCheck(JobSource jobs) {
        this.jobs = jobs;
    }

    /**
     * Checks a job with the given direct dependencies. The result is empty if none of its
     * dependencies is cancelled; otherwise it is the reason why the job's status can't be reported,
     * which may be that a dependency could not be read.
     */
    void check(List<String> dependencies, Consumer<Optional<QueryRefusal>> result) {
        addDependencies(new Node(result), dependencies);
        walk();
    }

    private void walk() {
        if (isWalking) {
            return;
        }
        isWalking = true;
        while (!settledNodes.isEmpty() || !unreadJobs.isEmpty()) {
            if (settledNodes.isEmpty()) {
                read(unreadJobs.poll());
            } else {
                notifyDependents(settledNodes.poll());
            }
        }
        isWalking = false;
    }

    private void read(UnreadJob job) {
        jobs.read(
                job.jobId,
                result -> {
                    onRead(job.node, result);
                    walk();
                });
    }

    private void onRead(Node node, QueryResult result) {
        if (result instanceof QueryResult.Refused refused) {
            settle(node, Optional.of(refused.reason()));
        } else if (result.viewOrNull().isCancelled()) {
            settle(node, Optional.of(QueryRefusal.DEPENDENCY_CANCELLED));
        } else {
            addDependencies(node, result.viewOrNull().dependencies());
        }
    }

    private void addDependencies(Node node, List<String> dependencies) {
        for (String jobId : dependencies) {
            Node dependency = nodes.computeIfAbsent(jobId, this::addUnread);
            if (!dependency.isSettled) {
                dependency.dependents.add(node);
                node.unsettledDependencies++;
            } else if (dependency.refusal.isPresent()) {
                settle(node, dependency.refusal);
            }
        }
        if (node.unsettledDependencies == 0) {
            settle(node, Optional.empty());
        }
    }

    private Node addUnread(String jobId) {
        Node node = new Node(refusal -> {});
        unreadJobs.add(new UnreadJob(jobId, node));
        return node;
    }

    private void settle(Node node, Optional<QueryRefusal> refusal) {
        if (!node.isSettled) {
            node.isSettled = true;
            node.refusal = refusal;
            settledNodes.add(node);
        }
    }

    private void notifyDependents(Node node) {
        node.onSettled.accept(node.refusal);
        for (Node dependent : node.dependents) {
            dependent.unsettledDependencies--;
            if (node.refusal.isPresent() || dependent.unsettledDependencies == 0) {
                settle(dependent, node.refusal);
            }
        }
        node.dependents.clear();
    }
}
