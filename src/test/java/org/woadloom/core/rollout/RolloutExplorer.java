package org.woadloom.core.rollout;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.woadloom.core.rollout.RolloutPolicy.Decision;
import org.woadloom.core.rollout.RolloutPolicy.Inputs;
import org.woadloom.store.NodeAnnouncement;
import org.woadloom.store.RolloutRecord;
import org.woadloom.store.RolloutRecord.FeatureState;
import org.woadloom.store.RolloutRecord.Step;
import org.woadloom.store.RolloutRequest.Verb;

/**
 * A model checker for rollouts. It visits every state of three nodes, a store and one write that
 * may be delayed, breadth first, so that the first trace to a violation is a shortest one. Nodes
 * are interchangeable. All decisions are made by the real {@link RolloutPolicy} and {@link
 * ClusterMembership}; the model covers which nodes run, what the store holds, and which writes are
 * in flight.
 */
final class RolloutExplorer {
    /** A fault that is put into the model on purpose. */
    enum Fault {
        NONE,
        /** A step is written although an announcement has changed since it was decided. */
        STALE_ANNOUNCEMENTS,
        /** A process reads the required features before it announces itself. */
        READS_BEFORE_ANNOUNCING,
        /** Records that still have to be rewritten are ignored. */
        IGNORES_REMAINING_RECORDS,
        /** Records are counted while a write may still be in flight. */
        COUNTS_DURING_WRITE
    }

    private static final Feature FEATURE = Feature.MACHINE_LIFECYCLE;
    private static final int NODES = 3;

    /** Enough steps to settle the feature or to roll it back, without faults. */
    private static final int MAX_STEPS_WITHOUT_FAULTS = 8;

    /** How far a node's process is. */
    private enum Phase {
        STOPPED,
        STARTED,
        ANNOUNCED,
        SERVING,
        /** It must not serve, as it does not know a required feature. */
        FENCED
    }

    /** A node's stored announcement: none, or that of an old or a new release. */
    private enum Announced {
        NONE,
        OLD,
        NEW
    }

    /**
     * One node.
     *
     * @param newRelease whether it runs the release that knows the feature
     * @param announced its stored announcement, which may be that of a former process
     */
    private record Node(boolean newRelease, Phase phase, Announced announced, boolean leads) {
        private int code() {
            return ((phase.ordinal() * 3 + announced.ordinal()) * 2 + (newRelease ? 1 : 0)) * 2
                    + (leads ? 1 : 0);
        }
    }

    /**
     * @param oldRecords whether the store has records in the old format
     * @param newRecords whether the store has records in the feature's format
     * @param pendingStep the step that is being written, or null
     * @param superseded whether another leader took over since the pending step was decided, so
     *     that its write fails
     * @param announcementsChanged whether an announcement has changed since the pending step was
     *     decided, so that its write fails, except with {@link Fault#STALE_ANNOUNCEMENTS}
     * @param writeInFlight whether a record in the feature's format may still reach the store
     */
    private record State(
            List<Node> nodes,
            FeatureState standing,
            boolean oldRecords,
            boolean newRecords,
            FeatureState pendingStep,
            boolean superseded,
            boolean announcementsChanged,
            boolean writeInFlight,
            boolean storeUp,
            Verb request) {

        HashCode hash() {
            Hasher hasher = Hashing.murmur3_128().newHasher();
            nodes.forEach(node -> hasher.putInt(node.code()));
            return hasher.putInt(code(standing))
                    .putInt(pendingStep == null ? -1 : code(pendingStep))
                    .putBoolean(oldRecords)
                    .putBoolean(newRecords)
                    .putBoolean(superseded)
                    .putBoolean(announcementsChanged)
                    .putBoolean(writeInFlight)
                    .putBoolean(storeUp)
                    .putInt(request.ordinal())
                    .hash();
        }

        private static int code(FeatureState standing) {
            return standing.step().ordinal() * 2 + (standing.isRollingBack() ? 1 : 0);
        }

        State withNode(int index, Node node) {
            List<Node> changed = new ArrayList<>(nodes);
            changed.set(index, node);
            changed.sort((a, b) -> Integer.compare(a.code(), b.code()));
            return new State(
                    changed,
                    standing,
                    oldRecords,
                    newRecords,
                    pendingStep,
                    superseded,
                    announcementsChanged,
                    writeInFlight,
                    storeUp,
                    request);
        }

        State withAnnouncementsChanged() {
            return new State(
                    nodes,
                    standing,
                    oldRecords,
                    newRecords,
                    pendingStep,
                    superseded,
                    pendingStep != null,
                    writeInFlight,
                    storeUp,
                    request);
        }

        State withRecords(boolean anyOld, boolean anyNew, boolean inFlight) {
            return new State(
                    nodes,
                    standing,
                    anyOld,
                    anyNew,
                    pendingStep,
                    superseded,
                    announcementsChanged,
                    inFlight,
                    storeUp,
                    request);
        }

        State withSteps(FeatureState pending, FeatureState current) {
            return new State(
                    nodes,
                    current,
                    oldRecords,
                    newRecords,
                    pending,
                    false,
                    false,
                    writeInFlight,
                    storeUp,
                    request);
        }

        State withLeader(int index) {
            List<Node> changed = new ArrayList<>();
            for (int i = 0; i < nodes.size(); i++) {
                Node node = nodes.get(i);
                changed.add(new Node(node.newRelease, node.phase, node.announced, i == index));
            }
            changed.sort((a, b) -> Integer.compare(a.code(), b.code()));
            return new State(
                    changed,
                    standing,
                    oldRecords,
                    newRecords,
                    pendingStep,
                    pendingStep != null,
                    announcementsChanged,
                    false,
                    storeUp,
                    request);
        }

        State withStoreUp(boolean up) {
            return new State(
                    nodes,
                    standing,
                    oldRecords,
                    newRecords,
                    pendingStep,
                    superseded,
                    announcementsChanged,
                    writeInFlight,
                    up,
                    request);
        }

        State withRequest(Verb verb) {
            return new State(
                    nodes,
                    standing,
                    oldRecords,
                    newRecords,
                    pendingStep,
                    superseded,
                    announcementsChanged,
                    writeInFlight,
                    storeUp,
                    verb);
        }
    }

    /** How a state was first reached: from which state, and by which action. */
    private record Origin(HashCode from, String action) {}

    private record Transition(String action, State state) {}

    private final Fault fault;
    private final Map<HashCode, Origin> visited = new HashMap<>();
    private final Set<Step> reachedSteps = new TreeSet<>();
    private List<String> trace = List.of();
    private long elapsedMillis;

    RolloutExplorer(Fault fault) {
        this.fault = fault;
    }

    int visitedStates() {
        return visited.size();
    }

    long elapsedMillis() {
        return elapsedMillis;
    }

    Set<Step> reachedSteps() {
        return reachedSteps;
    }

    /** The actions that led to the violation that was found. */
    List<String> trace() {
        return trace;
    }

    /** Explores all states to the given depth; returns the first violation, or null. */
    String explore(int depth) {
        long startNanos = System.nanoTime();
        Node node = new Node(true, Phase.SERVING, Announced.NEW, false);
        State first =
                new State(
                                List.of(node, node, node),
                                FeatureState.OFF,
                                true,
                                false,
                                null,
                                false,
                                false,
                                false,
                                true,
                                Verb.AUTO)
                        .withLeader(0);
        visited.put(first.hash(), new Origin(null, "three new nodes serve"));
        ArrayDeque<State> queue = new ArrayDeque<>(List.of(first));
        for (int level = 0; level < depth && !queue.isEmpty(); level++) {
            for (int left = queue.size(); left > 0; left--) {
                State state = queue.poll();
                for (Transition transition : transitions(state)) {
                    HashCode hash = transition.state.hash();
                    Origin origin = new Origin(state.hash(), transition.action);
                    if (visited.putIfAbsent(hash, origin) != null) {
                        continue;
                    }
                    reachedSteps.add(transition.state.standing.step());
                    String violation = findViolation(state, transition.state);
                    if (violation != null) {
                        setTrace(hash);
                        return violation;
                    }
                    queue.add(transition.state);
                }
            }
        }
        elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
        return null;
    }

    private void setTrace(HashCode last) {
        List<String> actions = new ArrayList<>();
        for (Origin origin = visited.get(last);
                origin != null;
                origin = origin.from == null ? null : visited.get(origin.from)) {
            actions.add(origin.action);
        }
        Collections.reverse(actions);
        trace = actions;
    }

    private String findViolation(State before, State state) {
        for (Node node : state.nodes) {
            if (node.phase == Phase.SERVING
                    && !node.newRelease
                    && (state.newRecords || state.standing.isOn())) {
                return "a node serves that can't read what is written";
            }
        }
        if (before.standing.step() == Step.SETTLED && state.standing.step() != Step.SETTLED) {
            return "a settled feature was rolled back";
        }
        for (Verb request : List.of(Verb.AUTO, Verb.BACK)) {
            Step end = afterRecovery(state, request).standing.step();
            if (end != Step.SETTLED && (request == Verb.AUTO || end != Step.OFF)) {
                return "without further faults, and with request " + request + ", it stays " + end;
            }
        }
        return null;
    }

    /**
     * The state that is reached if all nodes are replaced by new ones, the store is up, one node
     * leads, and no more faults occur.
     */
    private State afterRecovery(State state, Verb request) {
        Node node = new Node(true, Phase.SERVING, Announced.NEW, false);
        State recovered =
                new State(
                                List.of(node, node, node),
                                state.standing,
                                state.oldRecords,
                                state.newRecords,
                                null,
                                false,
                                false,
                                false,
                                true,
                                request)
                        .withLeader(0);
        for (int i = 0; i < MAX_STEPS_WITHOUT_FAULTS; i++) {
            FeatureState next = decide(recovered);
            recovered = next != null ? recovered.withSteps(null, next) : rewriteRecords(recovered);
        }
        return recovered;
    }

    private static State rewriteRecords(State state) {
        boolean on = state.standing.isOn();
        return on || state.standing.isRollingBack() ? state.withRecords(!on, on, false) : state;
    }

    /** Returns the feature's next standing by {@link RolloutPolicy}, or null if it stays. */
    private FeatureState decide(State state) {
        boolean back = state.standing.isRollingBack();
        boolean anyOutdated = back ? state.newRecords : state.oldRecords;
        boolean rewriteVerified =
                fault == Fault.IGNORES_REMAINING_RECORDS
                        || !anyOutdated
                                && !(back
                                        && state.writeInFlight
                                        && fault != Fault.COUNTS_DURING_WRITE);
        Map<String, NodeAnnouncement> announcements = new TreeMap<>();
        Set<String> labels = new TreeSet<>();
        for (int i = 0; i < NODES; i++) {
            String label = "node-" + i;
            labels.add(label);
            Announced announced = state.nodes.get(i).announced;
            if (announced != Announced.NONE) {
                Set<String> features = announced == Announced.NEW ? Feature.allKeys() : Set.of();
                announcements.put(label, new NodeAnnouncement(i, features, features, labels, 1, 0));
            }
        }
        Decision decision =
                RolloutPolicy.decide(
                        FEATURE,
                        new Inputs(
                                record(state),
                                Set.of("node-0", "node-1", "node-2"),
                                announcements,
                                Set.of(),
                                0,
                                state.request,
                                true,
                                false,
                                anyOutdated && fault != Fault.IGNORES_REMAINING_RECORDS ? 1 : 0,
                                rewriteVerified),
                        0);
        return decision.next() == null
                ? null
                : new FeatureState(
                        decision.next().step(), decision.next().isRollingBack(), false, 0, "");
    }

    private static RolloutRecord record(State state) {
        return new RolloutRecord(1, Map.of(FEATURE.key(), state.standing));
    }

    private List<Transition> transitions(State state) {
        List<Transition> all = new ArrayList<>();
        all.add(
                new Transition(
                        state.storeUp ? "the store fails" : "the store is back",
                        state.withStoreUp(!state.storeUp)));
        all.add(
                new Transition(
                        "an operator changes the request",
                        state.withRequest(state.request == Verb.AUTO ? Verb.BACK : Verb.AUTO)));
        for (int i = 0; i < NODES; i++) {
            // Nodes are sorted, so of equal nodes only the first one has to be considered.
            if (i == 0 || !state.nodes.get(i).equals(state.nodes.get(i - 1))) {
                addNodeTransitions(state, i, all);
            }
        }
        if (state.storeUp && state.pendingStep != null) {
            boolean succeeds =
                    !state.superseded
                            && (!state.announcementsChanged || fault == Fault.STALE_ANNOUNCEMENTS);
            all.add(
                    new Transition(
                            "the step "
                                    + state.pendingStep.step()
                                    + (state.pendingStep.isRollingBack() ? " (back)" : "")
                                    + (succeeds ? " is written" : " fails"),
                            state.withSteps(null, succeeds ? state.pendingStep : state.standing)));
        }
        if (state.storeUp && state.writeInFlight) {
            all.add(
                    new Transition(
                            "a delayed record arrives",
                            state.withRecords(state.oldRecords, true, false)));
        }
        return all;
    }

    private void addNodeTransitions(State state, int index, List<Transition> all) {
        Node node = state.nodes.get(index);
        String name =
                (node.newRelease ? "a new node" : "an old node")
                        + (node.leads ? " that leads" : "");
        switch (node.phase) {
            case STOPPED -> {
                for (boolean newRelease : new boolean[] {true, false}) {
                    all.add(
                            new Transition(
                                    "one starts, " + (newRelease ? "new" : "old"),
                                    state.withNode(
                                            index,
                                            new Node(
                                                    newRelease,
                                                    Phase.STARTED,
                                                    node.announced,
                                                    false))));
                }
            }
            case STARTED -> {
                if (state.storeUp && fault != Fault.READS_BEFORE_ANNOUNCING) {
                    all.add(
                            new Transition(
                                    name + " announces itself",
                                    announce(state, index, Phase.ANNOUNCED)));
                } else if (state.storeUp && mayServe(state, node)) {
                    all.add(
                            new Transition(
                                    name + " reads before it announces itself",
                                    state.withNode(
                                            index,
                                            new Node(
                                                    node.newRelease,
                                                    Phase.ANNOUNCED,
                                                    node.announced,
                                                    false))));
                }
            }
            case ANNOUNCED, FENCED -> {
                if (state.storeUp && fault == Fault.READS_BEFORE_ANNOUNCING) {
                    all.add(
                            new Transition(
                                    name + " announces itself",
                                    announce(state, index, Phase.SERVING)));
                } else if (state.storeUp) {
                    all.add(
                            new Transition(
                                    name + " reads what is required",
                                    state.withNode(
                                            index,
                                            new Node(
                                                    node.newRelease,
                                                    mayServe(state, node)
                                                            ? Phase.SERVING
                                                            : Phase.FENCED,
                                                    node.announced,
                                                    false))));
                }
            }
            case SERVING -> addServingTransitions(state, index, name, all);
        }
        if (node.phase != Phase.STOPPED) {
            all.add(
                    new Transition(
                            name + " stops",
                            state.withNode(
                                    index,
                                    new Node(
                                            node.newRelease,
                                            Phase.STOPPED,
                                            node.announced,
                                            false))));
        }
        if (state.storeUp
                && node.announced != Announced.NONE
                && (node.phase == Phase.STOPPED || node.phase == Phase.STARTED)) {
            all.add(
                    new Transition(
                            "an announcement expires",
                            state.withNode(
                                            index,
                                            new Node(
                                                    node.newRelease,
                                                    node.phase,
                                                    Announced.NONE,
                                                    node.leads))
                                    .withAnnouncementsChanged()));
        }
    }

    private void addServingTransitions(State state, int index, String name, List<Transition> all) {
        Node node = state.nodes.get(index);
        if (state.storeUp && !node.leads) {
            all.add(new Transition(name + " takes over", state.withLeader(index)));
        }
        if (!node.leads || !node.newRelease) {
            return;
        }
        FeatureState decided = state.pendingStep == null ? decide(state) : null;
        if (decided != null) {
            all.add(
                    new Transition(
                            "the leader decides "
                                    + decided.step()
                                    + (decided.isRollingBack() ? " (back)" : ""),
                            state.withSteps(decided, state.standing)));
        }
        if (state.storeUp && state.standing.isOn()) {
            all.add(
                    new Transition(
                            "the leader writes",
                            state.withRecords(state.oldRecords, true, state.writeInFlight)));
            all.add(
                    new Transition(
                            "the leader writes, with no answer",
                            state.withRecords(state.oldRecords, state.newRecords, true)));
        } else if (state.storeUp && !state.standing.isRollingBack()) {
            all.add(
                    new Transition(
                            "the leader writes the old format",
                            state.withRecords(true, state.newRecords, state.writeInFlight)));
        }
        if (state.storeUp) {
            all.add(
                    new Transition(
                            "the leader rewrites the remaining records", rewriteRecords(state)));
        }
    }

    private static State announce(State state, int index, Phase phase) {
        boolean newRelease = state.nodes.get(index).newRelease;
        Announced announced = newRelease ? Announced.NEW : Announced.OLD;
        return state.withNode(index, new Node(newRelease, phase, announced, false))
                .withAnnouncementsChanged();
    }

    private static boolean mayServe(State state, Node node) {
        ClusterMembership membership =
                new ClusterMembership(node.newRelease ? Feature.allKeys() : Set.of());
        membership.setRequiredFeatures(record(state).requiredFeatures());
        membership.onRecordRead();
        return membership.mayServe();
    }
}
