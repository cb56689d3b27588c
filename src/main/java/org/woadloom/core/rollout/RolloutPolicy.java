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
 * Decides the next step of a feature. It is a pure function of its inputs, without a clock or
 * state. A step is written on condition that neither the rollout record nor any node's announcement
 * has changed since the decision.
 */
public final class RolloutPolicy {
    private RolloutPolicy() {}

    /**
     * What a decision is based on.
     *
     * @param members all nodes that any live node's settings name, and all that sent a message
     *     recently
     * @param announcements the announcements of live processes, by node
     * @param unannounced nodes that sent a message recently without an announcement, because they
     *     run a release that does not know announcements
     * @param agreedVersion the version that nodes of releases 2 and 3 have agreed on
     * @param requested what an operator has requested
     * @param soaked whether enough time has passed without problems
     * @param crashLooping whether a node is in a crash loop
     * @param recordsToRewrite how many records are not yet known to be in the target format
     * @param rewriteVerified whether a count of the stored records has found none that has to be
     *     rewritten
     */
    public record Inputs(
            RolloutRecord record,
            Set<String> members,
            Map<String, NodeAnnouncement> announcements,
            Set<String> unannounced,
            long agreedVersion,
            Verb requested,
            boolean soaked,
            boolean crashLooping,
            int recordsToRewrite,
            boolean rewriteVerified) {

        /**
         * Returns the members that can't read the feature or, if {@code mustBeUsable}, can't use
         * it.
         */
        Set<String> membersWithout(String feature, boolean mustBeUsable) {
            Set<String> lacking = new TreeSet<>();
            for (String member : members) {
                NodeAnnouncement announcement = announcements.get(member);
                if (announcement == null
                        || unannounced.contains(member)
                        || !announcement.supportedFeatures().contains(feature)
                        || (mustBeUsable && !announcement.usableFeatures().contains(feature))) {
                    lacking.add(member);
                }
            }
            return lacking;
        }
    }

    /**
     * A decision.
     *
     * @param next the feature's new standing, or null if it stays as it is
     * @param reason why it moves, or what it waits for
     */
    public record Decision(FeatureState next, String reason) {
        static Decision waiting(String reason) {
            return new Decision(null, reason);
        }
    }

    /** Decides whether the feature moves to another step, and to which. */
    public static Decision decide(Feature feature, Inputs inputs, long wallMicros) {
        FeatureState current = inputs.record.stateOf(feature.key());
        if (!current.isOn()
                && feature.agreedVersion() > 0
                && inputs.agreedVersion >= feature.agreedVersion()) {
            return moveTo(
                    Step.ON,
                    false,
                    false,
                    wallMicros,
                    "nodes of an earlier release have agreed on it");
        }
        boolean held =
                inputs.requested != Verb.GO
                        && (current.isHeld()
                                || (inputs.crashLooping
                                        && current.step() == Step.ON
                                        && feature.canBeRolledBack()
                                        && feature.requiresSoak()));
        if (inputs.requested == Verb.BACK || held) {
            return rollBack(feature, inputs, current, held, wallMicros);
        }
        if (inputs.requested == Verb.HOLD) {
            return Decision.waiting("held by an operator");
        }
        Set<String> lacking = inputs.membersWithout(feature.key(), false);
        return switch (current.step()) {
            case OFF ->
                    lacking.isEmpty()
                            ? moveTo(
                                    Step.UNDERSTOOD,
                                    false,
                                    false,
                                    wallMicros,
                                    "every node can read it")
                            : Decision.waiting("can't be read by " + lacking);
            case UNDERSTOOD -> switchOn(feature, inputs, current, lacking, wallMicros);
            case ON -> settle(inputs, lacking, wallMicros);
            case SETTLED -> Decision.waiting("settled");
        };
    }

    private static Decision switchOn(
            Feature feature,
            Inputs inputs,
            FeatureState current,
            Set<String> lacking,
            long wallMicros) {
        if (!lacking.isEmpty()) {
            // While the feature is being rolled back there may be records in its format, so nodes
            // that can't read them must not serve.
            return current.isRollingBack()
                    ? Decision.waiting("can't be read by " + lacking)
                    : moveTo(
                            Step.OFF,
                            false,
                            false,
                            wallMicros,
                            "can no longer be read by " + lacking);
        }
        Set<String> unable = inputs.membersWithout(feature.key(), true);
        if (!unable.isEmpty()) {
            return Decision.waiting(
                    "can't be used by " + unable + ", because of settings or release");
        }
        for (String needed : feature.prerequisites()) {
            if (!inputs.record.stateOf(needed).isOn()) {
                return Decision.waiting("requires " + needed + ", which is not on");
            }
        }
        if (inputs.crashLooping && feature.requiresSoak() && inputs.requested != Verb.GO) {
            return Decision.waiting("a node is in a crash loop");
        }
        return inputs.soaked || inputs.requested == Verb.GO || !feature.requiresSoak()
                ? moveTo(Step.ON, false, false, wallMicros, "every node can read and use it")
                : Decision.waiting("soak time");
    }

    private static Decision settle(Inputs inputs, Set<String> lacking, long wallMicros) {
        if (!lacking.isEmpty()) {
            return Decision.waiting("can't be read by " + lacking);
        }
        if (inputs.recordsToRewrite > 0) {
            return Decision.waiting("records have to be rewritten");
        }
        if (!inputs.soaked && inputs.requested != Verb.GO) {
            return Decision.waiting("soak time");
        }
        return inputs.rewriteVerified
                ? moveTo(
                        Step.SETTLED,
                        false,
                        false,
                        wallMicros,
                        "no record in the old format is left")
                : Decision.waiting("records have to be counted");
    }

    private static Decision rollBack(
            Feature feature, Inputs inputs, FeatureState current, boolean held, long wallMicros) {
        String reason =
                held ? "held, because a node was in a crash loop" : "requested by an operator";
        return switch (current.step()) {
            case OFF -> Decision.waiting(reason + "; already off");
            case SETTLED -> Decision.waiting("settled, can't be rolled back");
            case ON -> {
                if (!feature.canBeRolledBack()) {
                    yield Decision.waiting("on, can't be rolled back");
                }
                for (Feature other : Feature.values()) {
                    if (other.prerequisites().contains(feature.key())
                            && inputs.record.stateOf(other.key()).isRequired()) {
                        yield Decision.waiting("required by " + other.key());
                    }
                }
                yield moveTo(Step.UNDERSTOOD, true, held, wallMicros, reason);
            }
            case UNDERSTOOD -> {
                if (current.isRollingBack() && inputs.recordsToRewrite > 0) {
                    yield Decision.waiting("records have to be rewritten");
                }
                if (current.isRollingBack() && !inputs.rewriteVerified) {
                    yield Decision.waiting("records have to be counted");
                }
                yield moveTo(Step.OFF, false, held, wallMicros, reason);
            }
        };
    }

    private static Decision moveTo(
            Step step, boolean back, boolean held, long wallMicros, String reason) {
        return new Decision(new FeatureState(step, back, held, wallMicros, reason), reason);
    }
}
