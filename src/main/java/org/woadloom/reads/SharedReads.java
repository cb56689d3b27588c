package org.woadloom.reads;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.woadloom.net.Loop;
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
 * <p>Only jobs that were asked for lately are remembered. After a gap all of them are forgotten and read again by key: then
 * the changes that were missed may be many.
 */
public final class SharedReads {
    /** The part of the service's requests that the rounds of all nodes together may take. */
    private static final double PART = 0.1;
    private static final long LEAST_PAUSE_MICROS = 100_000;
    private static final long GAP_MICROS = 3_000_000;
    private static final int MOST_REMEMBERED = 4_000;

    /** What a user is told of a job. The status is null for one that was never accepted. */
    public record Shown(JobStatus status, List<String> awaits) {
        static Shown of(Looked looked) {
            boolean waits = looked.record() != null && !looked.record().cancelled();
            return new Shown(looked.status(), waits ? looked.record().description().awaits() : List.of());
        }
    }

    private record Question(String uid, Consumer<Shown> answer) {
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
    private final Cache<String, Remembered> remembered = Caffeine.newBuilder().maximumSize(MOST_REMEMBERED)
            .executor(Runnable::run).build();
    private Map<String, Reading> reading = new HashMap<>();
    private List<Question> asked = new ArrayList<>();
    private boolean roundComing;
    /** The generation up to which everything remembered is true, -1 for none. */
    private long since = -1;
    private long sinceMicros;
    private long notBeforeMicros = Long.MIN_VALUE / 2;

    /** @param requestsPerSecond what the state service takes from all nodes */
    public SharedReads(Loop loop, StateClient state, JobReader reader, double requestsPerSecond, int nodes) {
        this.loop = loop;
        this.state = state;
        this.reader = reader;
        pauseMicros = Math.max(LEAST_PAUSE_MICROS, (long) (nodes / (requestsPerSecond * PART) * 1e6));
    }

    /** Asks for a job; the answer is null if the store does not say. */
    public void ask(String uid, Consumer<Shown> answer) {
        Looked known = reader.known(uid);
        if (known != null) {
            answer.accept(Shown.of(known));
            return;
        }
        asked.add(new Question(uid, answer));
        roundSoon();
    }

    private void roundSoon() {
        if (!roundComing && !asked.isEmpty()) {
            roundComing = true;
            loop.schedule(Math.max(1, notBeforeMicros - loop.nowMicros()), this::round);
        }
    }

    private void round() {
        List<Question> questions = asked;
        asked = new ArrayList<>();
        long now = loop.nowMicros();
        notBeforeMicros = now + pauseMicros;
        if (since < 0 || now - sinceMicros > GAP_MICROS) {
            beginAnew(questions);
            return;
        }
        state.changes(Urgency.NORMAL, Keys.JOBS, since, (result, events, generation) -> {
            if (result == Result.OK) {
                events.forEach(this::changed);
                upTo(Math.max(since, generation), now);
                questions.forEach(this::answer);
            } else if (result == Result.NOT_FOUND) {
                beginAnew(questions);
                return;
            } else {
                questions.forEach(question -> question.answer.accept(null));
            }
            over();
        });
    }

    private void over() {
        roundComing = false;
        roundSoon();
    }

    private void upTo(long generation, long asOfMicros) {
        since = generation;
        sinceMicros = asOfMicros;
    }

    /** Changes were missed: nothing that is remembered, or being read, says how things stand now. */
    private void beginAnew(List<Question> questions) {
        remembered.invalidateAll();
        reading = new HashMap<>();
        since = -1;
        long now = loop.nowMicros();
        // The answer for a key that is not there names the generation.
        state.get(Urgency.NORMAL, Keys.NOTHING, (result, entry, generation) -> {
            if (result == Result.NOT_FOUND) {
                upTo(generation, now);
                questions.forEach(this::answer);
            } else {
                questions.forEach(question -> question.answer.accept(null));
            }
            over();
        });
    }

    private void changed(Event event) {
        String uid = event.path().substring(Keys.JOBS.length());
        Remembered job = remembered.getIfPresent(uid);
        if (job != null && event.stamp() > job.stamp) {
            if (event.value() == null) {
                // It is over, and its final state has to be read.
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
        Shown shown = remembered(question.uid);
        if (shown != null) {
            question.answer.accept(shown);
            return;
        }
        Reading read = reading.get(question.uid);
        if (read == null) {
            read = new Reading();
            reading.put(question.uid, read);
            read(question.uid, read);
        }
        // One that is under way is as good: the rounds tell what has changed since it began.
        read.waiting.add(question.answer);
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

    private void read(String uid, Reading read) {
        reader.look(uid, looked -> {
            Looked latest = looked;
            if (looked != null && looked.finalState() == null && read.latest != null
                    && read.latest.stamp() > looked.stamp()) {
                if (read.latest.value() == null) {
                    read.latest = null;
                    read(uid, read);
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
