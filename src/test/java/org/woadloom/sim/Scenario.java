package org.woadloom.sim;

import java.util.List;

/**
 * What kind of day is played.
 *
 * @param told what the nodes are told of the real times; a shorter lease, or more time for
 *     cancelled tasks, breaks the service on purpose
 * @param from what the nodes run at first; where it is an earlier version they are replaced one by
 *     one, after that the state service's limits fall and users submit pipelines
 * @param crowd how many more teams there are, of which the first floods the service
 * @param zones two, of which one has two nodes, or three with a node in each
 * @param tight whether the teams' limits are so low that all teams are at them throughout
 */
record Scenario(
        Times real, Times told, Version from, Flaw flaw, int crowd, int zones, boolean tight) {
    static final Times SHORT = new Times(10_000_000, 30_000_000);

    /** A worker that finds two nodes out of reach has some of its lease left. */
    static final Times LONG = new Times(20_000_000, 50_000_000);

    static final Scenario PLAIN = new Scenario(SHORT, SHORT, Version.NOW, Flaw.NONE, 0);
    static final Scenario UPGRADE = new Scenario(SHORT, SHORT, Version.PRODUCTION, Flaw.NONE, 0);
    static final Scenario CROWD = new Scenario(SHORT, SHORT, Version.NOW, Flaw.NONE, 14);
    static final Scenario TIGHT = new Scenario(SHORT, SHORT, Version.NOW, Flaw.NONE, 0, 2, true);

    Scenario(Times real, Times told, Version from, Flaw flaw, int crowd) {
        this(real, told, from, flaw, crowd, 2, false);
    }

    /** A worker's lease, and how long a cancelled task may stay. */
    record Times(long leaseMicros, long cancelMicros) {}

    /** How the service is broken on purpose. */
    enum Flaw {
        NONE,
        /** The new version believes that every node runs it. */
        AGREED_TOO_EARLY,
        /** Nodes read no job's {@code awaits}. */
        FORGETS_AWAITS,
        /** Nodes promise not to take care of workers, and do. */
        PROMISES_TOO_MUCH,
        /** Copies of reports look newer than what was heard since. */
        COPIES_LOOK_NEW,
        /** Reports of workers that hear nothing say that they have heard. */
        DEAF_SEEM_TO_HEAR,
        /** Nodes vouch for cancellations without naming any. */
        VOUCHES_FOR_ANYTHING,
        /** No node ever gets an answer for one job. */
        ONE_JOB_REFUSED,
        /** Nodes give a submission's missing fields the usual values. */
        FILLS_IN_WHAT_IS_MISSING,
        /** Nodes find no record of a job now and then, as if it had not been accepted yet. */
        UNSEEN_RECORDS,
        /**
         * Nodes that read what has changed are told now and then what was so when they read it
         * last.
         */
        OLD_CHANGES,
        /** No machine ever takes a task of one job. */
        ONE_JOB_NOT_TAKEN,
        /** Nodes change what is stored whatever is there. */
        NO_CONDITIONS
    }

    List<String> zoneNames() {
        return zones == 3 ? List.of("a", "b", "c") : List.of("a", "b");
    }

    String zoneOf(int node) {
        return zoneNames().get(node % zones);
    }

    boolean upgrade() {
        return from != Version.NOW;
    }

    /** The same with nodes that begin as another version. */
    Scenario from(Version version) {
        return new Scenario(real, told, version, flaw, crowd, zones, tight);
    }

    Scenario with(Flaw broken) {
        return new Scenario(real, told, from, broken, crowd, zones, tight);
    }

    Scenario inThreeZones() {
        return new Scenario(real, told, from, flaw, crowd, 3, tight);
    }
}
