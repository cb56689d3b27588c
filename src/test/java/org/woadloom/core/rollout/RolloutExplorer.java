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
import org.woadloom.core.rollout.RolloutPolicy.Situation;
import org.woadloom.store.NodeAnnouncement;
import org.woadloom.store.RolloutRecord;
import org.woadloom.store.RolloutRecord.FeatureState;
import org.woadloom.store.RolloutRecord.Step;
import org.woadloom.store.RolloutRequest.Verb;

/**
 * Visits every state of three nodes, a store and one write that may be late, breadth first, so that
 * the first trace to a broken state is a shortest one. Nodes are interchangeable. What is decided
 * is decided by {@link RolloutPolicy} and {@link ClusterMembership} themselves; what is modelled is
 * who lives, what the store holds, and what is under way to it.
 */
final class RolloutExplorer {
    /** How the model is broken on purpose. */
    enum Fault {
        NONE,
        OLD_WORDS,
        READS_FIRST,
        LEAVES_RECORDS,
        LATE_RECORD
    }

    private static final Feature FEATURE = Feature.MACHINE_LIFECYCLE;
    private static final int NODES = 3;

    private enum Phase {
        GONE,
        STARTED,
        SPOKEN,
        SERVING,
        FENCED
    }

    private enum Word {
        NONE,
        OLD,
        NEW
    }

    /**
     * One node: what it runs, how far its process is, and the word that stands for it, perhaps a
     * former process's.
     */
    private record Member(boolean fresh, Phase phase, Word word, boolean leads) {
        private int code() {
            return ((phase.ordinal() * 3 + word.ordinal()) * 2 + (fresh ? 1 : 0)) * 2
                    + (leads ? 1 : 0);
        }
    }

    /**
     * @param intent the step that is being written, or null; it fails where a later leader or
     *     record came first, and, unless the fault says so, where a word has changed
     * @param late a record of the new form is under way to the store
     */
    private record State(
            List<Member> members,
            FeatureState standing,
            boolean oldRecords,
            boolean newRecords,
            FeatureState intent,
            boolean overtaken,
            boolean wordsChanged,
            boolean late,
            boolean up,
            Verb asked) {

        HashCode hash() {
            Hasher hasher = Hashing.murmur3_128().newHasher();
            members.forEach(member -> hasher.putInt(member.code()));
            return hasher.putInt(code(standing))
                    .putInt(intent == null ? -1 : code(intent))
                    .putBoolean(oldRecords)
                    .putBoolean(newRecords)
                    .putBoolean(overtaken)
                    .putBoolean(wordsChanged)
                    .putBoolean(late)
                    .putBoolean(up)
                    .putInt(asked.ordinal())
                    .hash();
        }

        private static int code(FeatureState standing) {
            return standing.step().ordinal() * 2 + (standing.isRollingBack() ? 1 : 0);
        }

        State with(int index, Member member) {
            List<Member> changed = new ArrayList<>(members);
            changed.set(index, member);
            changed.sort((a, b) -> Integer.compare(a.code(), b.code()));
            return new State(
                    changed,
                    standing,
                    oldRecords,
                    newRecords,
                    intent,
                    overtaken,
                    wordsChanged,
                    late,
                    up,
                    asked);
        }

        State words() {
            return new State(
                    members,
                    standing,
                    oldRecords,
                    newRecords,
                    intent,
                    overtaken,
                    intent != null,
                    late,
                    up,
                    asked);
        }

        State records(boolean old, boolean fresh, boolean underWay) {
            return new State(
                    members,
                    standing,
                    old,
                    fresh,
                    intent,
                    overtaken,
                    wordsChanged,
                    underWay,
                    up,
                    asked);
        }

        State intent(FeatureState to, FeatureState now) {
            return new State(
                    members, now, oldRecords, newRecords, to, false, false, late, up, asked);
        }

        State led(int index) {
            List<Member> changed = new ArrayList<>();
            for (int i = 0; i < members.size(); i++) {
                Member m = members.get(i);
                changed.add(new Member(m.fresh, m.phase, m.word, i == index));
            }
            changed.sort((a, b) -> Integer.compare(a.code(), b.code()));
            return new State(
                    changed,
                    standing,
                    oldRecords,
                    newRecords,
                    intent,
                    intent != null,
                    wordsChanged,
                    false,
                    up,
                    asked);
        }

        State store(boolean serves) {
            return new State(
                    members,
                    standing,
                    oldRecords,
                    newRecords,
                    intent,
                    overtaken,
                    wordsChanged,
                    late,
                    serves,
                    asked);
        }

        State asked(Verb verb) {
            return new State(
                    members,
                    standing,
                    oldRecords,
                    newRecords,
                    intent,
                    overtaken,
                    wordsChanged,
                    late,
                    up,
                    verb);
        }
    }

    private record Came(HashCode from, String action) {}

    private record Next(String action, State state) {}

    private final Fault fault;
    private final Map<HashCode, Came> visited = new HashMap<>();
    private final Set<Step> reached = new TreeSet<>();
    private List<String> trace = List.of();
    private long millis;

    RolloutExplorer(Fault fault) {
        this.fault = fault;
    }

    int states() {
        return visited.size();
    }

    long millis() {
        return millis;
    }

    Set<Step> reached() {
        return reached;
    }

    List<String> trace() {
        return trace;
    }

    /** What was found to be broken, or null. */
    String explore(int depth) {
        long began = System.nanoTime();
        Member node = new Member(true, Phase.SERVING, Word.NEW, false);
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
                        .led(0);
        visited.put(first.hash(), new Came(null, "three new nodes serve"));
        ArrayDeque<State> queue = new ArrayDeque<>(List.of(first));
        for (int level = 0; level < depth && !queue.isEmpty(); level++) {
            for (int left = queue.size(); left > 0; left--) {
                State state = queue.poll();
                for (Next next : next(state)) {
                    HashCode hash = next.state.hash();
                    if (visited.putIfAbsent(hash, new Came(state.hash(), next.action)) != null) {
                        continue;
                    }
                    reached.add(next.state.standing.step());
                    String broken = broken(state, next.state);
                    if (broken != null) {
                        trace(hash);
                        return broken;
                    }
                    queue.add(next.state);
                }
            }
        }
        millis = (System.nanoTime() - began) / 1_000_000;
        return null;
    }

    private void trace(HashCode last) {
        List<String> actions = new ArrayList<>();
        for (Came came = visited.get(last);
                came != null;
                came = came.from == null ? null : visited.get(came.from)) {
            actions.add(came.action);
        }
        Collections.reverse(actions);
        trace = actions;
    }

    private String broken(State before, State state) {
        for (Member member : state.members) {
            if (member.phase == Phase.SERVING
                    && !member.fresh
                    && (state.newRecords || state.standing.isOn())) {
                return "a node serves that can't read what is written";
            }
        }
        if (before.standing.step() == Step.SETTLED && state.standing.step() != Step.SETTLED) {
            return "a settled feature was taken back";
        }
        for (Verb wish : List.of(Verb.AUTO, Verb.BACK)) {
            Step end = undisturbed(state, wish).standing.step();
            if (end != Step.SETTLED && (wish == Verb.AUTO || end != Step.OFF)) {
                return "without faults, and asked for " + wish + ", it stays " + end;
            }
        }
        return null;
    }

    /**
     * All nodes are replaced by new ones, the store serves, one leads, and nothing more goes wrong.
     */
    private State undisturbed(State state, Verb wish) {
        Member node = new Member(true, Phase.SERVING, Word.NEW, false);
        State s =
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
                                wish)
                        .led(0);
        for (int i = 0; i < 8; i++) {
            FeatureState next = decide(s);
            s = next != null ? s.intent(null, next) : rewritten(s);
        }
        return s;
    }

    private static State rewritten(State s) {
        boolean fresh = s.standing.isOn();
        return fresh || s.standing.isRollingBack() ? s.records(!fresh, fresh, false) : s;
    }

    private FeatureState decide(State s) {
        boolean back = s.standing.isRollingBack();
        boolean left = back ? s.newRecords : s.oldRecords;
        boolean sure =
                fault == Fault.LEAVES_RECORDS
                        || !left && !(back && s.late && fault != Fault.LATE_RECORD);
        Map<String, NodeAnnouncement> words = new TreeMap<>();
        Set<String> labels = new TreeSet<>();
        for (int i = 0; i < NODES; i++) {
            String label = "node-" + i;
            labels.add(label);
            Word word = s.members.get(i).word;
            if (word != Word.NONE) {
                Set<String> reads = word == Word.NEW ? Feature.allKeys() : Set.of();
                words.put(label, new NodeAnnouncement(i, reads, reads, labels, 1, 0));
            }
        }
        Decision verdict =
                RolloutPolicy.decide(
                        FEATURE,
                        new Situation(
                                record(s),
                                Set.of("node-0", "node-1", "node-2"),
                                words,
                                Set.of(),
                                0,
                                s.asked,
                                true,
                                false,
                                left && fault != Fault.LEAVES_RECORDS ? 1 : 0,
                                sure),
                        0);
        return verdict.next() == null
                ? null
                : new FeatureState(
                        verdict.next().step(), verdict.next().isRollingBack(), false, 0, "");
    }

    private static RolloutRecord record(State s) {
        return new RolloutRecord(1, Map.of(FEATURE.key(), s.standing));
    }

    private List<Next> next(State s) {
        List<Next> all = new ArrayList<>();
        all.add(new Next(s.up ? "the store fails" : "the store is back", s.store(!s.up)));
        all.add(
                new Next(
                        "an operator changes the request",
                        s.asked(s.asked == Verb.AUTO ? Verb.BACK : Verb.AUTO)));
        for (int i = 0; i < NODES; i++) {
            // Nodes are sorted: of equal ones the first speaks for all.
            if (i == 0 || !s.members.get(i).equals(s.members.get(i - 1))) {
                member(s, i, all);
            }
        }
        if (s.up && s.intent != null) {
            boolean holds = !s.overtaken && (!s.wordsChanged || fault == Fault.OLD_WORDS);
            all.add(
                    new Next(
                            "the step "
                                    + s.intent.step()
                                    + (s.intent.isRollingBack() ? " (back)" : "")
                                    + (holds ? " is written" : " fails"),
                            s.intent(null, holds ? s.intent : s.standing)));
        }
        if (s.up && s.late) {
            all.add(new Next("a record arrives late", s.records(s.oldRecords, true, false)));
        }
        return all;
    }

    private void member(State s, int i, List<Next> all) {
        Member m = s.members.get(i);
        String who = (m.fresh ? "a new node" : "an old node") + (m.leads ? " that leads" : "");
        switch (m.phase) {
            case GONE -> {
                for (boolean fresh : new boolean[] {true, false}) {
                    all.add(
                            new Next(
                                    "one starts, " + (fresh ? "new" : "old"),
                                    s.with(i, new Member(fresh, Phase.STARTED, m.word, false))));
                }
            }
            case STARTED -> {
                if (s.up && fault != Fault.READS_FIRST) {
                    all.add(new Next(who + " gives its word", spoken(s, i, Phase.SPOKEN)));
                } else if (s.up && serves(s, m)) {
                    all.add(
                            new Next(
                                    who + " reads before it speaks",
                                    s.with(i, new Member(m.fresh, Phase.SPOKEN, m.word, false))));
                }
            }
            case SPOKEN, FENCED -> {
                if (s.up && fault == Fault.READS_FIRST) {
                    all.add(new Next(who + " gives its word", spoken(s, i, Phase.SERVING)));
                } else if (s.up) {
                    all.add(
                            new Next(
                                    who + " reads what is required",
                                    s.with(
                                            i,
                                            new Member(
                                                    m.fresh,
                                                    serves(s, m) ? Phase.SERVING : Phase.FENCED,
                                                    m.word,
                                                    false))));
                }
            }
            case SERVING -> serving(s, i, m, who, all);
        }
        if (m.phase != Phase.GONE) {
            all.add(
                    new Next(
                            who + " ends",
                            s.with(i, new Member(m.fresh, Phase.GONE, m.word, false))));
        }
        if (s.up && m.word != Word.NONE && (m.phase == Phase.GONE || m.phase == Phase.STARTED)) {
            all.add(
                    new Next(
                            "a word ends",
                            s.with(i, new Member(m.fresh, m.phase, Word.NONE, m.leads)).words()));
        }
    }

    private void serving(State s, int i, Member m, String who, List<Next> all) {
        if (s.up && !m.leads) {
            all.add(new Next(who + " takes over", s.led(i)));
        }
        if (!m.leads || !m.fresh) {
            return;
        }
        FeatureState decided = s.intent == null ? decide(s) : null;
        if (decided != null) {
            all.add(
                    new Next(
                            "the leader decides "
                                    + decided.step()
                                    + (decided.isRollingBack() ? " (back)" : ""),
                            s.intent(decided, s.standing)));
        }
        if (s.up && s.standing.isOn()) {
            all.add(new Next("the leader writes", s.records(s.oldRecords, true, s.late)));
            all.add(
                    new Next(
                            "the leader writes, with no answer",
                            s.records(s.oldRecords, s.newRecords, true)));
        } else if (s.up && !s.standing.isRollingBack()) {
            all.add(
                    new Next(
                            "the leader writes the old form",
                            s.records(true, s.newRecords, s.late)));
        }
        if (s.up) {
            all.add(new Next("the leader rewrites what is left", rewritten(s)));
        }
    }

    private static State spoken(State s, int i, Phase phase) {
        Member m = s.members.get(i);
        return s.with(i, new Member(m.fresh, phase, m.fresh ? Word.NEW : Word.OLD, false)).words();
    }

    private static boolean serves(State s, Member m) {
        ClusterMembership belonging = new ClusterMembership(m.fresh ? Feature.allKeys() : Set.of());
        belonging.setRequiredFeatures(record(s).requiredFeatures());
        belonging.onRecordRead();
        return belonging.mayServe();
    }
}
