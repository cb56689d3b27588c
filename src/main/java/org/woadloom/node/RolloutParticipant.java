package org.woadloom.node;

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
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Peer;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.NodeAnnouncement;
import org.woadloom.store.RecordFormat;
import org.woadloom.store.RolloutRecord;
import org.woadloom.store.RolloutRequest;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.Entry;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreKeys;

/**
 * Takes part in rollouts for this node: announces the node, then reads and watches which features
 * are required and which are on. A node uses a feature only if the store says so, or another node
 * that has read it there, never because of its own settings. The leader's scheduler advances the
 * rollout ({@code core.rollout}). Confined to the event loop.
 */
final class RolloutParticipant implements Election.Eligibility {
    private static final Logger LOG = LoggerFactory.getLogger(RolloutParticipant.class);

    /** How long after its last message a node without an announcement counts as running. */
    private static final long UNANNOUNCED_PEER_MICROS = 10_000_000;

    private final EventLoop loop;
    private final Runnable onChanged;
    private final ClusterMembership membership = new ClusterMembership(Feature.allKeys());
    private final NodeAnnouncer announcer;
    private final RolloutWatcher watcher;
    private final AgreedVersion agreedVersion;
    private RolloutRecord record = RolloutRecord.NONE;
    private long stateRevision;

    /**
     * The features that are on according to the rollout record, the agreed version of earlier
     * releases or a peer's message.
     */
    private final EnumSet<Feature> enabled = EnumSet.noneOf(Feature.class);

    /** The number of the latest rollout record that this node or a peer has read. */
    private long latestNumber;

    /** The features that the rollout record numbered {@link #latestNumber} requires. */
    private Set<String> required = Set.of();

    /** When each peer of an earlier release, which makes no announcement, last sent a message. */
    private final Map<String, Long> unannouncedPeers = new HashMap<>();

    private String closedReason;

    /**
     * @param onChanged called when a feature is switched on or off, or when it changes whether this
     *     process may serve
     */
    RolloutParticipant(
            EventLoop loop,
            StoreClient store,
            ServiceSettings settings,
            OperatorSettings operator,
            Random random,
            Runnable onChanged) {
        this.loop = loop;
        this.onChanged = onChanged;
        EnumSet<Feature> usableFeatures = EnumSet.allOf(Feature.class);
        if (!operator.leaseDelegation()) {
            usableFeatures.remove(Feature.LEASE_DELEGATION);
        }
        Set<String> members = new TreeSet<>();
        members.add(settings.label());
        settings.peers().stream().map(Peer::label).forEach(members::add);
        watcher = new RolloutWatcher(loop, store, new WatcherListener());
        announcer =
                new NodeAnnouncer(
                        loop,
                        store,
                        settings.label(),
                        random.nextLong() >>> 1,
                        usableFeatures,
                        members,
                        membership,
                        watcher::start);
        agreedVersion = new AgreedVersion(loop, store, this::enable);
    }

    void start() {
        announcer.announce();
        agreedVersion.poll();
    }

    private final class WatcherListener implements RolloutWatcher.Listener {
        @Override
        public boolean isAnnounced() {
            return announcer.isAnnounced();
        }

        @Override
        public void onReadSinceAnnouncement() {
            membership.onRecordRead();
        }

        @Override
        public void onEntriesChanged() {
            applyStoredRecord();
        }
    }

    /** The format in which records are written. */
    RecordFormat format() {
        return enabled.contains(Feature.COMPACT_RECORDS)
                ? RecordFormat.COMPACT
                : RecordFormat.PLAIN;
    }

    boolean isOn(Feature feature) {
        return enabled.contains(feature);
    }

    /** True if the feature may be on at any node, as far as this node knows. */
    boolean mayBeOn(Feature feature) {
        return !knowsRequiredFeatures()
                || isOn(feature)
                || record.stateOf(feature.key()).isRequired();
    }

    /** The number of the rollout record that this node last read. */
    long recordNumber() {
        return record.number();
    }

    /** How many features are on. */
    int enabledCount() {
        return enabled.size();
    }

    /** True once this process has announced itself and then read the required features. */
    boolean knowsRequiredFeatures() {
        return membership.isRecordRead();
    }

    /** Why this process must not serve, or null if it may. */
    String closedReason() {
        return closedReason;
    }

    @Override
    public boolean isEligible() {
        return membership.mayServe();
    }

    @Override
    public Condition condition() {
        return new Condition(StoreKeys.ROLLOUT_STATE, stateRevision);
    }

    @Override
    public void refresh() {
        watcher.refresh();
    }

    /** A node writes compact records only if it knows that the feature is on. */
    void onFormatSeen(RecordFormat format) {
        if (format == RecordFormat.COMPACT) {
            enable(Feature.COMPACT_RECORDS);
        }
    }

    /** A node sends delegation messages only if it knows that both features are on. */
    void onDelegationMessage() {
        enable(Feature.COMPACT_RECORDS);
        enable(Feature.LEASE_DELEGATION);
    }

    /**
     * Reads the version that earlier releases agreed on.
     *
     * @param done receives whether the store has answered
     */
    void readAgreedVersion(RequestPriority priority, Consumer<Boolean> done) {
        agreedVersion.read(priority, done);
    }

    /** This node's view of the rollout, which it sends to its peers. */
    PeerMessage.RolloutView view() {
        return new PeerMessage.RolloutView(
                latestNumber,
                List.copyOf(Feature.keys(enabled)),
                List.copyOf(required),
                List.copyOf(Feature.allKeys()));
    }

    /**
     * Updates this node's view of the rollout by that of a peer.
     *
     * @param view null if the peer runs an earlier release
     */
    void onPeerView(String from, PeerMessage.RolloutView view) {
        if (view == null) {
            unannouncedPeers.put(from, loop.nowMicros());
            return;
        }
        unannouncedPeers.remove(from);
        if (view.recordNumber() <= latestNumber) {
            return;
        }
        setRequired(view.recordNumber(), new TreeSet<>(view.requiredFeatures()));
        for (Feature feature : Feature.values()) {
            if (view.enabledFeatures().contains(feature.key())) {
                enable(feature);
            } else if (feature.canBeRolledBack() && enabled.remove(feature)) {
                onChanged.run();
            }
        }
    }

    private void applyStoredRecord() {
        Entry stored = watcher.entry(StoreKeys.ROLLOUT_STATE);
        if (stored != null && stored.revision() < stateRevision) {
            return;
        }
        stateRevision = stored == null ? 0 : stored.revision();
        try {
            record = stored == null ? RolloutRecord.NONE : RolloutRecord.parse(stored.value());
        } catch (MalformedMessageException e) {
            onRecordUnreadable(stored, e);
            return;
        }
        membership.onRecordReadable();
        if (record.number() < latestNumber) {
            return;
        }
        setRequired(record.number(), record.requiredFeatures());
        for (Feature feature : Feature.values()) {
            if (record.stateOf(feature.key()).isOn()) {
                enable(feature);
            } else if (feature.canBeRolledBack() && enabled.remove(feature)) {
                LOG.info("event=feature_off feature={}", feature.key());
                onChanged.run();
            }
        }
        onChanged.run();
    }

    /**
     * Handles a rollout record in the format of a later release. The required features can be
     * parsed in every format; if even these can't be, this process must not serve.
     */
    private void onRecordUnreadable(Entry stored, MalformedMessageException error) {
        try {
            setRequired(
                    RolloutRecord.parseNumber(stored.value()),
                    RolloutRecord.parseRequiredFeatures(stored.value()));
            if (membership.missingFeatures().isEmpty()) {
                membership.onRecordUnreadable(unreadableReason(error));
            }
        } catch (MalformedMessageException e) {
            membership.onRecordUnreadable(unreadableReason(e));
        }
        updateClosedReason();
    }

    private static String unreadableReason(MalformedMessageException error) {
        return "the format of the rollout record (" + error.getMessage() + ")";
    }

    private void setRequired(long newNumber, Set<String> features) {
        latestNumber = newNumber;
        required = features;
        membership.setRequiredFeatures(features);
        updateClosedReason();
    }

    private void updateClosedReason() {
        String reason =
                membership.missingFeatures().isEmpty()
                        ? null
                        : "this version does not support what the cluster requires: "
                                + membership.missingFeatures();
        if (Objects.equals(reason, closedReason)) {
            return;
        }
        if (reason != null) {
            LOG.error("event=serving_stopped reason=\"{}\"", reason);
        } else {
            LOG.info("event=serving_resumed");
        }
        closedReason = reason;
        onChanged.run();
    }

    private void enable(Feature feature) {
        if (enabled.add(feature)) {
            LOG.info("event=feature_on feature={}", feature.key());
            onChanged.run();
        }
    }

    /**
     * The stored state by which the leader's scheduler advances the rollout, or null while this
     * process may not serve.
     *
     * @param refusedOrLate the refused answers and late scheduler steps of this node since its
     *     process started
     */
    SchedulerEvent.RolloutStateRead rolloutState(long refusedOrLate) {
        if (!membership.mayServe()) {
            return null;
        }
        Map<String, SchedulerEvent.StoredAnnouncement> announcements = new LinkedHashMap<>();
        Map<String, RolloutRequest> requests = new LinkedHashMap<>();
        for (Entry entry : watcher.sortedEntries()) {
            try {
                addEntry(entry, announcements, requests);
            } catch (MalformedMessageException e) {
                UnreadableRecords.log(entry.key(), e);
            }
        }
        return new SchedulerEvent.RolloutStateRead(
                record,
                stateRevision,
                announcements,
                requests,
                recentUnannouncedPeers(),
                agreedVersion.version(),
                agreedVersion.revision(),
                refusedOrLate);
    }

    private static void addEntry(
            Entry entry,
            Map<String, SchedulerEvent.StoredAnnouncement> announcements,
            Map<String, RolloutRequest> requests)
            throws MalformedMessageException {
        String key = entry.key();
        if (key.startsWith(StoreKeys.ROLLOUT_NODE_PREFIX)) {
            announcements.put(
                    key.substring(StoreKeys.ROLLOUT_NODE_PREFIX.length()),
                    new SchedulerEvent.StoredAnnouncement(
                            NodeAnnouncement.parse(entry.value()), entry.revision()));
        } else if (key.startsWith(StoreKeys.ROLLOUT_REQUEST_PREFIX)) {
            requests.put(
                    key.substring(StoreKeys.ROLLOUT_REQUEST_PREFIX.length()),
                    RolloutRequest.parse(entry.value()));
        }
    }

    private Set<String> recentUnannouncedPeers() {
        long now = loop.nowMicros();
        Set<String> recent = new HashSet<>();
        unannouncedPeers.forEach(
                (peer, lastMessageMicros) -> {
                    if (now - lastMessageMicros < UNANNOUNCED_PEER_MICROS) {
                        recent.add(peer);
                    }
                });
        return recent;
    }
}
