package org.woadloom.core.rollout;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.SchedulerState;
import org.woadloom.core.rollout.RolloutPolicy.Decision;
import org.woadloom.core.rollout.RolloutPolicy.Situation;
import org.woadloom.store.NodeAnnouncement;
import org.woadloom.store.RolloutRecord;
import org.woadloom.store.RolloutRecord.Standing;
import org.woadloom.store.RolloutRecord.Step;
import org.woadloom.store.RolloutRequest;
import org.woadloom.store.RolloutRequest.Verb;
import org.woadloom.store.StoreKeys;

/**
 * The leader's part of a rollout: watches who is there, moves features step by step, has records
 * rewritten and counted.
 */
public final class FeatureRollout {
    private static final long REVIEW_MICROS = 1_000_000;
    private static final long RECOUNT_MICROS = 10_000_000;

    /**
     * So many processes of a node in a row, each within a minute of the one before, mean that it
     * keeps ending.
     */
    private static final int KEEPS_ENDING = 3;

    private static final long KEEPS_ENDING_MICROS = 60_000_000;

    /** More refusals, or late steps, than this in a second are no time to change anything. */
    private static final long RESTLESS = 10;

    private final SchedulerState world;
    private final RecordMigration moves;
    private SchedulerEvent.RolloutStateRead seen;
    private RolloutRecord writing;

    /** After a write that failed: whatever was in its way is read anew first. */
    private long againMicros = Long.MIN_VALUE / 2;

    private long reviewedMicros = Long.MIN_VALUE / 2;

    /** Who lives and how; while it stays the same, time passes. */
    private Object circumstances;

    private long calmSinceMicros;
    private long refusedBefore;
    private final Map<Feature, Count> counts = new EnumMap<>(Feature.class);
    private final Map<Feature, String> told = new EnumMap<>(Feature.class);
    private final Map<String, LogEntry> steps = new LinkedHashMap<>();
    private Set<String> contradiction = Set.of();

    /** How far the counting of a feature's records has come, for the standing that it has. */
    private static final class Count {
        Standing standing = Standing.OFF;
        long sinceMicros;
        boolean asked;
        boolean confirmed;
        long againMicros;
        int unreadable;
    }

    public FeatureRollout(SchedulerState world) {
        this.world = world;
        moves = new RecordMigration(world);
        for (Feature feature : Feature.values()) {
            counts.put(feature, new Count());
        }
    }

    public void seen(SchedulerEvent.RolloutStateRead now) {
        if (seen != null && now.record().number() < seen.record().number()) {
            return;
        }
        seen = now;
        Map<String, Object> lives = new LinkedHashMap<>();
        now.words().forEach((label, spoken) -> lives.put(label, spoken.word().life()));
        lives.put("wordless", now.wordless());
        if (!lives.equals(circumstances)) {
            circumstances = lives;
            calmSinceMicros = world.nowMicros;
        }
        reviewedMicros = Long.MIN_VALUE / 2;
    }

    /** Records that are not yet of the form in force, as last counted. */
    public int left() {
        int left = 0;
        for (Feature feature : Feature.values()) {
            left += moves.left(feature);
        }
        return left;
    }

    /** Records that could not be read when they were last counted. */
    public int unreadable() {
        return counts.values().stream().mapToInt(count -> count.unreadable).sum();
    }

    public void review() {
        if (seen == null || world.nowMicros - reviewedMicros < REVIEW_MICROS) {
            return;
        }
        reviewedMicros = world.nowMicros;
        if (seen.refused() - refusedBefore > RESTLESS) {
            calmSinceMicros = world.nowMicros;
        }
        refusedBefore = seen.refused();
        for (Feature feature : Feature.values()) {
            count(feature);
        }
        moves.go();
        if (writing == null && world.nowMicros >= againMicros) {
            decide();
        }
    }

    /**
     * Has the feature's records counted while they are being moved, again once all that were found
     * are rewritten.
     */
    private void count(Feature feature) {
        Count count = counts.get(feature);
        Standing standing = seen.record().of(feature.key());
        if (!standing.equals(count.standing)) {
            count.standing = standing;
            count.sinceMicros = world.nowMicros;
            count.confirmed = feature.prefix() == null;
            count.asked = false;
            count.againMicros = 0;
            moves.forget(feature);
        }
        boolean moving = standing.step() == Step.ON || standing.back();
        if (moving
                && !count.confirmed
                && !count.asked
                && moves.left(feature) == 0
                && world.nowMicros >= count.againMicros
                && moves.quiet(feature, standing.on())) {
            count.asked = true;
            world.emit(new SchedulerAction.CountRecords(feature, standing.back()));
        }
    }

    public void counted(SchedulerEvent.RecordsCounted result) {
        Count count = counts.get(result.feature());
        if (!count.asked || count.standing.back() != result.back()) {
            return;
        }
        count.asked = false;
        count.againMicros = world.nowMicros + RECOUNT_MICROS;
        if (!result.read()) {
            return;
        }
        count.unreadable = result.unreadable().size();
        count.confirmed = result.old().isEmpty() && result.unreadable().isEmpty();
        if (!result.old().isEmpty()) {
            world.log(
                    LogEntry.info(LogEvent.ROLLOUT_RECORDS_OUTDATED)
                            .with("feature", result.feature().key())
                            .with("records", result.old().size()));
            moves.found(result.feature(), result.old());
            count.againMicros = 0;
        }
        if (!result.unreadable().isEmpty()) {
            world.log(
                    LogEntry.info(LogEvent.ROLLOUT_RECORDS_UNREADABLE)
                            .with("feature", result.feature().key())
                            .with("records", String.join(",", result.unreadable())));
        }
        reviewedMicros = Long.MIN_VALUE / 2;
    }

    private Set<String> members() {
        Set<Set<String>> named = new HashSet<>();
        named.add(new TreeSet<>(world.settings.nodes().keySet()));
        seen.words().values().forEach(spoken -> named.add(spoken.word().members()));
        Set<String> members = new TreeSet<>();
        named.forEach(members::addAll);
        members.addAll(seen.words().keySet());
        members.addAll(seen.wordless());
        if (named.size() > 1 && !members.equals(contradiction)) {
            contradiction = members;
            world.log(LogEntry.info(LogEvent.ROLLOUT_MEMBERS_DIFFER).with("members", named));
        }
        return members;
    }

    private void decide() {
        Set<String> members = members();
        Map<String, NodeAnnouncement> words = new LinkedHashMap<>();
        seen.words().forEach((label, spoken) -> words.put(label, spoken.word()));
        RolloutRecord next = seen.record();
        steps.clear();
        for (Feature feature : Feature.values()) {
            next = decide(feature, next, members, words);
        }
        if (next == seen.record()) {
            return;
        }
        writing = next;
        Map<String, Long> conditions = new LinkedHashMap<>();
        conditions.put(StoreKeys.ROLLOUT_STATE, seen.revision());
        // What was decided by these words is void if one has changed: a process that ended and came
        // back old, say.
        seen.words()
                .forEach(
                        (label, spoken) ->
                                conditions.put(StoreKeys.ROLLOUT_NODES + label, spoken.revision()));
        long agreed = seen.agreed();
        for (Feature feature : Feature.values()) {
            if (next.of(feature.key()).on()) {
                agreed = Math.max(agreed, feature.agreedVersion());
            }
        }
        if (agreed > seen.agreed()) {
            conditions.put(StoreKeys.AGREED, seen.agreedStamp());
        }
        world.emit(
                new SchedulerAction.WriteRollout(
                        next, conditions, agreed > seen.agreed() ? agreed : 0));
    }

    /** Takes the feature as far as it may go now, several steps where nothing lies between them. */
    private RolloutRecord decide(
            Feature feature,
            RolloutRecord record,
            Set<String> members,
            Map<String, NodeAnnouncement> words) {
        RolloutRecord next = record;
        RolloutRequest request = seen.asked().getOrDefault(feature.key(), RolloutRequest.AUTO);
        boolean troubled =
                words.values().stream()
                        .anyMatch(
                                word ->
                                        word.starts() >= KEEPS_ENDING
                                                && world.wallMicros - word.sinceWallMicros()
                                                        < KEEPS_ENDING_MICROS);
        while (true) {
            Count count = counts.get(feature);
            boolean same = next.of(feature.key()).equals(count.standing);
            boolean soaked =
                    same
                            && world.nowMicros - Math.max(count.sinceMicros, calmSinceMicros)
                                    >= world.settings.operator().soakMicros();
            Decision verdict =
                    RolloutPolicy.judge(
                            feature,
                            new Situation(
                                    next,
                                    members,
                                    words,
                                    seen.wordless(),
                                    seen.agreed(),
                                    request.verb(),
                                    soaked,
                                    troubled,
                                    moves.left(feature),
                                    same && count.confirmed),
                            world.wallMicros);
            if (verdict.next() == null) {
                if (!Objects.equals(told.put(feature, verdict.why()), verdict.why())) {
                    world.log(
                            LogEntry.info(LogEvent.ROLLOUT_WAITING)
                                    .with("feature", feature.key())
                                    .with("step", next.of(feature.key()).step().text())
                                    .with("reason", verdict.why()));
                }
                return next;
            }
            String by =
                    world.settings.label()
                            + " in term "
                            + world.term
                            + (request.verb() == Verb.AUTO
                                    ? ""
                                    : ", " + request.verb().text() + " asked by " + request.by());
            Standing to = verdict.next();
            next =
                    next.with(
                            feature.key(),
                            new Standing(
                                    to.step(), to.back(), to.held(), to.sinceWallMicros(), by));
            steps.put(
                    feature.key() + " " + to.step(),
                    LogEntry.info(LogEvent.ROLLOUT_STEP)
                            .with("feature", feature.key())
                            .with("step", to.step().text())
                            .with("rolling_back", to.back())
                            .with("allowed_by", by)
                            .with("reason", verdict.why()));
        }
    }

    public void written(SchedulerEvent.RolloutWriteCompleted result) {
        if (writing == null || result.number() != writing.number()) {
            return;
        }
        if (result.outcome() == SchedulerEvent.WriteOutcome.WRITTEN) {
            steps.values().forEach(world::log);
            seen = seen.with(writing, result.revision());
        }
        writing = null;
        reviewedMicros = Long.MIN_VALUE / 2;
        if (result.outcome() != SchedulerEvent.WriteOutcome.WRITTEN) {
            againMicros = world.nowMicros + REVIEW_MICROS;
            seen = null;
        }
    }
}
