package org.woadloom.core.rollout;

import java.util.Set;
import java.util.TreeSet;

/**
 * Decides whether this process may serve, from the features that the stored rollout record requires
 * and those that this release can read. The process must not accept user requests or lead a term
 * before it has announced itself and then read the rollout record. This order ensures that a leader
 * that enables a feature meanwhile either sees the announcement, or its change is seen here.
 */
public final class ClusterMembership {
    private final Set<String> supported;
    private boolean isRecordRead;
    private Set<String> missingFeatures = Set.of();

    /** Why the rollout record can't be read, or null if it can. */
    private String unreadableReason;

    /**
     * @param supported the keys of the features that this release can read
     */
    public ClusterMembership(Set<String> supported) {
        this.supported = supported;
    }

    /** The rollout record was read after this process announced itself. */
    public void onRecordRead() {
        isRecordRead = true;
    }

    /** The stored rollout record has a format that this release knows. */
    public void onRecordReadable() {
        unreadableReason = null;
    }

    /**
     * The announcement expired, so other nodes may have enabled features without regard to this
     * process.
     */
    public void onAnnouncementLost() {
        isRecordRead = false;
    }

    /**
     * Sets the features that the rollout record requires, as read from the store or reported by a
     * peer.
     */
    public void setRequiredFeatures(Set<String> names) {
        Set<String> missing = new TreeSet<>(names);
        missing.removeAll(supported);
        missingFeatures = missing;
    }

    /** The stored rollout record has a format that this release does not know. */
    public void onRecordUnreadable(String reason) {
        unreadableReason = reason;
    }

    /** True if the rollout record was read since this process announced itself. */
    public boolean isRecordRead() {
        return isRecordRead;
    }

    /**
     * The features that the rollout record requires and this release does not support; if the
     * rollout record can't be read, the reason for that instead. The process must not serve unless
     * this set is empty.
     */
    public Set<String> missingFeatures() {
        return unreadableReason == null ? missingFeatures : Set.of(unreadableReason);
    }

    /** True if this process may accept user requests and lead a term. */
    public boolean mayServe() {
        return isRecordRead && missingFeatures().isEmpty();
    }
}
