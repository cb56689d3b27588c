package org.woadloom.core.machines;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.woadloom.core.LogEntry;
import org.woadloom.core.LogEvent;
import org.woadloom.core.World;
import org.woadloom.core.hearing.Hearing;
import org.woadloom.core.jobs.Placement;

/**
 * Looks after workers that are out of touch. One that is deaf (it reports, and nothing reaches it) or in doubt gets no more
 * launches: what was meant for it goes elsewhere. One that is silent is spoken to directly, a few at a time: an answer tells
 * that it lives, and one that reports to a controller that has lost everybody else learns of the present token that way,
 * which that controller then can't help hearing of.
 */
public final class Contact {
    /** As many at a time in any fleet, and one more for each so many machines, within the sockets for direct commands. */
    private static final int MIN_PROBES = 16;
    private static final int MACHINES_PER_PROBE = 64;

    private final World world;
    private final Losses losses;
    private final Set<String> deaf = new HashSet<>();
    private final Set<Machine> probed = new HashSet<>();

    public Contact(World world, Losses losses) {
        this.world = world;
        this.losses = losses;
    }

    public void review() {
        probed.removeIf(machine -> machine.sendInFlight == 0 && !machine.greetingDue() || machine.deleted);
        List<Machine> silent = new ArrayList<>();
        for (Machine machine : world.machines.values()) {
            if (machine.deleted) {
                deaf.remove(machine.host);
                continue;
            }
            if (machine.hearing.inDoubt(world.nowMicros) && !machine.empty()) {
                takeBack(machine);
            }
            tell(machine);
            if (silent(machine)) {
                silent.add(machine);
            }
        }
        probe(silent);
    }

    /** How many machines report that nothing reaches. */
    public int deaf() {
        return deaf.size();
    }

    /** What was never sent can go elsewhere; the worker may come to hear again at any time, and nobody waits for it. */
    private void takeBack(Machine machine) {
        for (Placement placement : machine.snapshot()) {
            if (placement.neverSent()) {
                losses.lost(placement, "the worker does not hear");
            }
        }
    }

    private void tell(Machine machine) {
        Hearing hearing = machine.hearing;
        if (hearing.deaf(world.nowMicros)) {
            if (deaf.add(machine.host)) {
                world.log(LogEntry.info(LogEvent.MACHINE_UNREACHABLE).with("machine", machine.host).with("zone", machine.yard)
                        .withSeconds("unacknowledged_s", hearing.unheardFor(world.nowMicros)));
            }
        } else if (!deaf.isEmpty() && hearing.heardToken() && deaf.remove(machine.host)) {
            world.log(LogEntry.info(LogEvent.MACHINE_REACHABLE).with("machine", machine.host).with("zone", machine.yard));
        }
    }

    /** Out of touch although it was there: by its own word to this leader, or by what earlier ones have recorded. */
    private boolean silent(Machine machine) {
        boolean known = machine.heard() || machine.upRecorded || !machine.empty();
        long since = Math.max(machine.hearing.reportedMicros(), world.startedMicros);
        return known && !machine.leaving && !machine.addr.isEmpty()
                && world.nowMicros - since > world.hearingRules.freshMicros();
    }

    private void probe(List<Machine> silent) {
        int maxProbes = Math.max(MIN_PROBES, world.machines.size() / MACHINES_PER_PROBE);
        if (silent.isEmpty() || probed.size() >= maxProbes) {
            return;
        }
        silent.sort(Comparator.comparingLong((Machine machine) -> machine.probedMicros));
        for (Machine machine : silent) {
            if (probed.size() >= maxProbes || world.nowMicros - machine.probedMicros < world.settings.leaseMicros() / 2) {
                return;
            }
            if (machine.sendInFlight == 0 && machine.directWorks(world.nowMicros)) {
                machine.probedMicros = world.nowMicros;
                machine.hearing.challenge();
                machine.greet();
                probed.add(machine);
            }
        }
    }
}
