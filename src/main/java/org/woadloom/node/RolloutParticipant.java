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
 * This node's part of a rollout: it announces itself, then reads which features are required and
 * which are on, and follows that. It uses a feature only by what the store says, or what a node
 * says that has read it there, never by its own settings. What moves a rollout on is the leader's
 * scheduler ({@code core.rollout}). Belongs to the event loop.
 */
final class RolloutParticipant implements Election.Eligibility {
    private static final Logger LOG = LoggerFactory.getLogger(RolloutParticipant.class);

    /** For so long a node without an announcement counts as running after its last message. */
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
     * The features that are on, by the record, by the agreed version of earlier releases or by a
     * peer's message.
     */
    private final EnumSet<Feature> enabled = EnumSet.noneOf(Feature.class);

    /** The number of the latest record that was read here or that a peer has read. */
    private long number;

    /** The features that the record of that number requires. */
    private Set<String> required = Set.of();

    /** When peers of earlier releases, which announce nothing, last sent a message. */
    private final Map<String, Long> unannouncedPeers = new HashMap<>();

    private String closedReason;

    /**
     * @param onChanged called when a feature has been switched, or whether this process may serve
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
        if (!operator.care()) {
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
        public void onEntries() {
            evaluate();
        }
    }

    /** The format in which records are written now. */
    RecordFormat format() {
        return enabled.contains(Feature.COMPACT_RECORDS)
                ? RecordFormat.COMPACT
                : RecordFormat.PLAIN;
    }

    boolean isOn(Feature feature) {
        return enabled.contains(feature);
    }

    /** True if the feature may be in use at some node, as far as is known here. */
    boolean mayBeOn(Feature feature) {
        return !isKnown() || isOn(feature) || record.stateOf(feature.key()).isRequired();
    }

    /** The number of the record that was last read. */
    long number() {
        return record.number();
    }

    /** How many features are on or settled. */
    int enabledCount() {
        return enabled.size();
    }

    /** True once this process has announced itself and read what is required. */
    boolean isKnown() {
        return membership.isRecordRead();
    }

    /** Why this process must not serve, or null. */
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

    /** A record in the compact format was written by a node that knew that it may be. */
    void onFormatSeen(RecordFormat format) {
        if (format == RecordFormat.COMPACT) {
            enable(Feature.COMPACT_RECORDS);
        }
    }

    /** A node that sends messages of delegation knows that it may. */
    void onDelegationMessage() {
        enable(Feature.COMPACT_RECORDS);
        enable(Feature.LEASE_DELEGATION);
    }

    /**
     * Reads the version that earlier releases agreed on.
     *
     * @param done is told whether the store has answered
     */
    void readAgreedVersion(RequestPriority priority, Consumer<Boolean> done) {
        agreedVersion.read(priority, done);
    }

    /** What this node tells the others of the rollout. */
    PeerMessage.RolloutView view() {
        return new PeerMessage.RolloutView(
                number,
                List.copyOf(Feature.keys(enabled)),
                List.copyOf(required),
                List.copyOf(Feature.allKeys()));
    }

    /**
     * Takes what a peer tells of the rollout.
     *
     * @param view null from an earlier release
     */
    void onPeerView(String from, PeerMessage.RolloutView view) {
        if (view == null) {
            unannouncedPeers.put(from, loop.nowMicros());
            return;
        }
        unannouncedPeers.remove(from);
        if (view.recordNumber() <= number) {
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

    private void evaluate() {
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
        if (record.number() < number) {
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
     * The record has the form of a later release. The features that it requires can be read in
     * every form; without them nothing can be done.
     */
    private void onRecordUnreadable(Entry stored, MalformedMessageException error) {
        try {
            setRequired(
                    RolloutRecord.parseNumber(stored.value()),
                    RolloutRecord.parseRequiredFeatures(stored.value()));
            if (membership.missingFeatures().isEmpty()) {
                membership.onRecordUnreadable(unreadable(error));
            }
        } catch (MalformedMessageException e) {
            membership.onRecordUnreadable(unreadable(e));
        }
        updateClosed();
    }

    private static String unreadable(MalformedMessageException error) {
        return "the record of the rollout (" + error.getMessage() + ")";
    }

    private void setRequired(long ofNumber, Set<String> features) {
        number = ofNumber;
        required = features;
        membership.setRequiredFeatures(features);
        updateClosed();
    }

    private void updateClosed() {
        String reason =
                membership.missingFeatures().isEmpty()
                        ? null
                        : "this version does not know what the others use: "
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
     * What the leader's scheduler decides a rollout by, or null as long as that is not known.
     *
     * @param refused answers refused and steps late at this node since its process started
     */
    SchedulerEvent.RolloutStateRead rolloutState(long refused) {
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
                refused);
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
