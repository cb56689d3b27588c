package org.woadloom.node;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.net.Loop;
import org.woadloom.settings.Peer;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.state.Keys;
import org.woadloom.state.RecordFormat;
import org.woadloom.state.StateClient;
import org.woadloom.state.StateClient.Change;
import org.woadloom.state.StateClient.Condition;
import org.woadloom.state.StateClient.Result;
import org.woadloom.state.StateClient.Urgency;
import org.woadloom.wire.Fields;
import org.woadloom.wire.WireException;

/**
 * Which version every node runs. Each says so in the state service at its start. Once all that the settings name have, that
 * is written down for good, and only from then on is anything written that version 1 can't read. A node that is missing
 * delays this, and nothing else waits for it.
 */
final class Rollout {
    private static final Logger LOG = LoggerFactory.getLogger(Rollout.class);
    /** The version of what this program stores and sends. Version 1 said nothing of itself. */
    static final long VERSION = 3;
    /** The first version that reads and writes compact records. */
    private static final long COMPACT = 2;
    /** The first version that takes care of workers in a zone that is cut off, and as a leader reckons with that. */
    private static final long CARE = 3;
    private static final String FIELD = "version";
    private static final long POLL_MICROS = 1_000_000;

    private final Loop loop;
    private final StateClient state;
    private final String label;
    private final List<String> labels = new ArrayList<>();
    private final Runnable agreedListener;
    private long agreed = 1;
    private List<String> waitedFor = List.of();

    Rollout(Loop loop, StateClient state, ServiceSettings settings, Runnable agreedListener) {
        this.loop = loop;
        this.state = state;
        this.label = settings.label();
        this.agreedListener = agreedListener;
        labels.add(label);
        settings.peers().stream().map(Peer::label).forEach(labels::add);
    }

    void start() {
        announce();
    }

    /** How records are written now. */
    RecordFormat format() {
        return agreed >= COMPACT ? RecordFormat.COMPACT : RecordFormat.PLAIN;
    }

    /** True once nodes may speak of care, and take it. */
    boolean care() {
        return agreed >= CARE;
    }

    /** The version that every node runs, or a later one. */
    long agreedVersion() {
        return agreed;
    }

    /** A record in the compact format was written by a node that knew of the agreement. */
    void seen(RecordFormat format) {
        if (format == RecordFormat.COMPACT) {
            agreed(COMPACT);
        }
    }

    /** A node that speaks of care knows of the agreement. */
    void spokenOfCare() {
        agreed(CARE);
    }

    private void announce() {
        state.txn(Urgency.NORMAL, List.of(), List.of(Change.put(Keys.NODE_VERSIONS + label,
                ImmutableMap.of(FIELD, VERSION))), (result, generation, failed) -> {
                    if (result == Result.OK) {
                        poll();
                    } else {
                        loop.schedule(POLL_MICROS, this::announce);
                    }
                });
    }

    private void poll() {
        if (agreed < VERSION) {
            look(Urgency.NORMAL, known -> loop.schedule(POLL_MICROS, this::poll));
        }
    }

    /** Reads what the nodes say of themselves; tells whether that could be read. */
    void look(Urgency urgency, Consumer<Boolean> done) {
        if (agreed >= VERSION) {
            done.accept(true);
            return;
        }
        state.list(urgency, Keys.VERSIONS, (result, entries, generation) -> {
            if (result != Result.OK) {
                done.accept(false);
                return;
            }
            Map<String, Long> versions = new LinkedHashMap<>();
            long stamp = 0;
            for (StateClient.Entry entry : entries) {
                try {
                    versions.put(entry.path(), new Fields(entry.value()).integer(FIELD));
                    stamp = entry.path().equals(Keys.AGREED) ? entry.stamp() : stamp;
                } catch (WireException e) {
                    LOG.error("record {} can't be read: {}", entry.path(), e.getMessage());
                }
            }
            judge(versions, stamp);
            done.accept(true);
        });
    }

    private void judge(Map<String, Long> versions, long agreedStamp) {
        agreed(versions.getOrDefault(Keys.AGREED, 1L));
        long least = VERSION;
        List<String> behind = new ArrayList<>();
        for (String node : labels) {
            long version = versions.getOrDefault(Keys.NODE_VERSIONS + node, 1L);
            least = Math.min(least, version);
            if (version < VERSION) {
                behind.add(node);
            }
        }
        if (agreed < VERSION && !behind.isEmpty() && !behind.equals(waitedFor)) {
            waitedFor = behind;
            LOG.info("version {} is not yet known to run on {}", VERSION, behind);
        }
        if (least > agreed) {
            long version = least;
            // Whoever writes it first; what it says can't become untrue.
            state.txn(Urgency.NORMAL, List.of(new Condition(Keys.AGREED, agreedStamp)),
                    List.of(Change.put(Keys.AGREED, ImmutableMap.of(FIELD, version))), (result, generation, failed) -> {
                        if (result == Result.OK) {
                            agreed(version);
                        }
                    });
        }
    }

    private void agreed(long version) {
        if (version > agreed) {
            agreed = version;
            LOG.info("every node runs version {}: what it stores and says is in use from now on", version);
            agreedListener.run();
        }
    }
}
