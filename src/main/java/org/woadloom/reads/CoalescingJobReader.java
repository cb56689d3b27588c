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
import org.woadloom.net.EventLoop;
import org.woadloom.protocol.JobStatus;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.store.StoreClient;
import org.woadloom.store.StoreClient.Event;
import org.woadloom.store.StoreClient.RequestPriority;
import org.woadloom.store.StoreClient.Result;
import org.woadloom.store.StoreKeys;

/**
 * What users who poll are told. They share their reads: one request for all that has changed since
 * the last one serves everybody who asked before it was sent, however many jobs they ask for. So
 * each answer rests on a read that began after its question came, as if each had been read by
 * itself, and nobody is told anything older than what any node told before.
 *
 * <p>A read that takes long would hold up everybody, so another one is sent after a while, and the
 * first answer counts.
 *
 * <p>Only jobs that were asked for lately are remembered. After a gap all of them are forgotten and
 * read again by key: then the changes that were missed may be many.
 */
public final class CoalescingJobReader {
    /** The part of the service's requests that the rounds of all nodes together may take. */
    private static final double REQUEST_SHARE = 0.1;

    private static final long LEAST_PAUSE_MICROS = 100_000;

    /**
     * So many changes are read at most after a gap, as all of them come in one answer and are on
     * the heap together. It bounds how long a gap may be, and not how many jobs there are.
     */
    private static final double MAX_CHANGES = 1_500;

    private static final long LEAST_GAP_MICROS = 3_000_000;
    private static final long SLOW_MICROS = 400_000;
    private static final int MAX_ROUNDS_IN_FLIGHT = 4;

    /**
     * Users who poll wait 2 s: what would be read by key only after this comes too late for them.
     */
    private static final long PATIENCE_MICROS = 1_800_000;

    /**
     * Users of each job ask every node in turn, so a node is asked for every open job; what is
     * forgotten is read again by key, at a few tens a second. 4,000 machines have some 12,000 open
     * jobs. A job takes 225 bytes of heap here (measured), and 1.7 KB more from its change until it
     * is asked for again: 3.6 MB for 16,000, as few change within a poll's five seconds.
     */
    private static final int MAX_CACHED = 16_000;

    /** What a user is told of a job. The status is null for one that was never accepted. */
    public record JobView(JobStatus status, List<String> awaits) {
        public static JobView of(JobLookup lookup) {
            boolean waits = lookup.record() != null && !lookup.record().cancelled();
            return new JobView(
                    lookup.status(),
                    waits ? lookup.record().description().dependencies() : List.of());
        }
    }

    private record Question(
            long number, long askedMicros, String jobId, Consumer<JobView> answer) {}

    /** A job as of the last round: read already, or as the store gave it. */
    private static final class CachedJob {
        Map<String, Object> unread;
        long revision;
        JobView shown;

        CachedJob(long revision, JobView shown) {
            this.revision = revision;
            this.shown = shown;
        }
    }

    /** A job that is being read by key, for the first question or several. */
    private static final class PendingRead {
        final List<Consumer<JobView>> waiting = new ArrayList<>();

        /** The latest change that rounds have told of since it began: the read may be older. */
        Event latest;
    }

    private final EventLoop loop;
    private final StoreClient store;
    private final JobReader reader;
    private final long pauseMicros;
    private final long gapMicros;
    private final Cache<String, CachedJob> cached =
            Caffeine.newBuilder().maximumSize(MAX_CACHED).executor(Runnable::run).build();

    /**
     * Jobs whose record is gone: it never comes back, so only their final state is left to be read.
     */
    private final Cache<String, Long> ended =
            Caffeine.newBuilder().maximumSize(MAX_CACHED).executor(Runnable::run).build();

    private Map<String, PendingRead> pendingReads = new HashMap<>();

    /** What was asked and is not answered, the first first. */
    private final ArrayDeque<Question> questions = new ArrayDeque<>();

    private long lastAsked;

    /** The last question when a round last began: there is a round under way for all up to it. */
    private long lastCovered;

    private long lastRoundMicros = Long.MIN_VALUE / 2;
    private int roundsInFlight;
    private EventLoop.Timer timer;
    private long nextLookMicros;

    /**
     * Changes with each gap: what a round of an earlier one tells leaves out what was forgotten
     * since.
     */
    private long generation;

    /** The generation up to which everything remembered is true, -1 for none. */
    private long readUpToRevision = -1;

    private long sinceMicros;

    /**
     * @param limits what the state service takes from all nodes
     * @param nodes how many nodes there are
     */
    public CoalescingJobReader(
            EventLoop loop,
            StoreClient store,
            JobReader reader,
            ServiceSettings.Store limits,
            int nodes) {
        this.loop = loop;
        this.store = store;
        this.reader = reader;
        pauseMicros =
                Math.max(LEAST_PAUSE_MICROS, (long) (nodes / (limits.rps() * REQUEST_SHARE) * 1e6));
        gapMicros = Math.max(LEAST_GAP_MICROS, (long) (MAX_CHANGES / limits.writeRps() * 1e6));
    }

    /** Asks for a job; the answer is null if the store does not say. */
    public void read(String jobId, Consumer<JobView> answer) {
        JobLookup known = reader.knownFinalState(jobId);
        if (known != null) {
            answer.accept(JobView.of(known));
            return;
        }
        questions.add(new Question(++lastAsked, loop.nowMicros(), jobId, answer));
        scheduleRound();
    }

    private void scheduleRound() {
        long now = loop.nowMicros();
        long next =
                roundsInFlight >= MAX_ROUNDS_IN_FLIGHT
                        ? now + pauseMicros
                        : lastRoundMicros + (lastAsked > lastCovered ? pauseMicros : SLOW_MICROS);
        if (questions.isEmpty() || timer != null && nextLookMicros <= next) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        nextLookMicros = next;
        timer =
                loop.schedule(
                        Math.max(1, next - now),
                        () -> {
                            timer = null;
                            startRound();
                            scheduleRound();
                        });
    }

    /** Begins a round if there is anybody whom none is for, or if the last one takes long. */
    private void startRound() {
        long now = loop.nowMicros();
        boolean slow = now - lastRoundMicros >= SLOW_MICROS;
        if (questions.isEmpty()
                || roundsInFlight >= MAX_ROUNDS_IN_FLIGHT
                || lastAsked == lastCovered && !slow) {
            return;
        }
        lastRoundMicros = now;
        lastCovered = lastAsked;
        long upTo = lastAsked;
        roundsInFlight++;
        if (readUpToRevision < 0 || now - sinceMicros > gapMicros) {
            restart(upTo, now);
        } else if (store.isRefusing()) {
            checkStore(upTo, () -> readChanges(upTo, now), () -> roundsInFlight--);
        } else {
            readChanges(upTo, now);
            if (roundsInFlight > 1) {
                checkStore(upTo, () -> {}, () -> {});
            }
        }
    }

    /**
     * In an outage those who ask are told at once: a read of changes hangs then, a plain one does
     * not.
     */
    private void checkStore(long upTo, Runnable served, Runnable refused) {
        store.get(
                RequestPriority.USER,
                StoreKeys.NOTHING,
                (result, entry, storeRevision) -> {
                    if (result == Result.UNAVAILABLE) {
                        refused.run();
                        answerUpTo(upTo, question -> question.answer.accept(null));
                    } else {
                        served.run();
                    }
                });
    }

    private void readChanges(long upTo, long now) {
        if (readUpToRevision < 0) {
            // Another round found out that changes were missed while this one waited to begin.
            restart(upTo, now);
            return;
        }
        long ofEra = generation;
        store.changes(
                RequestPriority.USER,
                StoreKeys.JOBS,
                readUpToRevision,
                (result, events, storeRevision) -> {
                    roundsInFlight--;
                    if (ofEra != generation) {
                        return;
                    }
                    if (result == Result.OK) {
                        // Where another answer came first that tells more, what this one leaves out
                        // will not be told again.
                        Set<String> askedFor =
                                storeRevision >= readUpToRevision ? questionedJobs(upTo) : Set.of();
                        events.forEach(event -> onChange(event, askedFor));
                        advance(storeRevision, now);
                        answerUpTo(upTo, this::answer);
                    } else if (result == Result.NOT_FOUND) {
                        // Changes are kept for a while only.
                        roundsInFlight++;
                        restart(lastAsked, loop.nowMicros());
                    } else {
                        answerUpTo(upTo, question -> question.answer.accept(null));
                    }
                });
    }

    private void advance(long storeRevision, long asOfMicros) {
        readUpToRevision = Math.max(readUpToRevision, storeRevision);
        sinceMicros = Math.max(sinceMicros, asOfMicros);
    }

    private void answerUpTo(long upTo, Consumer<Question> how) {
        while (!questions.isEmpty() && questions.peekFirst().number <= upTo) {
            how.accept(questions.pollFirst());
        }
    }

    /**
     * Changes were missed: nothing that is remembered, or being read, says how things stand now.
     */
    private void restart(long upTo, long now) {
        if (readUpToRevision >= 0) {
            cached.invalidateAll();
            pendingReads = new HashMap<>();
            readUpToRevision = -1;
            generation++;
        }
        long ofEra = generation;
        // The answer for a key that is not there names the generation.
        store.get(
                RequestPriority.USER,
                StoreKeys.NOTHING,
                (result, entry, storeRevision) -> {
                    roundsInFlight--;
                    if (ofEra != generation || readUpToRevision >= 0) {
                        // Another answer came first, and what happened between the two must still
                        // be read.
                        return;
                    }
                    if (result == Result.NOT_FOUND) {
                        advance(storeRevision, now);
                        answerUpTo(upTo, this::answer);
                    } else {
                        answerUpTo(upTo, question -> question.answer.accept(null));
                    }
                });
    }

    private Set<String> questionedJobs(long upTo) {
        Set<String> jobIds = new HashSet<>();
        for (Question question : questions) {
            if (question.number > upTo) {
                break;
            }
            jobIds.add(question.jobId);
        }
        return jobIds;
    }

    /**
     * @param askedFor the jobs for whose questions this was read: its changes tell of them as well
     *     as a read by key
     */
    private void onChange(Event event, Set<String> askedFor) {
        String jobId = event.path().substring(StoreKeys.JOBS.length());
        if (event.value() == null) {
            ended.put(jobId, event.revision());
        }
        CachedJob job = cached.getIfPresent(jobId);
        if (job == null
                && event.value() != null
                && askedFor.contains(jobId)
                && !pendingReads.containsKey(jobId)) {
            job = new CachedJob(0, null);
            cached.put(jobId, job);
        }
        if (job != null && event.revision() > job.revision) {
            if (event.value() == null) {
                // Its final state has to be read.
                cached.invalidate(jobId);
            } else {
                job.unread = event.value();
                job.revision = event.revision();
            }
        }
        PendingRead read = pendingReads.get(jobId);
        if (read != null && (read.latest == null || event.revision() > read.latest.revision())) {
            read.latest = event;
        }
    }

    private void answer(Question question) {
        // Its final state may have been read for another request since the question came.
        JobLookup known = reader.knownFinalState(question.jobId);
        JobView shown = known != null ? JobView.of(known) : cached(question.jobId);
        if (shown != null) {
            question.answer.accept(shown);
            return;
        }
        PendingRead read = pendingReads.get(question.jobId);
        if (read != null) {
            // One that is under way is as good: the rounds tell what has changed since it began.
            read.waiting.add(question.answer);
            return;
        }
        read = new PendingRead();
        pendingReads.put(question.jobId, read);
        read.waiting.add(question.answer);
        read(question.jobId, read, question.askedMicros + PATIENCE_MICROS);
    }

    private JobView cached(String jobId) {
        CachedJob job = cached.getIfPresent(jobId);
        if (job != null && job.unread != null) {
            JobLookup lookup = reader.parse(jobId, job.unread, job.revision);
            job.unread = null;
            job.shown = lookup == null ? null : JobView.of(lookup);
        }
        return job == null ? null : job.shown;
    }

    private void read(String jobId, PendingRead read, long deadlineMicros) {
        reader.lookUp(
                jobId,
                ended.getIfPresent(jobId) != null,
                deadlineMicros,
                lookup -> {
                    JobLookup latest = lookup;
                    if (lookup != null
                            && lookup.finalState() == null
                            && read.latest != null
                            && read.latest.revision() > lookup.revision()) {
                        if (read.latest.value() == null) {
                            read.latest = null;
                            read(jobId, read, deadlineMicros);
                            return;
                        }
                        latest = reader.parse(jobId, read.latest.value(), read.latest.revision());
                    }
                    JobView shown = latest == null ? null : JobView.of(latest);
                    if (pendingReads.remove(jobId, read)
                            && latest != null
                            && latest.record() != null) {
                        cached.put(jobId, new CachedJob(latest.revision(), shown));
                    }
                    read.waiting.forEach(answer -> answer.accept(shown));
                });
    }
}
