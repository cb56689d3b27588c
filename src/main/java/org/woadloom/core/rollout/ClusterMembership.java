package org.woadloom.core.rollout;

import java.util.Set;
import java.util.TreeSet;

/**
 * Whether a process belongs among the others, by what the stored state requires and what this
 * program knows. It begins unknown, and takes no user's request and no term before it has given its
 * word and then read the record, in that order: a leader that switches a feature on meanwhile
 * either sees the word, or is seen.
 */
public final class ClusterMembership {
    private final Set<String> supported;
    private boolean isKnown;
    private Set<String> missingFeatures = Set.of();

    /** Why the record can't be read, or null. */
    private String onRecordUnreadable;

    public ClusterMembership(Set<String> reads) {
        this.supported = reads;
    }

    /** The record was read after this process gave its word. */
    public void onRecordRead() {
        isKnown = true;
    }

    /** The record that stands in the store now has a form that is known here. */
    public void onRecordReadable() {
        onRecordUnreadable = null;
    }

    /** The word is gone: others may have gone on without this process. */
    public void onAnnouncementLost() {
        isKnown = false;
    }

    /** What the record says, as it was read or as a peer tells of it. */
    public void setRequired(Set<String> names) {
        Set<String> missing = new TreeSet<>(names);
        missing.removeAll(supported);
        missingFeatures = missing;
    }

    /** The record is of a form that this program does not know. */
    public void onRecordUnreadable(String why) {
        onRecordUnreadable = why;
    }

    public boolean isKnown() {
        return isKnown;
    }

    /**
     * What is required and not known here: as long as there is any, this process must not serve.
     */
    public Set<String> missingFeatures() {
        return onRecordUnreadable == null ? missingFeatures : Set.of(onRecordUnreadable);
    }

    public boolean mayServe() {
        return isKnown && missingFeatures().isEmpty();
    }
}
