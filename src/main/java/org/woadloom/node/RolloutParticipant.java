package org.woadloom.node;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.core.rollout.ClusterMembership;
import org.woadloom.core.rollout.Feature;
import org.woadloom.leader.Election;
import org.woadloom.net.EventLoop;
import org.woadloom.peer.PeerMessage;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Peer;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.NodeAnnouncement;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.RolloutRecord;
import org.woadloom.store.RolloutRequest;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.Entry;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * This node's part of a rollout: it gives its word, which lasts as long as its process renews it,
 * then reads what is required and what is on, and follows that. It acts upon a feature only by what
 * the store says, or what a node says that has read it there, never by its own settings. What moves
 * a feature is the leader's core (`core.rollout`).
 */
final class RolloutParticipant implements Election.Fence {
    private static final Logger LOG = LoggerFactory.getLogger(RolloutParticipant.class);

    /**
     * What versions 2 and 3 are told of this one: they agree on compact records and on care by it.
     */
    private static final long VERSION = 3;

    private static final String FIELD = "version";
    private static final long POLL_MICROS = 1_000_000;
    private static final long RETRY_MICROS = 300_000;
    private static final long WATCH_MICROS = 10_000_000;

    /**
     * A word outlasts a restart, so that the next process knows that it is one, and little more.
     */
    private static final long GRANT_MICROS = 15_000_000;

    private static final long RENEW_MICROS = 4_000_000;
    private static final long IN_A_ROW_MICROS = 60_000_000;

    /** For how long a node that gives no word is believed to be there after it was heard. */
    private static final long HEARD_MICROS = 10_000_000;

    private final EventLoop loop;
    private final StoreClient store;
    private final String label;
    private final Runnable changed;
    private final Set<Feature> usableFeatures;
    private final Set<String> members = new TreeSet<>();
    private final ClusterMembership membership = new ClusterMembership(Feature.known());
    private final long processId;

    /** What is below {@link StoreKeys#ROLLOUT}, as last read. */
    private final Map<String, Entry> entries = new HashMap<>();

    private RolloutRecord record = RolloutRecord.NONE;
    private long stateStamp;

    /**
     * The features that are on, by the record, by an earlier version's agreement or by a peer's
     * word.
     */
    private final EnumSet<Feature> isOn = EnumSet.noneOf(Feature.class);

    /**
     * The number of the latest record that was read here or that a peer has read, and what it
     * requires.
     */
    private long number;

    private Set<String> requires = Set.of();
    private long agreedVersion = 1;
    private long agreedStamp;
    private final Map<String, Long> unannouncedPeers = new HashMap<>();
    private String closedReason;

    /** The word of this process stands in the store, as far as known. */
    private boolean announced;

    private boolean following;

    RolloutParticipant(
            EventLoop loop,
            StoreClient store,
            ServiceSettings settings,
            OperatorSettings operator,
            Random random,
            Runnable changed) {
        this.loop = loop;
        this.store = store;
        this.label = settings.label();
        this.changed = changed;
        this.processId = random.nextLong() >>> 1;
        usableFeatures = EnumSet.allOf(Feature.class);
        if (!operator.care()) {
            usableFeatures.remove(Feature.ZONE_CARE);
        }
        members.add(label);
        settings.peers().stream().map(Peer::label).forEach(members::add);
    }

    void start() {
        announce();
        poll();
    }

    // What the rest of the node asks.

    /** How records are written now. */
    RecordFormat format() {
        return isOn.contains(Feature.COMPACT_RECORDS) ? RecordFormat.COMPACT : RecordFormat.PLAIN;
    }

    boolean isOn(Feature feature) {
        return isOn.contains(feature);
    }

    /** It may be in use at some node, as far as is known here. */
    boolean mayBeOn(Feature feature) {
        return !isKnown() || isOn(feature) || record.of(feature.key()).required();
    }

    long number() {
        return record.number();
    }

    /** How many features are on or settled. */
    int enabledCount() {
        return isOn.size();
    }

    /** True once this process has given its word and read what is required. */
    boolean isKnown() {
        return membership.isKnown();
    }

    /** Why this process must not serve, or null. */
    String closedReason() {
        return closedReason;
    }

    @Override
    public boolean isOpen() {
        return membership.mayServe();
    }

    @Override
    public Condition condition() {
        return new Condition(StoreKeys.ROLLOUT_STATE, stateStamp);
    }

    @Override
    public void onConflict() {
        read(RequestPriority.CONTROL, done -> {});
    }

    /** A record in the compact format was written by a node that knew that it may be. */
    void onFormatSeen(RecordFormat format) {
        if (format == RecordFormat.COMPACT) {
            enable(Feature.COMPACT_RECORDS);
        }
    }

    /** A node that speaks of care knows that it may. */
    void onDelegationMessage() {
        enable(Feature.COMPACT_RECORDS);
        enable(Feature.ZONE_CARE);
    }

    // What this node says.

    /** For the other nodes. */
    PeerMessage.RolloutView view() {
        return new PeerMessage.RolloutView(
                number,
                List.copyOf(Feature.keys(isOn)),
                List.copyOf(requires),
                List.copyOf(Feature.known()));
    }

    /** A peer spoke, without a word if it is of an earlier version. */
    void onPeerView(String from, PeerMessage.RolloutView said) {
        if (said == null) {
            unannouncedPeers.put(from, loop.nowMicros());
            return;
        }
        unannouncedPeers.remove(from);
        if (said.number() > number) {
            setRequired(said.number(), new TreeSet<>(said.requires()));
            for (Feature feature : Feature.values()) {
                if (said.on().contains(feature.key())) {
                    enable(feature);
                } else if (feature.revocable() && isOn.remove(feature)) {
                    changed.run();
                }
            }
        }
    }

    private void announce() {
        store.storeLease(
                GRANT_MICROS,
                (result, storeLease) -> {
                    if (result == Result.OK) {
                        announce(storeLease);
                    } else {
                        loop.schedule(RETRY_MICROS, this::announce);
                    }
                });
    }

    /**
     * The word of the process before this one tells whether processes of this node end soon after
     * one another.
     */
    private void announce(long storeLease) {
        String key = StoreKeys.ROLLOUT_NODES + label;
        store.get(
                RequestPriority.CONTROL,
                key,
                (result, entry, storeRevision) -> {
                    if (result != Result.OK && result != Result.NOT_FOUND) {
                        loop.schedule(RETRY_MICROS, this::announce);
                        return;
                    }
                    NodeAnnouncement announcement =
                            new NodeAnnouncement(
                                    processId,
                                    Feature.known(),
                                    Feature.keys(usableFeatures),
                                    members,
                                    consecutiveStarts(entry),
                                    loop.wallMicros());
                    // Without the condition one without an answer, carried out after the next, hung
                    // the key on a grant that nobody renews.
                    Condition asRead = new Condition(key, entry == null ? 0 : entry.revision());
                    store.txn(
                            RequestPriority.CONTROL,
                            List.of(asRead),
                            List.of(
                                    new Change(key, announcement.toMap(), storeLease),
                                    Change.put(
                                            StoreKeys.NODE_VERSIONS + label,
                                            ImmutableMap.of(FIELD, VERSION))),
                            (put, revision, failed) -> {
                                if (put == Result.OK) {
                                    announced = true;
                                    renewLater(storeLease);
                                    follow();
                                } else {
                                    loop.schedule(RETRY_MICROS, this::announce);
                                }
                            });
                });
    }

    private int consecutiveStarts(Entry before) {
        try {
            NodeAnnouncement announcement =
                    before == null ? null : NodeAnnouncement.parse(before.value());
            long since =
                    announcement == null ? -1 : loop.wallMicros() - announcement.sinceWallMicros();
            return announcement == null
                    ? 1
                    : announcement.processId() == processId
                            ? announcement.consecutiveStarts()
                            : since >= 0 && since < IN_A_ROW_MICROS
                                    ? announcement.consecutiveStarts() + 1
                                    : 1;
        } catch (MalformedMessageException e) {
            return 1;
        }
    }

    private void renewLater(long storeLease) {
        loop.schedule(
                RENEW_MICROS,
                () ->
                        store.renewLease(
                                storeLease,
                                (result, id) -> {
                                    if (result == Result.NOT_FOUND) {
                                        // The word is gone; it is given again before anything is
                                        // concluded from what is read.
                                        announced = false;
                                        membership.onAnnouncementLost();
                                        announce();
                                    } else {
                                        renewLater(storeLease);
                                    }
                                }));
    }

    // What the store says.

    private void follow() {
        read(
                RequestPriority.CONTROL,
                storeRevision -> {
                    if (storeRevision < 0) {
                        loop.schedule(RETRY_MICROS, this::follow);
                    } else if (!following) {
                        following = true;
                        follow(storeRevision);
                    }
                });
    }

    private void follow(long since) {
        store.watch(
                StoreKeys.ROLLOUT,
                since,
                WATCH_MICROS,
                (result, events, storeRevision) -> {
                    if (result != Result.OK) {
                        following = false;
                        loop.schedule(RETRY_MICROS, this::follow);
                        return;
                    }
                    for (StoreClient.Event event : events) {
                        if (event.value() == null) {
                            entries.remove(event.path());
                        } else {
                            entries.put(
                                    event.path(),
                                    new Entry(event.path(), event.value(), event.revision()));
                        }
                    }
                    if (!events.isEmpty()) {
                        evaluate();
                    }
                    follow(Math.max(since, storeRevision));
                });
    }

    /** Reads everything anew; the consumer hears the generation, or -1. */
    private void read(RequestPriority urgency, Consumer<Long> done) {
        // What a watch that was opened before the word was given still brings is not enough.
        boolean afterTheWord = announced;
        store.list(
                urgency,
                StoreKeys.ROLLOUT,
                (result, found, storeRevision) -> {
                    if (result != Result.OK) {
                        done.accept(-1L);
                        return;
                    }
                    if (afterTheWord && announced) {
                        membership.onRecordRead();
                    }
                    entries.clear();
                    found.forEach(entry -> entries.put(entry.path(), entry));
                    evaluate();
                    done.accept(storeRevision);
                });
    }

    private void evaluate() {
        Entry stored = entries.get(StoreKeys.ROLLOUT_STATE);
        if (stored != null && stored.revision() < stateStamp) {
            return;
        }
        stateStamp = stored == null ? 0 : stored.revision();
        try {
            record = stored == null ? RolloutRecord.NONE : RolloutRecord.parse(stored.value());
        } catch (MalformedMessageException e) {
            onRecordUnreadable(stored, e);
            return;
        }
        membership.onRecordReadable();
        if (record.number() < number) {
            return;
        }
        setRequired(record.number(), record.requires());
        for (Feature feature : Feature.values()) {
            if (record.of(feature.key()).on()) {
                enable(feature);
            } else if (feature.revocable() && isOn.remove(feature)) {
                LOG.info("event=feature_off feature={}", feature.key());
                changed.run();
            }
        }
        changed.run();
    }

    /**
     * The record is of a form to come. What it requires stands where it always will; without that
     * nothing can be done.
     */
    private void onRecordUnreadable(Entry stored, MalformedMessageException why) {
        try {
            setRequired(
                    RolloutRecord.numberOf(stored.value()),
                    RolloutRecord.requiredBy(stored.value()));
            if (membership.missingFeatures().isEmpty()) {
                membership.onRecordUnreadable(
                        "the record of the rollout (" + why.getMessage() + ")");
            }
        } catch (MalformedMessageException e) {
            membership.onRecordUnreadable("the record of the rollout (" + e.getMessage() + ")");
        }
        updateClosed();
    }

    private void setRequired(long ofNumber, Set<String> names) {
        number = ofNumber;
        requires = names;
        membership.setRequired(names);
        updateClosed();
    }

    private void updateClosed() {
        String why =
                membership.missingFeatures().isEmpty()
                        ? null
                        : "this version does not know what the others use: "
                                + membership.missingFeatures();
        if (why != null && !why.equals(closedReason)) {
            LOG.error("event=serving_stopped reason=\"{}\"", why);
        } else if (why == null && closedReason != null) {
            LOG.info("event=serving_resumed");
        }
        boolean differs = !Objects.equals(why, closedReason);
        closedReason = why;
        if (differs) {
            changed.run();
        }
    }

    private void enable(Feature feature) {
        if (isOn.add(feature)) {
            LOG.info("event=feature_on feature={}", feature.key());
            changed.run();
        }
    }

    // What versions 2 and 3 agree on.

    private void poll() {
        readAgreedVersion(RequestPriority.NORMAL, known -> {});
        loop.schedule(POLL_MICROS, this::poll);
    }

    /** Reads what an earlier version has agreed on; tells whether that could be read. */
    void readAgreedVersion(RequestPriority urgency, Consumer<Boolean> done) {
        if (agreedVersion >= VERSION) {
            done.accept(true);
            return;
        }
        store.get(
                urgency,
                StoreKeys.AGREED,
                (result, entry, storeRevision) -> {
                    try {
                        if (result == Result.OK) {
                            agreedVersion =
                                    Math.max(
                                            agreedVersion,
                                            new Fields(entry.value()).integer(FIELD));
                            agreedStamp = entry.revision();
                        }
                    } catch (MalformedMessageException e) {
                        LOG.error(
                                "event=record_unreadable key={} error=\"{}\"",
                                entry.path(),
                                e.getMessage());
                    }
                    for (Feature feature : Feature.values()) {
                        if (feature.agreedVersion() > 0
                                && agreedVersion >= feature.agreedVersion()) {
                            enable(feature);
                        }
                    }
                    done.accept(result == Result.OK || result == Result.NOT_FOUND);
                });
    }

    // For the core of a leader.

    /** What a decision rests on, or null as long as that is not known. */
    SchedulerEvent.RolloutStateRead rolloutState(long refused) {
        if (!membership.mayServe()) {
            return null;
        }
        Map<String, SchedulerEvent.StoredAnnouncement> words = new LinkedHashMap<>();
        Map<String, RolloutRequest> asked = new LinkedHashMap<>();
        List<Entry> sorted = new ArrayList<>(entries.values());
        sorted.sort(Comparator.comparing(Entry::path));
        for (Entry entry : sorted) {
            try {
                if (entry.path().startsWith(StoreKeys.ROLLOUT_NODES)) {
                    words.put(
                            entry.path().substring(StoreKeys.ROLLOUT_NODES.length()),
                            new SchedulerEvent.StoredAnnouncement(
                                    NodeAnnouncement.parse(entry.value()), entry.revision()));
                } else if (entry.path().startsWith(StoreKeys.ROLLOUT_ASKED)) {
                    asked.put(
                            entry.path().substring(StoreKeys.ROLLOUT_ASKED.length()),
                            RolloutRequest.parse(entry.value()));
                }
            } catch (MalformedMessageException e) {
                LOG.error(
                        "event=record_unreadable key={} error=\"{}\"",
                        entry.path(),
                        e.getMessage());
            }
        }
        Set<String> wordless = new HashSet<>();
        unannouncedPeers.forEach(
                (from, micros) -> {
                    if (loop.nowMicros() - micros < HEARD_MICROS) {
                        wordless.add(from);
                    }
                });
        return new SchedulerEvent.RolloutStateRead(
                record, stateStamp, words, asked, wordless, agreedVersion, agreedStamp, refused);
    }
}
