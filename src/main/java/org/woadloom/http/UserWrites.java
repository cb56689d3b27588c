package org.woadloom.http;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.woadloom.net.Loop;
import org.woadloom.reads.Looked;
import org.woadloom.state.Budget;
import org.woadloom.state.StateClient;
import org.woadloom.state.StateClient.Change;
import org.woadloom.state.StateClient.Condition;
import org.woadloom.state.StateClient.Result;
import org.woadloom.state.StateClient.Urgency;

/**
 * Writes that a user waits for. Where the answer is late the job is read, and its user is told if that shows that the write
 * was carried out, or that it never can be. That it is not there proves nothing: it may be carried out still.
 */
final class UserWrites {
    /** Most answers take less than 10 ms, and now and then a few hundred. */
    private static final long FIRST_LOOK_MICROS = 400_000;
    private static final long SECOND_LOOK_MICROS = 1_200_000;
    /** What is sent takes so long to be answered, but for rare cases. */
    private static final long ANSWER_MICROS = 800_000;
    private static final int MOST_LOOKS = 2;
    /** The part of the service's requests that these reads of all nodes together may take. */
    private static final double PART = 0.1;

    /** Hears once what became of a write: its own answer, or what was read instead of it. */
    interface Outcome {
        /** @param found what was read, which decides; null where the write was answered, or nothing is known */
        void done(Result result, long generation, Looked found);
    }

    /** How the job is read. */
    interface Look {
        void look(Urgency urgency, String uid, Consumer<Looked> consumer);
    }

    private final Loop loop;
    private final StateClient state;
    private final Budget looks;

    UserWrites(Loop loop, StateClient state, double requestsPerSecond, int nodes) {
        this.loop = loop;
        this.state = state;
        looks = new Budget(requestsPerSecond * PART / nodes);
    }

    /**
     * @param answerByMicros until when its user waits: shortly before it is not sent any more, and then nothing is known
     * @param decides whether what was read, which is not null, makes the write's own answer needless
     */
    void write(Urgency urgency, long answerByMicros, String uid, List<Condition> conditions, Change change, Look look,
            Predicate<Looked> decides, Outcome outcome) {
        Write write = new Write(uid, look, decides, outcome);
        loop.schedule(FIRST_LOOK_MICROS, write::look);
        loop.schedule(SECOND_LOOK_MICROS, write::look);
        loop.schedule(Math.max(1, answerByMicros - loop.nowMicros()), () -> write.tell(Result.UNKNOWN, 0, null));
        state.txn(urgency, answerByMicros - ANSWER_MICROS, conditions, List.of(change),
                (result, generation, failed) -> write.answered(result, generation));
    }

    private final class Write {
        final String uid;
        final Look look;
        final Predicate<Looked> decides;
        final Outcome outcome;
        boolean told;
        boolean reading;
        int looked;
        /** The write's answer was that there is none. */
        boolean unknown;

        Write(String uid, Look look, Predicate<Looked> decides, Outcome outcome) {
            this.uid = uid;
            this.look = look;
            this.decides = decides;
            this.outcome = outcome;
        }

        void answered(Result result, long generation) {
            if (result != Result.UNKNOWN) {
                tell(result, generation, null);
                return;
            }
            unknown = true;
            look();
            if (!reading) {
                tell(Result.UNKNOWN, 0, null);
            }
        }

        void look() {
            long now = loop.nowMicros();
            if (told || reading || looked == MOST_LOOKS || looks.waitMicros(now, 1) > 0) {
                return;
            }
            looks.take(now, 1);
            looked++;
            reading = true;
            look.look(Urgency.USER, uid, found -> {
                reading = false;
                if (found != null && decides.test(found)) {
                    tell(Result.UNKNOWN, 0, found);
                } else if (unknown) {
                    tell(Result.UNKNOWN, 0, null);
                }
            });
        }

        private void tell(Result result, long generation, Looked found) {
            if (!told) {
                told = true;
                outcome.done(result, generation, found);
            }
        }
    }
}
