package org.woadloom.sim;

import java.util.List;

/**
 * What kind of day is played.
 *
 * @param configuredTimes what the nodes are told of the real times; a shorter lease, or more time
 *     for cancelled tasks, breaks the service on purpose
 * @param initialVersion what the nodes run at first; where it is an earlier version they are
 *     replaced one by one, after that the state service's limits fall and users submit pipelines
 * @param extraTeams how many more teams there are, of which the first floods the service
 * @param zoneCount two, of which one has two nodes, or three with a node in each
 * @param teamsAtQuota whether the teams' limits are so low that all teams are at them throughout
 */
record Scenario(
        Times actualTimes,
        Times configuredTimes,
        Version initialVersion,
        Flaw flaw,
        int extraTeams,
        int zoneCount,
        boolean teamsAtQuota) {
    static final Times SHORT_TIMES = new Times(10_000_000, 30_000_000);

    /** A worker that finds two nodes out of reach has some of its lease left. */
    static final Times LONG_TIMES = new Times(20_000_000, 50_000_000);

    static final Scenario DEFAULT =
            new Scenario(SHORT_TIMES, SHORT_TIMES, Version.CURRENT, Flaw.NONE, 0);
    static final Scenario UPGRADE =
            new Scenario(SHORT_TIMES, SHORT_TIMES, Version.VERSION_1, Flaw.NONE, 0);
    static final Scenario MANY_TEAMS =
            new Scenario(SHORT_TIMES, SHORT_TIMES, Version.CURRENT, Flaw.NONE, 14);
    static final Scenario TEAMS_AT_QUOTA =
            new Scenario(SHORT_TIMES, SHORT_TIMES, Version.CURRENT, Flaw.NONE, 0, 2, true);

    Scenario(Times real, Times told, Version from, Flaw flaw, int crowd) {
        this(real, told, from, flaw, crowd, 2, false);
    }

    /** A worker's lease, and how long a cancelled task may stay. */
    record Times(long leaseMicros, long cancelMicros) {}

    /** How the service is broken on purpose. */
    enum Flaw {
        NONE,
        /** The new version believes that every node runs it. */
        ASSUMES_UPGRADE_COMPLETE,
        /** Nodes read no job's {@code awaits}. */
        IGNORES_DEPENDENCIES,
        /** Nodes promise not to take care of workers, and do. */
        BREAKS_NO_RENEWAL_PROMISE,
        /** Copies of reports look newer than what was heard since. */
        DELAYED_HEARTBEATS_LOOK_NEW,
        /** Reports of workers that hear nothing say that they have heard. */
        UNREACHED_AGENTS_REPORT_SENT_TOKENS,
        /** Nodes vouch for cancellations without naming any. */
        CONFIRMS_UNNAMED_CANCELLATIONS,
        /** No node ever gets an answer for one job. */
        ONE_JOB_NEVER_READ,
        /** Nodes give a submission's missing fields the usual values. */
        DEFAULTS_MISSING_FIELDS,
        /** Nodes find no record of a job now and then, as if it had not been accepted yet. */
        MISSES_JOB_RECORDS,
        /**
         * Nodes that read what has changed are told now and then what was so when they read it
         * last.
         */
        STALE_WATCH_EVENTS,
        /** No machine ever takes a task of one job. */
        ONE_JOB_NEVER_STARTED,
        /** Nodes change what is stored whatever is there. */
        UNCONDITIONAL_WRITES
    }

    List<String> zoneNames() {
        return zoneCount == 3 ? List.of("a", "b", "c") : List.of("a", "b");
    }

    String zoneOf(int node) {
        return zoneNames().get(node % zoneCount);
    }

    boolean isUpgrade() {
        return initialVersion != Version.CURRENT;
    }

    /** The same with nodes that begin as another version. */
    Scenario from(Version version) {
        return new Scenario(
                actualTimes, configuredTimes, version, flaw, extraTeams, zoneCount, teamsAtQuota);
    }

    Scenario with(Flaw newFlaw) {
        return new Scenario(
                actualTimes,
                configuredTimes,
                initialVersion,
                newFlaw,
                extraTeams,
                zoneCount,
                teamsAtQuota);
    }

    Scenario inThreeZones() {
        return new Scenario(
                actualTimes, configuredTimes, initialVersion, flaw, extraTeams, 3, teamsAtQuota);
    }
}
