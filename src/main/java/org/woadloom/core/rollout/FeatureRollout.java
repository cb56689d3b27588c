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
import org.woadloom.store.RolloutRecord.FeatureState;
import org.woadloom.store.RolloutRecord.Step;
import org.woadloom.store.RolloutRequest;
import org.woadloom.store.RolloutRequest.Verb;
import org.woadloom.store.StoreKeys;

/**
 * The leader's part of a rollout: watches which processes are alive, moves features step by step,
 * and has records rewritten and counted.
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
    private static final long MAX_CALM_REFUSALS = 10;

    private final SchedulerState state;
    private final RecordMigration migration;
    private SchedulerEvent.RolloutStateRead latest;
    private RolloutRecord writing;

    /** After a write that failed, nothing is written before this, as the state is read first. */
    private long retryAtMicros = Long.MIN_VALUE / 2;

    private long reviewedMicros = Long.MIN_VALUE / 2;

    /** Which processes are alive; soaking starts over when that changes. */
    private Object circumstances;

    private long calmSinceMicros;
    private long refusedBefore;
    private final Map<Feature, Count> counts = new EnumMap<>(Feature.class);
    private final Map<Feature, String> loggedReasons = new EnumMap<>(Feature.class);
    private final Map<String, LogEntry> steps = new LinkedHashMap<>();
    private Set<String> contradiction = Set.of();

    /** How far the counting of a feature's records has come, in its current standing. */
    private static final class Count {
        FeatureState standing = FeatureState.OFF;
        long sinceMicros;
        boolean asked;
        boolean confirmed;
        long againMicros;
        int unreadable;
    }

    /** A rollout that waits for its state to be read. */
    public FeatureRollout(SchedulerState state) {
        this.state = state;
        migration = new RecordMigration(state);
        for (Feature feature : Feature.values()) {
            counts.put(feature, new Count());
        }
    }

    /** Takes in the state of the rollout, unless it is older than what is known. */
    public void onStateRead(SchedulerEvent.RolloutStateRead now) {
        if (latest != null && now.record().number() < latest.record().number()) {
            return;
        }
        latest = now;
        Map<String, Object> lives = new LinkedHashMap<>();
        now.announcements()
                .forEach((label, stored) -> lives.put(label, stored.announcement().processId()));
        lives.put("wordless", now.unannouncedNodes());
        if (!lives.equals(circumstances)) {
            circumstances = lives;
            calmSinceMicros = state.nowMicros();
        }
        reviewedMicros = Long.MIN_VALUE / 2;
    }

    /** Records that are not yet of the form in force, as last counted. */
    public int recordsToMigrate() {
        int left = 0;
        for (Feature feature : Feature.values()) {
            left += migration.remaining(feature);
        }
        return left;
    }

    /** Records that could not be read when they were last counted. */
    public int unreadableRecords() {
        return counts.values().stream().mapToInt(count -> count.unreadable).sum();
    }

    /** Once a second, counts and rewrites records and takes the features as far as they may go. */
    public void review() {
        if (latest == null || state.nowMicros() - reviewedMicros < REVIEW_MICROS) {
            return;
        }
        reviewedMicros = state.nowMicros();
        if (latest.overloadSignals() - refusedBefore > MAX_CALM_REFUSALS) {
            calmSinceMicros = state.nowMicros();
        }
        refusedBefore = latest.overloadSignals();
        for (Feature feature : Feature.values()) {
            count(feature);
        }
        migration.migrate();
        if (writing == null && state.nowMicros() >= retryAtMicros) {
            decide();
        }
    }

    /**
     * Has the feature's records counted while they are being moved, again once all that were found
     * are rewritten.
     */
    private void count(Feature feature) {
        Count count = counts.get(feature);
        FeatureState standing = latest.record().stateOf(feature.key());
        if (!standing.equals(count.standing)) {
            count.standing = standing;
            count.sinceMicros = state.nowMicros();
            count.confirmed = feature.recordPrefix() == null;
            count.asked = false;
            count.againMicros = 0;
            migration.forget(feature);
        }
        boolean moving = standing.step() == Step.ON || standing.isRollingBack();
        if (moving
                && !count.confirmed
                && !count.asked
                && migration.remaining(feature) == 0
                && state.nowMicros() >= count.againMicros
                && migration.isQuiet(feature, standing.isOn())) {
            count.asked = true;
            state.emit(new SchedulerAction.CountRecords(feature, standing.isRollingBack()));
        }
    }

    /** Takes in which records are to be rewritten. */
    public void onRecordsCounted(SchedulerEvent.RecordsCounted result) {
        Count count = counts.get(result.feature());
        if (!count.asked || count.standing.isRollingBack() != result.rollingBack()) {
            return;
        }
        count.asked = false;
        count.againMicros = state.nowMicros() + RECOUNT_MICROS;
        if (!result.succeeded()) {
            return;
        }
        count.unreadable = result.unreadable().size();
        count.confirmed = result.outdated().isEmpty() && result.unreadable().isEmpty();
        if (!result.outdated().isEmpty()) {
            state.log(
                    LogEntry.info(LogEvent.ROLLOUT_RECORDS_OUTDATED)
                            .with("feature", result.feature().key())
                            .with("records", result.outdated().size()));
            migration.setOutdated(result.feature(), result.outdated());
            count.againMicros = 0;
        }
        if (!result.unreadable().isEmpty()) {
            state.log(
                    LogEntry.info(LogEvent.ROLLOUT_RECORDS_UNREADABLE)
                            .with("feature", result.feature().key())
                            .with("records", String.join(",", result.unreadable())));
        }
        reviewedMicros = Long.MIN_VALUE / 2;
    }

    private Set<String> members() {
        Set<Set<String>> named = new HashSet<>();
        named.add(new TreeSet<>(state.settings().zoneByNode().keySet()));
        latest.announcements()
                .values()
                .forEach(stored -> named.add(stored.announcement().members()));
        Set<String> members = new TreeSet<>();
        named.forEach(members::addAll);
        members.addAll(latest.announcements().keySet());
        members.addAll(latest.unannouncedNodes());
        if (named.size() > 1 && !members.equals(contradiction)) {
            contradiction = members;
            state.log(LogEntry.info(LogEvent.ROLLOUT_MEMBERS_DIFFER).with("members", named));
        }
        return members;
    }

    private void decide() {
        Set<String> members = members();
        Map<String, NodeAnnouncement> announcements = new LinkedHashMap<>();
        latest.announcements()
                .forEach((label, stored) -> announcements.put(label, stored.announcement()));
        RolloutRecord next = latest.record();
        steps.clear();
        for (Feature feature : Feature.values()) {
            next = decide(feature, next, members, announcements);
        }
        @SuppressWarnings(
                "ReferenceEquality") // The same record comes back where nothing is to be done.
        boolean unchanged = next == latest.record();
        if (unchanged) {
            return;
        }
        writing = next;
        Map<String, Long> conditions = new LinkedHashMap<>();
        conditions.put(StoreKeys.ROLLOUT_STATE, latest.revision());
        // What was decided by these announcements is void if one has changed, as when a process was
        // replaced by one of an earlier version.
        latest.announcements()
                .forEach(
                        (label, stored) ->
                                conditions.put(
                                        StoreKeys.ROLLOUT_NODE_PREFIX + label, stored.revision()));
        long agreed = latest.agreedVersion();
        for (Feature feature : Feature.values()) {
            if (next.stateOf(feature.key()).isOn()) {
                agreed = Math.max(agreed, feature.agreedVersion());
            }
        }
        if (agreed > latest.agreedVersion()) {
            conditions.put(StoreKeys.AGREED_VERSION, latest.agreedVersionRevision());
        }
        state.emit(
                new SchedulerAction.WriteRollout(
                        next, conditions, agreed > latest.agreedVersion() ? agreed : 0));
    }

    /** Takes the feature as far as it may go now, several steps where nothing lies between them. */
    private RolloutRecord decide(
            Feature feature,
            RolloutRecord record,
            Set<String> members,
            Map<String, NodeAnnouncement> announcements) {
        RolloutRecord next = record;
        RolloutRequest request = latest.requests().getOrDefault(feature.key(), RolloutRequest.AUTO);
        boolean troubled =
                announcements.values().stream()
                        .anyMatch(
                                announcement ->
                                        announcement.consecutiveStarts() >= KEEPS_ENDING
                                                && state.wallMicros()
                                                                - announcement.startedWallMicros()
                                                        < KEEPS_ENDING_MICROS);
        while (true) {
            Count count = counts.get(feature);
            boolean same = next.stateOf(feature.key()).equals(count.standing);
            boolean soaked =
                    same
                            && state.nowMicros() - Math.max(count.sinceMicros, calmSinceMicros)
                                    >= state.settings().operator().rolloutSoakMicros();
            Decision verdict =
                    RolloutPolicy.decide(
                            feature,
                            new Situation(
                                    next,
                                    members,
                                    announcements,
                                    latest.unannouncedNodes(),
                                    latest.agreedVersion(),
                                    request.verb(),
                                    soaked,
                                    troubled,
                                    migration.remaining(feature),
                                    same && count.confirmed),
                            state.wallMicros());
            if (verdict.next() == null) {
                if (!Objects.equals(
                        loggedReasons.put(feature, verdict.reason()), verdict.reason())) {
                    state.log(
                            LogEntry.info(LogEvent.ROLLOUT_WAITING)
                                    .with("feature", feature.key())
                                    .with("step", next.stateOf(feature.key()).step().text())
                                    .with("reason", verdict.reason()));
                }
                return next;
            }
            String by =
                    state.settings().nodeName()
                            + " in term "
                            + state.term()
                            + (request.verb() == Verb.AUTO
                                    ? ""
                                    : ", "
                                            + request.verb().text()
                                            + " asked by "
                                            + request.operator());
            FeatureState to = verdict.next();
            next =
                    next.withState(
                            feature.key(),
                            new FeatureState(
                                    to.step(),
                                    to.isRollingBack(),
                                    to.isHeld(),
                                    to.sinceWallMicros(),
                                    by));
            steps.put(
                    feature.key() + " " + to.step(),
                    LogEntry.info(LogEvent.ROLLOUT_STEP)
                            .with("feature", feature.key())
                            .with("step", to.step().text())
                            .with("rolling_back", to.isRollingBack())
                            .with("allowed_by", by)
                            .with("reason", verdict.reason()));
        }
    }

    /** Logs the steps that are written; after any other outcome the state is read again. */
    public void onWriteCompleted(SchedulerEvent.RolloutWriteCompleted result) {
        if (writing == null || result.recordNumber() != writing.number()) {
            return;
        }
        if (result.outcome() == SchedulerEvent.WriteOutcome.WRITTEN) {
            steps.values().forEach(state::log);
            latest = latest.withRecord(writing, result.revision());
        }
        writing = null;
        reviewedMicros = Long.MIN_VALUE / 2;
        if (result.outcome() != SchedulerEvent.WriteOutcome.WRITTEN) {
            retryAtMicros = state.nowMicros() + REVIEW_MICROS;
            latest = null;
        }
    }
}
