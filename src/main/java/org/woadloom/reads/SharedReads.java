package org.woadloom.reads;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.woadloom.net.Loop;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.state.Keys;
import org.woadloom.state.StateClient;
import org.woadloom.state.StateClient.Event;
import org.woadloom.state.StateClient.Result;
import org.woadloom.state.StateClient.Urgency;
import org.woadloom.wire.JobStatus;

/**
 * What users who poll are told. They share their reads: one request for all that has changed since the last one serves
 * everybody who asked before it was sent, however many jobs they ask for. So each answer rests on a read that began after
 * its question came, as if each had been read by itself, and nobody is told anything older than what any node told before.
 *
 * <p>A read that takes long would hold up everybody, so another one is sent after a while, and the first answer counts.
 *
 * <p>Only jobs that were asked for lately are remembered. After a gap all of them are forgotten and read again by key: then
 * the changes that were missed may be many.
 */
public final class SharedReads {
    /** The part of the service's requests that the rounds of all nodes together may take. */
    private static final double PART = 0.1;
    private static final long LEAST_PAUSE_MICROS = 100_000;
    /**
     * So many changes are read at most after a gap, as all of them come in one answer and are on the heap together. It bounds
     * how long a gap may be, and not how many jobs there are.
     */
    private static final double MOST_CHANGES = 1_500;
    private static final long LEAST_GAP_MICROS = 3_000_000;
    private static final long SLOW_MICROS = 400_000;
    private static final int MOST_UNDER_WAY = 4;
    /** Users who poll wait 2 s: what would be read by key only after this comes too late for them. */
    private static final long PATIENCE_MICROS = 1_800_000;
    /**
     * Users of each job ask every node in turn, so a node is asked for every open job; what is forgotten is read again by key,
     * at a few tens a second. 4,000 machines have some 12,000 open jobs. A job takes 225 bytes of heap here (measured), and
     * 1.7 KB more from its change until it is asked for again: 3.6 MB for 16,000, as few change within a poll's five seconds.
     */
    private static final int MOST_REMEMBERED = 16_000;

    /** What a user is told of a job. The status is null for one that was never accepted. */
    public record Shown(JobStatus status, List<String> awaits) {
        public static Shown of(Looked looked) {
            boolean waits = looked.record() != null && !looked.record().cancelled();
            return new Shown(looked.status(), waits ? looked.record().description().awaits() : List.of());
        }
    }

    private record Question(long number, long askedMicros, String uid, Consumer<Shown> answer) {
    }

    /** A job as of the last round: read already, or as the store gave it. */
    private static final class Remembered {
        Map<String, Object> unread;
        long stamp;
        Shown shown;

        Remembered(long stamp, Shown shown) {
            this.stamp = stamp;
            this.shown = shown;
        }
    }

    /** A job that is being read by key, for the first question or several. */
    private static final class Reading {
        final List<Consumer<Shown>> waiting = new ArrayList<>();
        /** The latest change that rounds have told of since it began: the read may be older. */
        Event latest;
    }

    private final Loop loop;
    private final StateClient state;
    private final JobReader reader;
    private final long pauseMicros;
    private final long gapMicros;
    private final Cache<String, Remembered> remembered = Caffeine.newBuilder().maximumSize(MOST_REMEMBERED)
            .executor(Runnable::run).build();
    /** Jobs whose record is gone: it never comes back, so only their final state is left to be read. */
    private final Cache<String, Long> over = Caffeine.newBuilder().maximumSize(MOST_REMEMBERED).executor(Runnable::run).build();
    private Map<String, Reading> reading = new HashMap<>();
    /** What was asked and is not answered, the first first. */
    private final ArrayDeque<Question> asked = new ArrayDeque<>();
    private long lastAsked;
    /** The last question when a round last began: there is a round under way for all up to it. */
    private long lastCovered;
    private long lastRoundMicros = Long.MIN_VALUE / 2;
    private int underWay;
    private Loop.Timer timer;
    private long nextLookMicros;
    /** Changes with each gap: what a round of an earlier one tells leaves out what was forgotten since. */
    private long era;
    /** The generation up to which everything remembered is true, -1 for none. */
    private long since = -1;
    private long sinceMicros;

    /**
     * @param limits what the state service takes from all nodes
     * @param nodes how many nodes there are
     */
    public SharedReads(Loop loop, StateClient state, JobReader reader, ServiceSettings.State limits, int nodes) {
        this.loop = loop;
        this.state = state;
        this.reader = reader;
        pauseMicros = Math.max(LEAST_PAUSE_MICROS, (long) (nodes / (limits.rps() * PART) * 1e6));
        gapMicros = Math.max(LEAST_GAP_MICROS, (long) (MOST_CHANGES / limits.writeRps() * 1e6));
    }

    /** Asks for a job; the answer is null if the store does not say. */
    public void ask(String uid, Consumer<Shown> answer) {
        Looked known = reader.known(uid);
        if (known != null) {
            answer.accept(Shown.of(known));
            return;
        }
        asked.add(new Question(++lastAsked, loop.nowMicros(), uid, answer));
        lookSoon();
    }

    private void lookSoon() {
        long now = loop.nowMicros();
        long next = underWay >= MOST_UNDER_WAY ? now + pauseMicros
                : lastRoundMicros + (lastAsked > lastCovered ? pauseMicros : SLOW_MICROS);
        if (asked.isEmpty() || timer != null && nextLookMicros <= next) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        nextLookMicros = next;
        timer = loop.schedule(Math.max(1, next - now), () -> {
            timer = null;
            look();
            lookSoon();
        });
    }

    /** Begins a round if there is anybody whom none is for, or if the last one takes long. */
    private void look() {
        long now = loop.nowMicros();
        boolean slow = now - lastRoundMicros >= SLOW_MICROS;
        if (asked.isEmpty() || underWay >= MOST_UNDER_WAY || lastAsked == lastCovered && !slow) {
            return;
        }
        lastRoundMicros = now;
        lastCovered = lastAsked;
        long upTo = lastAsked;
        underWay++;
        if (since < 0 || now - sinceMicros > gapMicros) {
            beginAnew(upTo, now);
        } else if (state.refuses()) {
            ifServed(upTo, () -> readChanges(upTo, now), () -> underWay--);
        } else {
            readChanges(upTo, now);
            if (underWay > 1) {
                ifServed(upTo, () -> {
                }, () -> {
                });
            }
        }
    }

    /** In an outage those who ask are told at once: a read of changes hangs then, a plain one does not. */
    private void ifServed(long upTo, Runnable served, Runnable refused) {
        state.get(Urgency.USER, Keys.NOTHING, (result, entry, generation) -> {
            if (result == Result.UNAVAILABLE) {
                refused.run();
                answered(upTo, question -> question.answer.accept(null));
            } else {
                served.run();
            }
        });
    }

    private void readChanges(long upTo, long now) {
        if (since < 0) {
            // Another round found out that changes were missed while this one waited to begin.
            beginAnew(upTo, now);
            return;
        }
        long ofEra = era;
        state.changes(Urgency.USER, Keys.JOBS, since, (result, events, generation) -> {
            underWay--;
            if (ofEra != era) {
                return;
            }
            if (result == Result.OK) {
                // Where another answer came first that tells more, what this one leaves out will not be told again.
                Set<String> askedFor = generation >= since ? askedFor(upTo) : Set.of();
                events.forEach(event -> changed(event, askedFor));
                told(generation, now);
                answered(upTo, this::answer);
            } else if (result == Result.NOT_FOUND) {
                // Changes are kept for a while only.
                underWay++;
                beginAnew(lastAsked, loop.nowMicros());
            } else {
                answered(upTo, question -> question.answer.accept(null));
            }
        });
    }

    private void told(long generation, long asOfMicros) {
        since = Math.max(since, generation);
        sinceMicros = Math.max(sinceMicros, asOfMicros);
    }

    private void answered(long upTo, Consumer<Question> how) {
        while (!asked.isEmpty() && asked.peekFirst().number <= upTo) {
            how.accept(asked.pollFirst());
        }
    }

    /** Changes were missed: nothing that is remembered, or being read, says how things stand now. */
    private void beginAnew(long upTo, long now) {
        if (since >= 0) {
            remembered.invalidateAll();
            reading = new HashMap<>();
            since = -1;
            era++;
        }
        long ofEra = era;
        // The answer for a key that is not there names the generation.
        state.get(Urgency.USER, Keys.NOTHING, (result, entry, generation) -> {
            underWay--;
            if (ofEra != era || since >= 0) {
                // Another answer came first, and what happened between the two must still be read.
                return;
            }
            if (result == Result.NOT_FOUND) {
                told(generation, now);
                answered(upTo, this::answer);
            } else {
                answered(upTo, question -> question.answer.accept(null));
            }
        });
    }

    private Set<String> askedFor(long upTo) {
        Set<String> uids = new HashSet<>();
        for (Question question : asked) {
            if (question.number > upTo) {
                break;
            }
            uids.add(question.uid);
        }
        return uids;
    }

    /** @param askedFor the jobs for whose questions this was read: its changes tell of them as well as a read by key */
    private void changed(Event event, Set<String> askedFor) {
        String uid = event.path().substring(Keys.JOBS.length());
        if (event.value() == null) {
            over.put(uid, event.stamp());
        }
        Remembered job = remembered.getIfPresent(uid);
        if (job == null && event.value() != null && askedFor.contains(uid) && !reading.containsKey(uid)) {
            job = new Remembered(0, null);
            remembered.put(uid, job);
        }
        if (job != null && event.stamp() > job.stamp) {
            if (event.value() == null) {
                // Its final state has to be read.
                remembered.invalidate(uid);
            } else {
                job.unread = event.value();
                job.stamp = event.stamp();
            }
        }
        Reading read = reading.get(uid);
        if (read != null && (read.latest == null || event.stamp() > read.latest.stamp())) {
            read.latest = event;
        }
    }

    private void answer(Question question) {
        // Its final state may have been read for another request since the question came.
        Looked known = reader.known(question.uid);
        Shown shown = known != null ? Shown.of(known) : remembered(question.uid);
        if (shown != null) {
            question.answer.accept(shown);
            return;
        }
        Reading read = reading.get(question.uid);
        if (read != null) {
            // One that is under way is as good: the rounds tell what has changed since it began.
            read.waiting.add(question.answer);
            return;
        }
        read = new Reading();
        reading.put(question.uid, read);
        read.waiting.add(question.answer);
        read(question.uid, read, question.askedMicros + PATIENCE_MICROS);
    }

    private Shown remembered(String uid) {
        Remembered job = remembered.getIfPresent(uid);
        if (job != null && job.unread != null) {
            Looked looked = reader.parse(uid, job.unread, job.stamp);
            job.unread = null;
            job.shown = looked == null ? null : Shown.of(looked);
        }
        return job == null ? null : job.shown;
    }

    private void read(String uid, Reading read, long deadlineMicros) {
        reader.look(uid, over.getIfPresent(uid) != null, deadlineMicros, looked -> {
            Looked latest = looked;
            if (looked != null && looked.finalState() == null && read.latest != null
                    && read.latest.stamp() > looked.stamp()) {
                if (read.latest.value() == null) {
                    read.latest = null;
                    read(uid, read, deadlineMicros);
                    return;
                }
                latest = reader.parse(uid, read.latest.value(), read.latest.stamp());
            }
            Shown shown = latest == null ? null : Shown.of(latest);
            if (reading.remove(uid, read) && latest != null && latest.record() != null) {
                remembered.put(uid, new Remembered(latest.stamp(), shown));
            }
            read.waiting.forEach(answer -> answer.accept(shown));
        });
    }
}
