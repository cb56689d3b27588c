package org.woadloom.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadloom.core.care.CareRules;
import org.woadloom.core.care.Warrants;
import org.woadloom.core.hearing.HearingRules;
import org.woadloom.core.jobs.Arrivals;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.Pipelines;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.served.Served;
import org.woadloom.core.teams.TeamUse;
import org.woadloom.settings.Team;
import org.woadloom.state.RecordFormat;
import org.woadloom.wire.MachineType;

/** Everything one term of leadership knows, and the effects of the step that is under way. */
public final class World {
    public final CoreSettings settings;
    public final long term;
    public final long startedMicros;
    public final Map<String, Job> jobs = new LinkedHashMap<>();
    public final Map<String, Machine> machines = new LinkedHashMap<>();

    /**
     * Machines to which there may be something to send: the others are passed over in every step.
     */
    public final Set<Machine> attentive = new LinkedHashSet<>();

    /** Machines whose record is not as it should be, or that are to go. */
    public final Set<Machine> unsettled = new LinkedHashSet<>();

    /** Jobs whose record does not say everything. */
    public final Set<Job> unrecorded = new LinkedHashSet<>();

    public final Map<String, TeamUse> teams = new LinkedHashMap<>();
    public final Arrivals arrivals = new Arrivals();
    public final Pipelines pipelines = new Pipelines(this);
    public final Served served;

    /**
     * The largest value that the state service takes, and the format of the records that must fit.
     */
    public int valueBytes;

    public final HearingRules hearingRules;

    /**
     * No machine of this term that is forgotten was ever given a token with this fence or a higher
     * one.
     */
    public long leastFence;

    public final CareRules care;
    public final Warrants warrants;

    /** Every cancellation that was made before this moment has been seen. */
    public long cancellationsSeenMicros = Long.MIN_VALUE;

    public final WriteBudget writes = new WriteBudget();
    public RecordFormat format;

    /** Whether records of machines tell of their lives, and since when it is so. */
    public boolean machineLife;

    public long machineLifeSinceMicros;
    public final Map<String, MachineType> types = new LinkedHashMap<>();

    /** Zones in which no machine of the ordinary kinds was to be had lately. */
    public final Set<String> scarceYards = new HashSet<>();

    public long nowMicros;
    public long wallMicros;

    /** How many jobs have come, or begun after those before them. */
    public long jobsCome;

    /** Set when something changed that may let a task be placed. */
    public boolean placementWorthTrying = true;

    private List<Effect> effects = new ArrayList<>();
    private long attempts;
    private long sends;
    private long claims;

    World(
            CoreSettings settings,
            int valueBytes,
            RecordFormat format,
            long term,
            long nowMicros,
            long wallMicros) {
        this.valueBytes = valueBytes;
        this.format = format;
        this.settings = settings;
        this.term = term;
        this.startedMicros = nowMicros;
        this.nowMicros = nowMicros;
        this.wallMicros = wallMicros;
        hearingRules = HearingRules.of(settings.reportMicros(), settings.leaseMicros());
        care = CareRules.of(settings.leaseMicros(), settings.cancelMicros());
        warrants = new Warrants(care, term, settings.label(), settings.nodes());
        served = new Served(this);
        for (Team team : settings.teams()) {
            teams.put(team.name(), new TeamUse(team));
        }
    }

    void machineLife(boolean told, long now) {
        if (told != machineLife) {
            machineLife = told;
            machineLifeSinceMicros = now;
        }
    }

    public void emit(Effect effect) {
        effects.add(effect);
    }

    public void log(LogEntry entry) {
        effects.add(new Effect.Note(entry));
    }

    List<Effect> takeEffects() {
        List<Effect> taken = effects;
        effects = new ArrayList<>();
        return taken;
    }

    /** An attempt number that no leader has used or will use: the term is taken once only. */
    public long newAttempt() {
        return (term << 32) + ++attempts;
    }

    public long newSend() {
        return ++sends;
    }

    /** A rental request's name, which must never be used again by any node. */
    public String newClaim() {
        return "r-" + term + "-" + ++claims;
    }
}
