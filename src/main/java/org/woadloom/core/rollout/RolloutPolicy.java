package org.woadloom.core.rollout;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.woadloom.store.NodeAnnouncement;
import org.woadloom.store.RolloutRecord;
import org.woadloom.store.RolloutRecord.FeatureState;
import org.woadloom.store.RolloutRecord.Step;
import org.woadloom.store.RolloutRequest.Verb;

/**
 * Decides the next step of a feature from what is known: no clock, no state of its own. A step that
 * is taken by it is written on condition that neither the record nor any member's announcement has
 * changed since.
 */
public final class RolloutPolicy {
    private RolloutPolicy() {}

    /**
     * What a decision rests on.
     *
     * @param members all nodes that any live node's settings name, and all that sent something
     *     lately
     * @param announcements what live processes announce, by node
     * @param unannounced nodes that sent something lately and announce nothing: they run a version
     *     that knows no announcements
     * @param agreed the version that nodes of versions 2 and 3 have agreed on
     * @param requested what an operator asks for
     * @param soaked enough time has passed without trouble
     * @param troubled a node's process keeps ending
     * @param recordsLeft how many records are not yet of the form that they are moved to
     * @param confirmed the store was counted, and no such record was found
     */
    public record Situation(
            RolloutRecord record,
            Set<String> members,
            Map<String, NodeAnnouncement> announcements,
            Set<String> unannounced,
            long agreed,
            Verb requested,
            boolean soaked,
            boolean troubled,
            int recordsLeft,
            boolean confirmed) {

        Set<String> membersWithout(String feature, boolean acting) {
            Set<String> lacking = new TreeSet<>();
            for (String member : members) {
                NodeAnnouncement announcement = announcements.get(member);
                if (announcement == null
                        || unannounced.contains(member)
                        || !announcement.supportedFeatures().contains(feature)
                        || (acting && !announcement.usableFeatures().contains(feature))) {
                    lacking.add(member);
                }
            }
            return lacking;
        }
    }

    /** What is to be done: a new standing, or null and what it waits for. */
    public record Decision(FeatureState next, String reason) {
        static Decision waiting(String why) {
            return new Decision(null, why);
        }
    }

    public static Decision decide(Feature feature, Situation situation, long wallMicros) {
        FeatureState current = situation.record.stateOf(feature.key());
        if (!current.isOn()
                && feature.agreedVersion() > 0
                && situation.agreed >= feature.agreedVersion()) {
            return to(Step.ON, false, false, wallMicros, "an earlier version agreed on it");
        }
        boolean held =
                situation.requested != Verb.GO
                        && (current.isHeld()
                                || (situation.troubled
                                        && current.step() == Step.ON
                                        && feature.canBeRolledBack()
                                        && feature.soaks()));
        if (situation.requested == Verb.BACK || held) {
            return rollBack(feature, situation, current, held, wallMicros);
        }
        if (situation.requested == Verb.HOLD) {
            return Decision.waiting("held by an operator");
        }
        Set<String> lacking = situation.membersWithout(feature.key(), false);
        return switch (current.step()) {
            case OFF ->
                    lacking.isEmpty()
                            ? to(Step.UNDERSTOOD, false, false, wallMicros, "every node reads it")
                            : Decision.waiting("not read by " + lacking);
            case UNDERSTOOD -> switchOn(feature, situation, current, lacking, wallMicros);
            case ON -> settle(situation, lacking, wallMicros);
            case SETTLED -> Decision.waiting("settled");
        };
    }

    private static Decision switchOn(
            Feature feature,
            Situation situation,
            FeatureState current,
            Set<String> lacking,
            long wallMicros) {
        if (!lacking.isEmpty()) {
            // While it is being taken back records of it may be there, and whoever can't read them
            // must stay out.
            return current.isRollingBack()
                    ? Decision.waiting("not read by " + lacking)
                    : to(Step.OFF, false, false, wallMicros, lacking + " no longer reads it");
        }
        Set<String> unable = situation.membersWithout(feature.key(), true);
        if (!unable.isEmpty()) {
            return Decision.waiting("not for " + unable + " to act upon, by settings or version");
        }
        for (String needed : feature.prerequisites()) {
            if (!situation.record.stateOf(needed).isOn()) {
                return Decision.waiting(needed + " is not on");
            }
        }
        if (situation.troubled && feature.soaks() && situation.requested != Verb.GO) {
            return Decision.waiting("nodes keep ending");
        }
        return situation.soaked || situation.requested == Verb.GO || !feature.soaks()
                ? to(Step.ON, false, false, wallMicros, "every node reads and can do it")
                : Decision.waiting("time to pass");
    }

    private static Decision settle(Situation situation, Set<String> lacking, long wallMicros) {
        if (!lacking.isEmpty()) {
            return Decision.waiting("not read by " + lacking);
        }
        if (situation.recordsLeft > 0) {
            return Decision.waiting("records to be rewritten");
        }
        if (!situation.soaked && situation.requested != Verb.GO) {
            return Decision.waiting("time to pass");
        }
        return situation.confirmed
                ? to(Step.SETTLED, false, false, wallMicros, "no record of the old form is left")
                : Decision.waiting("the store to be counted");
    }

    private static Decision rollBack(
            Feature feature,
            Situation situation,
            FeatureState current,
            boolean held,
            long wallMicros) {
        String reason = held ? "nodes keep ending" : "an operator asked";
        return switch (current.step()) {
            case OFF -> Decision.waiting(reason + ": off");
            case SETTLED -> Decision.waiting("settled, can't be taken back");
            case ON -> {
                if (!feature.canBeRolledBack()) {
                    yield Decision.waiting("on, can't be taken back");
                }
                for (Feature other : Feature.values()) {
                    if (other.prerequisites().contains(feature.key())
                            && situation.record.stateOf(other.key()).isRequired()) {
                        yield Decision.waiting("needed by " + other.key());
                    }
                }
                yield to(Step.UNDERSTOOD, true, held, wallMicros, reason);
            }
            case UNDERSTOOD -> {
                if (current.isRollingBack() && situation.recordsLeft > 0) {
                    yield Decision.waiting("records to be rewritten");
                }
                if (current.isRollingBack() && !situation.confirmed) {
                    yield Decision.waiting("the store to be counted");
                }
                yield to(Step.OFF, false, held, wallMicros, reason);
            }
        };
    }

    private static Decision to(
            Step step, boolean back, boolean held, long wallMicros, String reason) {
        return new Decision(new FeatureState(step, back, held, wallMicros, reason), reason);
    }
}
