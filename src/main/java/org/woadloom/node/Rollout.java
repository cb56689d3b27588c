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
import org.woadloom.core.Command;
import org.woadloom.core.rollout.Belonging;
import org.woadloom.core.rollout.Feature;
import org.woadloom.leader.Election;
import org.woadloom.net.Loop;
import org.woadloom.peer.PeerMessage;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Peer;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.state.Keys;
import org.woadloom.state.NodeWord;
import org.woadloom.state.RecordFormat;
import org.woadloom.state.RolloutRecord;
import org.woadloom.state.RolloutRequest;
import org.woadloom.state.StateClient;
import org.woadloom.state.StateClient.Change;
import org.woadloom.state.StateClient.Condition;
import org.woadloom.state.StateClient.Entry;
import org.woadloom.state.StateClient.Result;
import org.woadloom.state.StateClient.Urgency;
import org.woadloom.wire.Fields;
import org.woadloom.wire.WireException;

/**
 * This node's part of a rollout: it gives its word, which lasts as long as its process renews it, then reads what is
 * required and what is on, and follows that. It acts upon a feature only by what the store says, or what a node says that
 * has read it there, never by its own settings. What moves a feature is the leader's core (`core.rollout`).
 */
final class Rollout implements Election.Fence {
    private static final Logger LOG = LoggerFactory.getLogger(Rollout.class);
    /** What versions 2 and 3 are told of this one: they agree on compact records and on care by it. */
    private static final long VERSION = 3;
    private static final String FIELD = "version";
    private static final long POLL_MICROS = 1_000_000;
    private static final long RETRY_MICROS = 300_000;
    private static final long WATCH_MICROS = 10_000_000;
    /** A word outlasts a restart, so that the next process knows that it is one, and little more. */
    private static final long GRANT_MICROS = 15_000_000;
    private static final long RENEW_MICROS = 4_000_000;
    private static final long IN_A_ROW_MICROS = 60_000_000;
    /** For how long a node that gives no word is believed to be there after it was heard. */
    private static final long HEARD_MICROS = 10_000_000;

    private final Loop loop;
    private final StateClient state;
    private final String label;
    private final Runnable changed;
    private final Set<Feature> able;
    private final Set<String> members = new TreeSet<>();
    private final Belonging belonging = new Belonging(Feature.known());
    private final long life;
    /** What is below {@link Keys#ROLLOUT}, as last read. */
    private final Map<String, Entry> entries = new HashMap<>();
    private RolloutRecord record = RolloutRecord.NONE;
    private long stateStamp;
    /** The features that are on, by the record, by an earlier version's agreement or by a peer's word. */
    private final EnumSet<Feature> on = EnumSet.noneOf(Feature.class);
    /** The number of the latest record that was read here or that a peer has read, and what it requires. */
    private long number;
    private Set<String> requires = Set.of();
    private long agreed = 1;
    private long agreedStamp;
    private final Map<String, Long> wordlessMicros = new HashMap<>();
    private String closed;
    /** The word of this process stands in the store, as far as known. */
    private boolean spoken;
    private boolean following;

    Rollout(Loop loop, StateClient state, ServiceSettings settings, OperatorSettings operator, Random random,
            Runnable changed) {
        this.loop = loop;
        this.state = state;
        this.label = settings.label();
        this.changed = changed;
        this.life = random.nextLong() >>> 1;
        able = EnumSet.allOf(Feature.class);
        if (!operator.care()) {
            able.remove(Feature.ZONE_CARE);
        }
        members.add(label);
        settings.peers().stream().map(Peer::label).forEach(members::add);
    }

    void start() {
        speak();
        poll();
    }

    // What the rest of the node asks.

    /** How records are written now. */
    RecordFormat format() {
        return on.contains(Feature.COMPACT_RECORDS) ? RecordFormat.COMPACT : RecordFormat.PLAIN;
    }

    boolean on(Feature feature) {
        return on.contains(feature);
    }

    /** It may be in use at some node, as far as is known here. */
    boolean mayBeOn(Feature feature) {
        return !known() || on(feature) || record.of(feature.key()).required();
    }

    long number() {
        return record.number();
    }

    /** How many features are on or settled. */
    int features() {
        return on.size();
    }

    /** True once this process has given its word and read what is required. */
    boolean known() {
        return belonging.known();
    }

    /** Why this process must not serve, or null. */
    String closed() {
        return closed;
    }

    @Override
    public boolean open() {
        return belonging.serves();
    }

    @Override
    public Condition condition() {
        return new Condition(Keys.ROLLOUT_STATE, stateStamp);
    }

    @Override
    public void changed() {
        read(Urgency.CONTROL, done -> {
        });
    }

    /** A record in the compact format was written by a node that knew that it may be. */
    void seen(RecordFormat format) {
        if (format == RecordFormat.COMPACT) {
            turnOn(Feature.COMPACT_RECORDS);
        }
    }

    /** A node that speaks of care knows that it may. */
    void spokenOfCare() {
        turnOn(Feature.COMPACT_RECORDS);
        turnOn(Feature.ZONE_CARE);
    }

    // What this node says.

    /** For the other nodes. */
    PeerMessage.Rollout said() {
        return new PeerMessage.Rollout(number, List.copyOf(Feature.keys(on)), List.copyOf(requires),
                List.copyOf(Feature.known()));
    }

    /** A peer spoke, without a word if it is of an earlier version. */
    void heard(String from, PeerMessage.Rollout said) {
        if (said == null) {
            wordlessMicros.put(from, loop.nowMicros());
            return;
        }
        wordlessMicros.remove(from);
        if (said.number() > number) {
            required(said.number(), new TreeSet<>(said.requires()));
            for (Feature feature : Feature.values()) {
                if (said.on().contains(feature.key())) {
                    turnOn(feature);
                } else if (feature.revocable() && on.remove(feature)) {
                    changed.run();
                }
            }
        }
    }

    private void speak() {
        state.grant(GRANT_MICROS, (result, grant) -> {
            if (result == Result.OK) {
                speak(grant);
            } else {
                loop.schedule(RETRY_MICROS, this::speak);
            }
        });
    }

    /** The word of the process before this one tells whether processes of this node end soon after one another. */
    private void speak(long grant) {
        String key = Keys.ROLLOUT_NODES + label;
        state.get(Urgency.CONTROL, key, (result, entry, generation) -> {
            if (result != Result.OK && result != Result.NOT_FOUND) {
                loop.schedule(RETRY_MICROS, this::speak);
                return;
            }
            NodeWord word = new NodeWord(life, Feature.known(), Feature.keys(able), members, starts(entry), loop.wallMicros());
            // Without the condition one without an answer, carried out after the next, hung the key on a grant that nobody renews.
            Condition asRead = new Condition(key, entry == null ? 0 : entry.stamp());
            state.txn(Urgency.CONTROL, List.of(asRead), List.of(new Change(key, word.toMap(), grant),
                    Change.put(Keys.NODE_VERSIONS + label, ImmutableMap.of(FIELD, VERSION))), (put, stamp, failed) -> {
                        if (put == Result.OK) {
                            spoken = true;
                            renewLater(grant);
                            follow();
                        } else {
                            loop.schedule(RETRY_MICROS, this::speak);
                        }
                    });
        });
    }

    private int starts(Entry before) {
        try {
            NodeWord word = before == null ? null : NodeWord.parse(before.value());
            long since = word == null ? -1 : loop.wallMicros() - word.sinceWallMicros();
            return word == null ? 1 : word.life() == life ? word.starts()
                    : since >= 0 && since < IN_A_ROW_MICROS ? word.starts() + 1 : 1;
        } catch (WireException e) {
            return 1;
        }
    }

    private void renewLater(long grant) {
        loop.schedule(RENEW_MICROS, () -> state.renew(grant, (result, id) -> {
            if (result == Result.NOT_FOUND) {
                // The word is gone; it is given again before anything is concluded from what is read.
                spoken = false;
                belonging.lapsed();
                speak();
            } else {
                renewLater(grant);
            }
        }));
    }

    // What the store says.

    private void follow() {
        read(Urgency.CONTROL, generation -> {
            if (generation < 0) {
                loop.schedule(RETRY_MICROS, this::follow);
            } else if (!following) {
                following = true;
                follow(generation);
            }
        });
    }

    private void follow(long since) {
        state.follow(Keys.ROLLOUT, since, WATCH_MICROS, (result, events, generation) -> {
            if (result != Result.OK) {
                following = false;
                loop.schedule(RETRY_MICROS, this::follow);
                return;
            }
            for (StateClient.Event event : events) {
                if (event.value() == null) {
                    entries.remove(event.path());
                } else {
                    entries.put(event.path(), new Entry(event.path(), event.value(), event.stamp()));
                }
            }
            if (!events.isEmpty()) {
                judge();
            }
            follow(Math.max(since, generation));
        });
    }

    /** Reads everything anew; the consumer hears the generation, or -1. */
    private void read(Urgency urgency, Consumer<Long> done) {
        // What a watch that was opened before the word was given still brings is not enough.
        boolean afterTheWord = spoken;
        state.list(urgency, Keys.ROLLOUT, (result, found, generation) -> {
            if (result != Result.OK) {
                done.accept(-1L);
                return;
            }
            if (afterTheWord && spoken) {
                belonging.read();
            }
            entries.clear();
            found.forEach(entry -> entries.put(entry.path(), entry));
            judge();
            done.accept(generation);
        });
    }

    private void judge() {
        Entry stored = entries.get(Keys.ROLLOUT_STATE);
        if (stored != null && stored.stamp() < stateStamp) {
            return;
        }
        stateStamp = stored == null ? 0 : stored.stamp();
        try {
            record = stored == null ? RolloutRecord.NONE : RolloutRecord.parse(stored.value());
        } catch (WireException e) {
            unreadable(stored, e);
            return;
        }
        belonging.readable();
        if (record.number() < number) {
            return;
        }
        required(record.number(), record.requires());
        for (Feature feature : Feature.values()) {
            if (record.of(feature.key()).on()) {
                turnOn(feature);
            } else if (feature.revocable() && on.remove(feature)) {
                LOG.info("event=feature_off feature={}", feature.key());
                changed.run();
            }
        }
        changed.run();
    }

    /** The record is of a form to come. What it requires stands where it always will; without that nothing can be done. */
    private void unreadable(Entry stored, WireException why) {
        try {
            required(RolloutRecord.numberOf(stored.value()), RolloutRecord.requiredBy(stored.value()));
            if (belonging.lacks().isEmpty()) {
                belonging.unreadable("the record of the rollout (" + why.getMessage() + ")");
            }
        } catch (WireException e) {
            belonging.unreadable("the record of the rollout (" + e.getMessage() + ")");
        }
        close();
    }

    private void required(long ofNumber, Set<String> names) {
        number = ofNumber;
        requires = names;
        belonging.required(names);
        close();
    }

    private void close() {
        String why = belonging.lacks().isEmpty() ? null
                : "this version does not know what the others use: " + belonging.lacks();
        if (why != null && !why.equals(closed)) {
            LOG.error("event=serving_stopped reason=\"{}\"", why);
        } else if (why == null && closed != null) {
            LOG.info("event=serving_resumed");
        }
        boolean differs = !Objects.equals(why, closed);
        closed = why;
        if (differs) {
            changed.run();
        }
    }

    private void turnOn(Feature feature) {
        if (on.add(feature)) {
            LOG.info("event=feature_on feature={}", feature.key());
            changed.run();
        }
    }

    // What versions 2 and 3 agree on.

    private void poll() {
        look(Urgency.NORMAL, known -> {
        });
        loop.schedule(POLL_MICROS, this::poll);
    }

    /** Reads what an earlier version has agreed on; tells whether that could be read. */
    void look(Urgency urgency, Consumer<Boolean> done) {
        if (agreed >= VERSION) {
            done.accept(true);
            return;
        }
        state.get(urgency, Keys.AGREED, (result, entry, generation) -> {
            try {
                if (result == Result.OK) {
                    agreed = Math.max(agreed, new Fields(entry.value()).integer(FIELD));
                    agreedStamp = entry.stamp();
                }
            } catch (WireException e) {
                LOG.error("event=record_unreadable key={} error=\"{}\"", entry.path(), e.getMessage());
            }
            for (Feature feature : Feature.values()) {
                if (feature.agreedVersion() > 0 && agreed >= feature.agreedVersion()) {
                    turnOn(feature);
                }
            }
            done.accept(result == Result.OK || result == Result.NOT_FOUND);
        });
    }

    // For the core of a leader.

    /** What a decision rests on, or null as long as that is not known. */
    Command.RolloutSeen situation(long refused) {
        if (!belonging.serves()) {
            return null;
        }
        Map<String, Command.Spoken> words = new LinkedHashMap<>();
        Map<String, RolloutRequest> asked = new LinkedHashMap<>();
        List<Entry> sorted = new ArrayList<>(entries.values());
        sorted.sort(Comparator.comparing(Entry::path));
        for (Entry entry : sorted) {
            try {
                if (entry.path().startsWith(Keys.ROLLOUT_NODES)) {
                    words.put(entry.path().substring(Keys.ROLLOUT_NODES.length()),
                            new Command.Spoken(NodeWord.parse(entry.value()), entry.stamp()));
                } else if (entry.path().startsWith(Keys.ROLLOUT_ASKED)) {
                    asked.put(entry.path().substring(Keys.ROLLOUT_ASKED.length()), RolloutRequest.parse(entry.value()));
                }
            } catch (WireException e) {
                LOG.error("event=record_unreadable key={} error=\"{}\"", entry.path(), e.getMessage());
            }
        }
        Set<String> wordless = new HashSet<>();
        wordlessMicros.forEach((from, micros) -> {
            if (loop.nowMicros() - micros < HEARD_MICROS) {
                wordless.add(from);
            }
        });
        return new Command.RolloutSeen(record, stateStamp, words, asked, wordless, agreed, agreedStamp, refused);
    }
}
