package org.woadloom.core.rollout;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.woadloom.store.NodeAnnouncement;
import org.woadloom.store.RolloutRecord;
import org.woadloom.store.RolloutRecord.Standing;
import org.woadloom.store.RolloutRecord.Step;
import org.woadloom.store.RolloutRequest.Verb;

/**
 * Decides the next step of a feature from what is known: no clock, no state of its own. A step that
 * is taken by it is written on condition that neither the record nor any member's word has changed
 * since.
 */
public final class RolloutPolicy {
    private RolloutPolicy() {}

    /**
     * What a decision rests on.
     *
     * @param members all nodes that any live node's settings name, and all that were heard lately
     * @param words what live processes say
     * @param wordless nodes that were heard lately and say nothing: they run a version from before
     *     words
     * @param agreed what versions 2 and 3 have agreed on
     * @param soaked enough time has passed without trouble
     * @param troubled a node keeps ending
     * @param left how many records are not yet of the form they are moved to
     * @param confirmed the store was counted, and no such record was found
     */
    public record Situation(
            RolloutRecord record,
            Set<String> members,
            Map<String, NodeAnnouncement> words,
            Set<String> wordless,
            long agreed,
            Verb asked,
            boolean soaked,
            boolean troubled,
            int left,
            boolean confirmed) {

        Set<String> without(String feature, boolean acting) {
            Set<String> lacking = new TreeSet<>();
            for (String member : members) {
                NodeAnnouncement word = words.get(member);
                if (word == null
                        || wordless.contains(member)
                        || !word.reads().contains(feature)
                        || acting && !word.can().contains(feature)) {
                    lacking.add(member);
                }
            }
            return lacking;
        }
    }

    /** What is to be done: a new standing, or null and what it waits for. */
    public record Decision(Standing next, String why) {
        static Decision waits(String why) {
            return new Decision(null, why);
        }
    }

    public static Decision judge(Feature feature, Situation s, long wallMicros) {
        Standing at = s.record.of(feature.key());
        if (!at.on() && feature.agreedVersion() > 0 && s.agreed >= feature.agreedVersion()) {
            return to(Step.ON, false, false, wallMicros, "an earlier version agreed on it");
        }
        boolean held =
                s.asked != Verb.GO
                        && (at.held()
                                || s.troubled
                                        && at.step() == Step.ON
                                        && feature.revocable()
                                        && feature.soaks());
        if (s.asked == Verb.BACK || held) {
            return backwards(feature, s, at, held, wallMicros);
        }
        if (s.asked == Verb.HOLD) {
            return Decision.waits("held by an operator");
        }
        Set<String> lacking = s.without(feature.key(), false);
        return switch (at.step()) {
            case OFF ->
                    lacking.isEmpty()
                            ? to(Step.UNDERSTOOD, false, false, wallMicros, "every node reads it")
                            : Decision.waits("not read by " + lacking);
            case UNDERSTOOD -> switchOn(feature, s, at, lacking, wallMicros);
            case ON -> settle(s, lacking, wallMicros);
            case SETTLED -> Decision.waits("settled");
        };
    }

    private static Decision switchOn(
            Feature feature, Situation s, Standing at, Set<String> lacking, long wallMicros) {
        if (!lacking.isEmpty()) {
            // While it is being taken back records of it may be there, and whoever can't read them
            // must stay out.
            return at.back()
                    ? Decision.waits("not read by " + lacking)
                    : to(Step.OFF, false, false, wallMicros, lacking + " no longer reads it");
        }
        Set<String> unable = s.without(feature.key(), true);
        if (!unable.isEmpty()) {
            return Decision.waits("not for " + unable + " to act upon, by settings or version");
        }
        for (String needed : feature.needs()) {
            if (!s.record.of(needed).on()) {
                return Decision.waits(needed + " is not on");
            }
        }
        if (s.troubled && feature.soaks() && s.asked != Verb.GO) {
            return Decision.waits("nodes keep ending");
        }
        return s.soaked || s.asked == Verb.GO || !feature.soaks()
                ? to(Step.ON, false, false, wallMicros, "every node reads and can do it")
                : Decision.waits("time to pass");
    }

    private static Decision settle(Situation s, Set<String> lacking, long wallMicros) {
        if (!lacking.isEmpty()) {
            return Decision.waits("not read by " + lacking);
        }
        if (s.left > 0) {
            return Decision.waits("records to be rewritten");
        }
        if (!s.soaked && s.asked != Verb.GO) {
            return Decision.waits("time to pass");
        }
        return s.confirmed
                ? to(Step.SETTLED, false, false, wallMicros, "no record of the old form is left")
                : Decision.waits("the store to be counted");
    }

    private static Decision backwards(
            Feature feature, Situation s, Standing at, boolean held, long wallMicros) {
        String why = held ? "nodes keep ending" : "an operator asked";
        return switch (at.step()) {
            case OFF -> Decision.waits(why + ": off");
            case SETTLED -> Decision.waits("settled, can't be taken back");
            case ON -> {
                if (!feature.revocable()) {
                    yield Decision.waits("on, can't be taken back");
                }
                for (Feature other : Feature.values()) {
                    if (other.needs().contains(feature.key())
                            && s.record.of(other.key()).required()) {
                        yield Decision.waits("needed by " + other.key());
                    }
                }
                yield to(Step.UNDERSTOOD, true, held, wallMicros, why);
            }
            case UNDERSTOOD -> {
                if (at.back() && s.left > 0) {
                    yield Decision.waits("records to be rewritten");
                }
                if (at.back() && !s.confirmed) {
                    yield Decision.waits("the store to be counted");
                }
                yield to(Step.OFF, false, held, wallMicros, why);
            }
        };
    }

    private static Decision to(Step step, boolean back, boolean held, long wallMicros, String why) {
        return new Decision(new Standing(step, back, held, wallMicros, why), why);
    }
}
