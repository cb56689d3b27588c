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
import org.woadloom.core.rollout.RolloutPolicy.Inputs;
import org.woadloom.store.NodeAnnouncement;
import org.woadloom.store.RolloutRecord;
import org.woadloom.store.RolloutRecord.FeatureState;
import org.woadloom.store.RolloutRecord.Step;
import org.woadloom.store.RolloutRequest;
import org.woadloom.store.RolloutRequest.Verb;
import org.woadloom.store.StoreKeys;

/**
 * The leader's part of the rollout of features: watches which processes are alive, moves features
 * step by step, and has stored records counted and rewritten.
 */
public final class FeatureRollout {
    private static final long REVIEW_INTERVAL_MICROS = 1_000_000;
    private static final long RECOUNT_INTERVAL_MICROS = 10_000_000;

    /**
     * A node is in a crash loop after this many consecutive starts, each within a minute of the one
     * before.
     */
    private static final int CRASH_LOOP_STARTS = 3;

    private static final long CRASH_LOOP_WINDOW_MICROS = 60_000_000;

    /**
     * With more refused requests and late steps than this between two reviews, the cluster does not
     * count as stable.
     */
    private static final long MAX_REFUSALS_WHILE_STABLE = 10;

    private final SchedulerState state;
    private final RecordMigration migration;
    private SchedulerEvent.RolloutStateRead latestState;
    private RolloutRecord pendingRecord;

    /**
     * After a failed write nothing is written before this time, so that the state is read first.
     */
    private long retryAtMicros = Long.MIN_VALUE / 2;

    private long lastReviewMicros = Long.MIN_VALUE / 2;

    /**
     * The process id by node, and the nodes without an announcement. The soak time starts over when
     * this changes.
     */
    private Object liveProcesses;

    private long stableSinceMicros;
    private long lastRefusals;
    private final Map<Feature, RecordCount> counts = new EnumMap<>(Feature.class);
    private final Map<Feature, String> loggedReasons = new EnumMap<>(Feature.class);
    private final Map<String, LogEntry> pendingStepEntries = new LinkedHashMap<>();
    private Set<String> loggedMembers = Set.of();

    /** Progress of counting a feature's records, in the feature's current standing. */
    private static final class RecordCount {
        FeatureState standing = FeatureState.OFF;
        long sinceMicros;
        boolean inFlight;
        boolean verified;
        long notBeforeMicros;
        int unreadable;
    }

    /** Creates a rollout that does nothing until its state is read. */
    public FeatureRollout(SchedulerState state) {
        this.state = state;
        migration = new RecordMigration(state);
        for (Feature feature : Feature.values()) {
            counts.put(feature, new RecordCount());
        }
    }

    /** Applies the state of the rollout, unless it is older than the known one. */
    public void onStateRead(SchedulerEvent.RolloutStateRead newState) {
        if (latestState != null && newState.record().number() < latestState.record().number()) {
            return;
        }
        latestState = newState;
        Map<String, Object> processes = new LinkedHashMap<>();
        newState.announcements()
                .forEach((node, stored) -> processes.put(node, stored.announcement().processId()));
        processes.put("unannounced", newState.unannouncedNodes());
        if (!processes.equals(liveProcesses)) {
            liveProcesses = processes;
            stableSinceMicros = state.nowMicros();
        }
        lastReviewMicros = Long.MIN_VALUE / 2;
    }

    /** Number of records that still have to be rewritten, according to the last count. */
    public int recordsToMigrate() {
        int total = 0;
        for (Feature feature : Feature.values()) {
            total += migration.remaining(feature);
        }
        return total;
    }

    /** Number of records that could not be read at the last count. */
    public int unreadableRecords() {
        return counts.values().stream().mapToInt(count -> count.unreadable).sum();
    }

    /**
     * Once a second, has records counted and rewritten, and moves features to their next steps.
     * Must be called in every scheduling pass.
     */
    public void review() {
        if (latestState == null || state.nowMicros() - lastReviewMicros < REVIEW_INTERVAL_MICROS) {
            return;
        }
        lastReviewMicros = state.nowMicros();
        if (latestState.overloadSignals() - lastRefusals > MAX_REFUSALS_WHILE_STABLE) {
            stableSinceMicros = state.nowMicros();
        }
        lastRefusals = latestState.overloadSignals();
        for (Feature feature : Feature.values()) {
            updateCount(feature);
        }
        migration.migrate();
        if (pendingRecord == null && state.nowMicros() >= retryAtMicros) {
            proposeSteps();
        }
    }

    /**
     * Requests a count of the feature's records while they are being migrated, and another one
     * after all outdated records that were found are rewritten.
     */
    private void updateCount(Feature feature) {
        RecordCount count = counts.get(feature);
        FeatureState standing = latestState.record().stateOf(feature.key());
        if (!standing.equals(count.standing)) {
            count.standing = standing;
            count.sinceMicros = state.nowMicros();
            count.verified = feature.recordPrefix() == null;
            count.inFlight = false;
            count.notBeforeMicros = 0;
            migration.clear(feature);
        }
        boolean migrating = standing.step() == Step.ON || standing.isRollingBack();
        if (migrating
                && !count.verified
                && !count.inFlight
                && migration.remaining(feature) == 0
                && state.nowMicros() >= count.notBeforeMicros
                && migration.hasNoOtherFormatWriteInFlight(feature, standing.isOn())) {
            count.inFlight = true;
            state.emit(new SchedulerAction.CountRecords(feature, standing.isRollingBack()));
        }
    }

    /** Handles a count of a feature's records, and queues the outdated ones for rewriting. */
    public void onRecordsCounted(SchedulerEvent.RecordsCounted result) {
        RecordCount count = counts.get(result.feature());
        if (!count.inFlight || count.standing.isRollingBack() != result.rollingBack()) {
            return;
        }
        count.inFlight = false;
        count.notBeforeMicros = state.nowMicros() + RECOUNT_INTERVAL_MICROS;
        if (!result.succeeded()) {
            return;
        }
        count.unreadable = result.unreadable().size();
        count.verified = result.outdated().isEmpty() && result.unreadable().isEmpty();
        if (!result.outdated().isEmpty()) {
            state.log(
                    LogEntry.info(LogEvent.ROLLOUT_RECORDS_OUTDATED)
                            .with("feature", result.feature().key())
                            .with("records", result.outdated().size()));
            migration.setOutdated(result.feature(), result.outdated());
            count.notBeforeMicros = 0;
        }
        if (!result.unreadable().isEmpty()) {
            state.log(
                    LogEntry.info(LogEvent.ROLLOUT_RECORDS_UNREADABLE)
                            .with("feature", result.feature().key())
                            .with("records", String.join(",", result.unreadable())));
        }
        lastReviewMicros = Long.MIN_VALUE / 2;
    }

    /**
     * Returns all nodes that the settings of any node name, or that have announced themselves or
     * sent messages. Logs if the settings differ.
     */
    private Set<String> allMembers() {
        Set<Set<String>> memberLists = new HashSet<>();
        memberLists.add(new TreeSet<>(state.settings().zoneByNode().keySet()));
        latestState
                .announcements()
                .values()
                .forEach(stored -> memberLists.add(stored.announcement().members()));
        Set<String> members = new TreeSet<>();
        memberLists.forEach(members::addAll);
        members.addAll(latestState.announcements().keySet());
        members.addAll(latestState.unannouncedNodes());
        if (memberLists.size() > 1 && !members.equals(loggedMembers)) {
            loggedMembers = members;
            state.log(LogEntry.info(LogEvent.ROLLOUT_MEMBERS_DIFFER).with("members", memberLists));
        }
        return members;
    }

    /** Lets features advance as far as possible, and emits one write of the changed record. */
    private void proposeSteps() {
        Set<String> members = allMembers();
        Map<String, NodeAnnouncement> announcements = new LinkedHashMap<>();
        latestState
                .announcements()
                .forEach((node, stored) -> announcements.put(node, stored.announcement()));
        RolloutRecord next = latestState.record();
        pendingStepEntries.clear();
        for (Feature feature : Feature.values()) {
            next = advance(feature, next, members, announcements);
        }
        @SuppressWarnings("ReferenceEquality") // The same record is returned if no feature moves.
        boolean unchanged = next == latestState.record();
        if (unchanged) {
            return;
        }
        pendingRecord = next;
        Map<String, Long> conditions = new LinkedHashMap<>();
        conditions.put(StoreKeys.ROLLOUT_STATE, latestState.revision());
        // The write fails if an announcement has changed, for example because a process was
        // replaced by one of an earlier release.
        latestState
                .announcements()
                .forEach(
                        (node, stored) ->
                                conditions.put(
                                        StoreKeys.ROLLOUT_NODE_PREFIX + node, stored.revision()));
        long agreedVersion = latestState.agreedVersion();
        for (Feature feature : Feature.values()) {
            if (next.stateOf(feature.key()).isOn()) {
                agreedVersion = Math.max(agreedVersion, feature.agreedVersion());
            }
        }
        if (agreedVersion > latestState.agreedVersion()) {
            conditions.put(StoreKeys.AGREED_VERSION, latestState.agreedVersionRevision());
        }
        state.emit(
                new SchedulerAction.WriteRollout(
                        next,
                        conditions,
                        agreedVersion > latestState.agreedVersion() ? agreedVersion : 0));
    }

    /**
     * Moves the feature as far as possible now, which may be several steps. Returns the given
     * record if it does not move.
     */
    private RolloutRecord advance(
            Feature feature,
            RolloutRecord record,
            Set<String> members,
            Map<String, NodeAnnouncement> announcements) {
        RolloutRecord next = record;
        RolloutRequest request =
                latestState.requests().getOrDefault(feature.key(), RolloutRequest.AUTO);
        boolean crashLooping =
                announcements.values().stream()
                        .anyMatch(
                                announcement ->
                                        announcement.consecutiveStarts() >= CRASH_LOOP_STARTS
                                                && state.wallMicros()
                                                                - announcement.startedWallMicros()
                                                        < CRASH_LOOP_WINDOW_MICROS);
        while (true) {
            RecordCount count = counts.get(feature);
            boolean unchanged = next.stateOf(feature.key()).equals(count.standing);
            boolean soaked =
                    unchanged
                            && state.nowMicros() - Math.max(count.sinceMicros, stableSinceMicros)
                                    >= state.settings().operator().rolloutSoakMicros();
            Decision decision =
                    RolloutPolicy.decide(
                            feature,
                            new Inputs(
                                    next,
                                    members,
                                    announcements,
                                    latestState.unannouncedNodes(),
                                    latestState.agreedVersion(),
                                    request.verb(),
                                    soaked,
                                    crashLooping,
                                    migration.remaining(feature),
                                    unchanged && count.verified),
                            state.wallMicros());
            if (decision.next() == null) {
                if (!Objects.equals(
                        loggedReasons.put(feature, decision.reason()), decision.reason())) {
                    state.log(
                            LogEntry.info(LogEvent.ROLLOUT_WAITING)
                                    .with("feature", feature.key())
                                    .with("step", next.stateOf(feature.key()).step().text())
                                    .with("reason", decision.reason()));
                }
                return next;
            }
            String changedBy =
                    state.settings().nodeName()
                            + " in term "
                            + state.term()
                            + (request.verb() == Verb.AUTO
                                    ? ""
                                    : ", "
                                            + request.verb().text()
                                            + " asked by "
                                            + request.operator());
            FeatureState target = decision.next();
            next =
                    next.withState(
                            feature.key(),
                            new FeatureState(
                                    target.step(),
                                    target.isRollingBack(),
                                    target.isHeld(),
                                    target.sinceWallMicros(),
                                    changedBy));
            pendingStepEntries.put(
                    feature.key() + " " + target.step(),
                    LogEntry.info(LogEvent.ROLLOUT_STEP)
                            .with("feature", feature.key())
                            .with("step", target.step().text())
                            .with("rolling_back", target.isRollingBack())
                            .with("allowed_by", changedBy)
                            .with("reason", decision.reason()));
        }
    }

    /** Logs the steps that were written. After any other outcome the state has to be read again. */
    public void onWriteCompleted(SchedulerEvent.RolloutWriteCompleted result) {
        if (pendingRecord == null || result.recordNumber() != pendingRecord.number()) {
            return;
        }
        if (result.outcome() == SchedulerEvent.WriteOutcome.WRITTEN) {
            pendingStepEntries.values().forEach(state::log);
            latestState = latestState.withRecord(pendingRecord, result.revision());
        }
        pendingRecord = null;
        lastReviewMicros = Long.MIN_VALUE / 2;
        if (result.outcome() != SchedulerEvent.WriteOutcome.WRITTEN) {
            retryAtMicros = state.nowMicros() + REVIEW_INTERVAL_MICROS;
            latestState = null;
        }
    }
}
