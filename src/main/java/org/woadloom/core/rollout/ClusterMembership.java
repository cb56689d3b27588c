package org.woadloom.core.rollout;

import java.util.Set;
import java.util.TreeSet;

/**
 * Whether this process may serve, by which features the store's records require and which ones this
 * program reads. It takes no user's request and no term before it has announced itself and then
 * read the record of the rollout, in that order: a leader that switches a feature on meanwhile
 * either sees the announcement, or its change is seen here.
 */
public final class ClusterMembership {
    private final Set<String> supported;
    private boolean isRecordRead;
    private Set<String> missingFeatures = Set.of();

    /** Why the record can't be read, or null. */
    private String unreadableReason;

    /**
     * @param supported the keys of the features that this program reads
     */
    public ClusterMembership(Set<String> supported) {
        this.supported = supported;
    }

    /** The record was read after this process announced itself. */
    public void onRecordRead() {
        isRecordRead = true;
    }

    /** The record that stands in the store now has a form that is known here. */
    public void onRecordReadable() {
        unreadableReason = null;
    }

    /** The announcement expired: others may have moved on without this process. */
    public void onAnnouncementLost() {
        isRecordRead = false;
    }

    /** The features that the record requires, as it was read or as a peer reports it. */
    public void setRequiredFeatures(Set<String> names) {
        Set<String> missing = new TreeSet<>(names);
        missing.removeAll(supported);
        missingFeatures = missing;
    }

    /** The record is of a form that this program does not know. */
    public void onRecordUnreadable(String reason) {
        unreadableReason = reason;
    }

    /** Whether the record was read since this process announced itself. */
    public boolean isRecordRead() {
        return isRecordRead;
    }

    /** What is required and not supported here; while there is any, this process must not serve. */
    public Set<String> missingFeatures() {
        return unreadableReason == null ? missingFeatures : Set.of(unreadableReason);
    }

    /** Whether this process may take users' requests and terms. */
    public boolean mayServe() {
        return isRecordRead && missingFeatures().isEmpty();
    }
}
