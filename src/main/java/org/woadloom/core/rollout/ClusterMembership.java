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
    private final Set<String> reads;
    private boolean known;
    private Set<String> lacks = Set.of();

    /** Why the record can't be read, or null. */
    private String unreadable;

    public ClusterMembership(Set<String> reads) {
        this.reads = reads;
    }

    /** The record was read after this process gave its word. */
    public void read() {
        known = true;
    }

    /** The record that stands in the store now has a form that is known here. */
    public void readable() {
        unreadable = null;
    }

    /** The word is gone: others may have gone on without this process. */
    public void lapsed() {
        known = false;
    }

    /** What the record says, as it was read or as a peer tells of it. */
    public void required(Set<String> names) {
        Set<String> missing = new TreeSet<>(names);
        missing.removeAll(reads);
        lacks = missing;
    }

    /** The record is of a form that this program does not know. */
    public void unreadable(String why) {
        unreadable = why;
    }

    public boolean known() {
        return known;
    }

    /**
     * What is required and not known here: as long as there is any, this process must not serve.
     */
    public Set<String> lacks() {
        return unreadable == null ? lacks : Set.of(unreadable);
    }

    public boolean serves() {
        return known && lacks().isEmpty();
    }
}
