package org.woadloom.core.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadloom.core.Command;
import org.woadloom.core.Effect;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.World;
import org.woadloom.core.jobs.Job;
import org.woadloom.core.jobs.Placement;
import org.woadloom.core.machines.Machine;
import org.woadloom.core.machines.MachineTable;
import org.woadloom.core.placement.Eligibility;
import org.woadloom.core.placement.Placer;
import org.woadloom.core.placement.Room;
import org.woadloom.core.reservation.Reservations;
import org.woadloom.core.teams.TeamUse;
import org.woadloom.state.MachineRecord;
import org.woadloom.wire.ListedMachine;
import org.woadloom.wire.MachineType;

/** Rents machines for work that finds no room, and returns those that are idle. */
public final class Capacity {
    /** Machines of one claim: the cloud's bound. */
    private static final int MAX_COUNT = 50;
    /** Claims under way; the cloud's rate of calls is below what they would allow, whatever the fleet. */
    private static final int MAX_CLAIMS = 4;
    private static final long REVIEW_MICROS = 500_000;
    private static final long NO_CAPACITY_MICROS = 15_000_000;
    /** The cloud charges a machine for this long at least, so it may as well stay. */
    private static final long LEAST_CHARGE_MICROS = 55_000_000;
    private static final long SCARCE_MICROS = 60_000_000;
    private static final long SILENCE_MARGIN_MICROS = 1_000_000;
    private static final long LIST_MARGIN_MICROS = 1_000_000;
    private static final long REPEAT_MICROS = 1_500_000;
    /** A claim is answered within such a time unless the cloud is down. */
    private static final long ANSWER_MICROS = 3_000_000;
    /** For how long a deaf machine is kept beyond the end of its lease, and where many are deaf at once. */
    private static final long DEAF_MICROS = 10_000_000;
    private static final long MANY_DEAF_MICROS = 60_000_000;
    /** For how much longer silent machines of a dark zone are kept: to replace them costs a minute's charge, a boot and fetches. */
    private static final long DARK_MICROS = 50_000_000;

    private final World world;
    private final Eligibility eligibility;
    private final Placer placer;
    private final MachineTable machines;
    private final Reservations reservations;
    private final Map<String, Claim> claims = new LinkedHashMap<>();
    private final Map<Kind, Long> notBefore = new LinkedHashMap<>();
    private final Map<Kind, Long> refusedMicros = new HashMap<>();
    private final DarkZones zones;
    private long reviewedMicros = Long.MIN_VALUE / 2;
    /** When each machine was last in the list, and when the last list came. */
    private final Map<String, Long> listedMicros = new HashMap<>();
    private long listMicros = Long.MIN_VALUE / 2;

    /** What can be rented. */
    private record Kind(MachineType type, String yard, boolean reclaimable) {
        double price() {
            return reclaimable ? type.marketPrice() : type.rate();
        }
    }

    private static final class Claim {
        final String name;
        final Kind kind;
        final int count;
        final long madeMicros;
        boolean sent;
        long againMicros;

        Claim(String name, Kind kind, int count, long madeMicros) {
            this.name = name;
            this.kind = kind;
            this.count = count;
            this.madeMicros = madeMicros;
        }
    }

    /** Room that will be there, or is, for the rest of this review. */
    private static final class Supply {
        final Kind kind;
        Room free;

        Supply(Kind kind, Room free) {
            this.kind = kind;
            this.free = free;
        }
    }

    public Capacity(World world, Eligibility eligibility, Placer placer, MachineTable machines,
            Reservations reservations) {
        this.world = world;
        this.eligibility = eligibility;
        this.placer = placer;
        this.machines = machines;
        this.reservations = reservations;
        zones = new DarkZones(world, this::unlisted);
    }

    public void review() {
        for (Claim claim : claims.values()) {
            if (!claim.sent && world.nowMicros >= claim.againMicros) {
                claim.sent = true;
                world.emit(new Effect.Rent(claim.name, claim.kind.type.name(), claim.kind.yard, claim.kind.reclaimable,
                        claim.count));
            }
        }
        if (world.nowMicros - reviewedMicros < REVIEW_MICROS || world.types.isEmpty()) {
            return;
        }
        reviewedMicros = world.nowMicros;
        noteScarceYards();
        zones.review();
        if (world.nowMicros - world.startedMicros > 2 * world.settings.reportMicros()) {
            rent(placer.queue());
        }
        giveBack();
    }

    public void listed(List<ListedMachine> machines) {
        listMicros = world.nowMicros;
        machines.forEach(machine -> listedMicros.put(machine.uid(), listMicros));
        listedMicros.keySet().retainAll(world.machines.keySet());
    }

    /**
     * True where the last list lacks a machine that it would show if it were there: lists are up to two lags old, and one
     * that was listed once is listed until it is gone. That is no proof that its tasks are gone; its deletion is. One that was
     * never up may only be new to a list that is slower still.
     */
    private boolean unlisted(Machine machine) {
        long there = Math.max(machine.rentedMicros, world.startedMicros);
        return (machine.heard() || machine.upRecorded)
                && listMicros - listedMicros.getOrDefault(machine.host, there) > 2 * world.settings.listLagMicros() + LIST_MARGIN_MICROS;
    }

    private void rent(List<Job> queue) {
        List<Supply> supply = new ArrayList<>();
        for (Machine machine : world.machines.values()) {
            // A machine that boots, or whose worker has not yet acknowledged this leader, or will most likely hear again.
            if (!machine.leaving && !machine.deleted && machine.type != null && machine.takenMicros < 0
                    && machine.confirmed() && !zones.dark(machine.yard) && comes(machine)) {
                supply.add(new Supply(new Kind(machine.type, machine.yard, machine.reclaimable), machine.free()));
            }
        }
        for (Claim claim : claims.values()) {
            for (int i = 0; i < claim.count; i++) {
                supply.add(new Supply(claim.kind, Room.of(claim.kind.type)));
            }
        }
        Map<Kind, Integer> wanted = new LinkedHashMap<>();
        // What machines are sought for here counts against the team's limit, or each of its jobs would ask for all that is left.
        Map<TeamUse, Room> planned = new HashMap<>();
        for (Job job : queue) {
            Room plannedBefore = planned.getOrDefault(job.team, Room.NONE);
            int tasks = Math.min(job.pending() - reservations.coming(job), job.allowed(Room.NONE.minus(plannedBefore)));
            if (tasks <= 0) {
                continue;
            }
            planned.put(job.team, plannedBefore.plus(job.room.times(tasks)));
            Map<String, Integer> spread = new LinkedHashMap<>();
            for (Supply s : supply) {
                if (tasks <= 0) {
                    break;
                }
                if (s.free.holds(job.room) && usable(job, s.kind)) {
                    int fits = Math.min(Math.min(tasks, s.free.count(job.room)), yardLeft(job, s.kind.yard, spread));
                    s.free = s.free.minus(job.room.times(fits));
                    spread.merge(s.kind.yard, fits, Integer::sum);
                    tasks -= fits;
                }
            }
            while (tasks > 0) {
                Kind kind = cheapest(job, tasks, spread);
                if (kind == null) {
                    break;
                }
                Room room = Room.of(kind.type);
                wanted.merge(kind, 1, Integer::sum);
                int fits = Math.min(Math.min(tasks, room.count(job.room)), yardLeft(job, kind.yard, spread));
                supply.add(new Supply(kind, room.minus(job.room.times(fits))));
                spread.merge(kind.yard, fits, Integer::sum);
                tasks -= fits;
            }
        }
        for (Map.Entry<Kind, Integer> entry : wanted.entrySet()) {
            if (claims.size() >= MAX_CLAIMS) {
                break;
            }
            if (claimed(entry.getKey()) != null) {
                // Its answer tells whether there are more of these; to ask again before would waste one of few calls.
                continue;
            }
            Claim claim = new Claim(world.newClaim(), entry.getKey(), Math.min(MAX_COUNT, entry.getValue()), world.nowMicros);
            claims.put(claim.name, claim);
            claim.sent = true;
            world.log(LogEntry.info(LogEvent.SCALE_OUT_REQUESTED).with("request", claim.name).with("count", claim.count)
                    .with("type", claim.kind.type.name()).with("zone", claim.kind.yard).with("spot", claim.kind.reclaimable));
            world.emit(new Effect.Rent(claim.name, claim.kind.type.name(), claim.kind.yard, claim.kind.reclaimable,
                    claim.count));
        }
    }

    private boolean comes(Machine machine) {
        if (!machine.heard() && (machine.upRecorded && silence(machine) > world.care.leaseOverMicros() || unlisted(machine))) {
            // It was up under an earlier leader, and its worker would have found this one by now.
            return false;
        }
        if (!machine.heard() || !machine.recorded || !machine.acknowledged()) {
            return !outOfHearing(machine, 0);
        }
        return machine.hearing.inDoubt(world.nowMicros) && machine.hearing.reports(world.nowMicros) && !outOfHearing(machine, 0);
    }

    private Claim claimed(Kind kind) {
        for (Claim claim : claims.values()) {
            if (claim.kind.equals(kind)) {
                return claim;
            }
        }
        return null;
    }

    /** What the cloud refused lately, or does not answer for: it is not to be waited for. */
    private boolean closed(Kind kind) {
        Claim claim = claimed(kind);
        return notBefore.getOrDefault(kind, Long.MIN_VALUE) > world.nowMicros || zones.dark(kind.yard)
                || claim != null && world.nowMicros - claim.madeMicros > ANSWER_MICROS;
    }

    /** A zone is scarce where every ordinary kind was refused lately: what is there is for work that has no choice. */
    private void noteScarceYards() {
        world.scarceYards.clear();
        Set<String> open = new HashSet<>();
        for (MachineType type : world.types.values()) {
            for (String yard : type.yards()) {
                Long refused = refusedMicros.get(new Kind(type, yard, false));
                if (refused != null && world.nowMicros - refused < SCARCE_MICROS) {
                    world.scarceYards.add(yard);
                } else {
                    open.add(yard);
                }
            }
        }
        world.scarceYards.removeAll(open);
        if (open.isEmpty()) {
            // Where every zone is scarce there is no elsewhere.
            world.scarceYards.clear();
        }
    }

    private void refused(Kind kind) {
        notBefore.put(kind, world.nowMicros + NO_CAPACITY_MICROS);
        refusedMicros.put(kind, world.nowMicros);
    }

    private boolean usable(Job job, Kind kind) {
        return eligibility.allows(job.description, kind.type, kind.yard, kind.reclaimable)
                && eligibility.allowsYard(job, kind.yard);
    }

    /** How many more tasks of the job may go to the zone, with what this review has given it there. */
    private static int yardLeft(Job job, String yard, Map<String, Integer> spread) {
        if (!job.description.apart()) {
            return Integer.MAX_VALUE;
        }
        return (job.description.shards() + 1) / 2 - job.placedIn(yard) - spread.getOrDefault(yard, 0);
    }

    /** The kind with the lowest price for this many tasks. */
    private Kind cheapest(Job job, int tasks, Map<String, Integer> spread) {
        Kind best = null;
        double bestPrice = 0;
        for (MachineType type : world.types.values()) {
            for (String yard : type.yards()) {
                for (boolean reclaimable : new boolean[] {true, false}) {
                    Kind kind = new Kind(type, yard, reclaimable);
                    int fits = Math.min(Room.of(type).count(job.room), yardLeft(job, yard, spread));
                    if (fits < 1 || !usable(job, kind) || closed(kind)) {
                        continue;
                    }
                    double price = kind.price() / Math.min(fits, tasks);
                    if (best == null || price < bestPrice) {
                        best = kind;
                        bestPrice = price;
                    }
                }
            }
        }
        return best;
    }

    public void rented(Command.Rented result) {
        Claim claim = claims.get(result.claim());
        if (claim == null) {
            return;
        }
        switch (result.outcome()) {
            case RENTED -> {
                claims.remove(claim.name);
                for (String host : result.hosts()) {
                    Machine machine = machines.adopt(new MachineRecord(host, claim.kind.type.name(), claim.kind.yard,
                            claim.kind.reclaimable, false));
                    machine.rentedMicros = world.nowMicros;
                }
                if (result.hosts().size() < claim.count) {
                    refused(claim.kind);
                }
                world.log(LogEntry.info(LogEvent.SCALE_OUT_COMPLETED).with("request", claim.name)
                        .with("machines", String.join(",", result.hosts())));
            }
            case NO_CAPACITY -> {
                claims.remove(claim.name);
                refused(claim.kind);
                world.log(LogEntry.info(LogEvent.SCALE_OUT_REFUSED).with("request", claim.name));
            }
            case REFUSED, UNKNOWN -> {
                // The same claim again: it may have been granted, and then gives the same answer.
                claim.sent = false;
                claim.againMicros = world.nowMicros + REPEAT_MICROS;
            }
        }
    }

    private void giveBack() {
        Room free = Room.NONE;
        Room used = Room.NONE;
        for (Machine machine : world.machines.values()) {
            if (eligibility.takesTasks(machine)) {
                free = free.plus(machine.free());
                used = used.plus(machine.used());
            }
        }
        // A small fleet must hold a job that is large for it, a large one the ups and downs of many.
        // Where nothing comes and nothing waits no room is kept; a gang that waits needs its machines all at once.
        boolean quiet = world.arrivals.quiet(world.nowMicros) && world.pipelines.waiting() == 0 && placer.queue().isEmpty();
        long headroom = quiet ? 0 : Math.max((long) (used.cpu() * world.settings.operator().headroom()), world.arrivals.large());
        List<Machine> idle = new ArrayList<>();
        for (Machine machine : world.machines.values()) {
            if (machine.leaving || machine.deleted || !machine.confirmed() || reservations.holdsAny(machine)) {
                continue;
            }
            if (unlisted(machine) && zones.saysNothing(machine) > 3 * world.settings.reportMicros() + SILENCE_MARGIN_MICROS) {
                machine.leave();
                machine.abandoned = true;
                logDecommissioned(machine, "silent and no longer listed");
            } else if (silentWithWork(machine)) {
                machine.leave();
                machine.abandoned = true;
                logDecommissioned(machine, "silent with tasks on it");
            } else if (outOfHearing(machine, DEAF_MICROS) && (outOfHearing(machine, MANY_DEAF_MICROS) || !manyDeafIn(machine.yard))) {
                machine.leave();
                machine.abandoned = true;
                logDecommissioned(machine, "unreachable");
            } else if (neverCame(machine) || lost(machine) || machine.takenMicros >= 0 && machine.empty()) {
                machine.leave();
                logDecommissioned(machine, "never came up, lost, or taken by the cloud");
            } else if (machine.heard() && machine.empty() && eligibility.takesTasks(machine)) {
                idle.add(machine);
            }
        }
        // The dearest first: what is kept should be cheap.
        idle.sort(Comparator.comparingDouble((Machine machine) -> -machine.pricePerCpu()));
        for (Machine machine : idle) {
            long left = free.minus(machine.size()).cpu();
            if (left > headroom && world.nowMicros - machine.idleSinceMicros > patience(machine, left, headroom)
                    && world.nowMicros - machine.rentedMicros > LEAST_CHARGE_MICROS) {
                machine.leave();
                free = free.minus(machine.size());
                logDecommissioned(machine, "idle");
            }
        }
    }

    private void logDecommissioned(Machine machine, String reason) {
        world.log(LogEntry.info(LogEvent.MACHINE_DECOMMISSIONED).with("machine", machine.host).with("zone", machine.yard)
                .with("reason", reason));
    }

    /**
     * How long a machine may be idle. To rent it again costs the time it boots, so it is kept idle for no longer than
     * that, and for less where much more is free than is kept free on purpose.
     */
    private long patience(Machine machine, long left, long headroom) {
        long most = Math.min(world.settings.operator().idleReturnMicros(), machine.type.readyMicros());
        return left > 2 * headroom ? most / 4 : most;
    }

    /**
     * Work on a silent machine is most likely lost. Deleting it proves that it is gone long before its lease would, and it
     * can start elsewhere. Where much of a zone is silent at once, the fault is elsewhere, and the machines are left alone.
     */
    private boolean silentWithWork(Machine machine) {
        // One that answers commands without reporting is asked again half a lease after it was last asked.
        boolean answers = machine.hearing.aliveMicros() - machine.hearing.reportedMicros() > world.hearingRules.freshMicros();
        long enough = Math.max(3 * world.settings.reportMicros(), answers ? world.settings.leaseMicros() / 2 + ANSWER_MICROS : 0)
                + SILENCE_MARGIN_MICROS;
        if (!machine.up() || zones.saysNothing(machine) < enough || !hasWork(machine)) {
            return false;
        }
        int all = 0;
        int silent = 0;
        for (Machine other : world.machines.values()) {
            if (other.yard.equals(machine.yard) && other.up() && !other.deleted) {
                all++;
                silent += zones.saysNothing(other) > 2 * world.settings.reportMicros() ? 1 : 0;
            }
        }
        return silent * 3 <= all || silent == 1;
    }

    /** True for a deaf machine once its lease is over, and so much time besides: nothing of what was on it is left. */
    private boolean outOfHearing(Machine machine, long besidesMicros) {
        return machine.hearing.deaf(world.nowMicros)
                && machine.hearing.unheardFor(world.nowMicros) > world.care.leaseOverMicros() + besidesMicros;
    }

    /** Where a third of a zone is deaf, the fault is not the machines', and it may pass. */
    private boolean manyDeafIn(String yard) {
        int all = 0;
        int deaf = 0;
        for (Machine machine : world.machines.values()) {
            if (machine.yard.equals(yard) && machine.heard() && !machine.deleted) {
                all++;
                deaf += machine.hearing.deaf(world.nowMicros) ? 1 : 0;
            }
        }
        return deaf > 1 && deaf * 3 > all;
    }

    private long silence(Machine machine) {
        return world.nowMicros - Math.max(machine.hearing.aliveMicros(), world.startedMicros);
    }

    private static boolean hasWork(Machine machine) {
        for (Placement placement : machine.placements()) {
            if (!placement.halting()) {
                return true;
            }
        }
        return false;
    }

    private boolean neverCame(Machine machine) {
        if (machine.heard() || machine.type == null || !machine.empty()) {
            return false;
        }
        long patience = 4 * machine.type.readyMicros() + 30_000_000;
        if (machine.lifeKnown && !machine.upRecorded) {
            // No leader has heard it since it was rented; this one has waited for a report that may be under way.
            return world.nowMicros - machine.rentedMicros > patience && silence(machine) > 3 * world.settings.reportMicros();
        }
        return world.nowMicros - Math.max(machine.rentedMicros, world.startedMicros) > patience;
    }

    /** A worker that is silent for longer than a lease has lost its tasks; deleting the machine proves it. */
    private boolean lost(Machine machine) {
        // In a zone that is cut off leases may be renewed by a node there, and the machines come back with their work.
        long over = world.care.leaseOverMicros() + world.warrants.patienceMicros(machine.yard, world.nowMicros);
        if (!machine.heard() && !(machine.empty() && machine.upRecorded)) {
            return !machine.empty() && silence(machine) > over + 2_000_000;
        }
        return silence(machine) > over + 20_000_000 + (zones.dark(machine.yard) ? DARK_MICROS : 0);
    }
}
