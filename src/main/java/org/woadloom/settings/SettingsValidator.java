package org.woadloom.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Finds settings that are valid on their own but contradict each other. */
public final class SettingsValidator {
    private SettingsValidator() {}

    /** Returns one message for each problem, naming the settings and their values. */
    public static List<String> problems(ServiceSettings settings) {
        List<String> problems = new ArrayList<>();
        ServiceSettings.Agents agents = settings.agents();
        if (agents.leaseMicros() < 2 * agents.heartbeatMicros()) {
            problems.add(
                    String.format(
                            "deployment.workers.lease_s = %s: shorter than two reports (report_s ="
                                    + " %s), so a single lost answer expires it",
                            seconds(agents.leaseMicros()), seconds(agents.heartbeatMicros())));
        }
        if (agents.cancelMicros() <= agents.leaseMicros()) {
            problems.add(
                    String.format(
                            "deployment.workers.cancel_s = %s: no longer than a lease (lease_s ="
                                + " %s), but tasks on unreachable machines run until their lease"
                                + " expires",
                            seconds(agents.cancelMicros()), seconds(agents.leaseMicros())));
        }
        checkZone(problems, settings, "area", settings.zone());
        Set<String> nodeNames = new HashSet<>(Set.of(settings.label()));
        for (Peer peer : settings.peers()) {
            checkZone(problems, settings, "area of peer " + peer.label(), peer.zone());
            if (!nodeNames.add(peer.label())) {
                problems.add("peers: " + peer.label() + " occurs twice or is this node");
            }
        }
        Set<String> teamNames = new HashSet<>();
        for (Team team : settings.teams()) {
            if (!teamNames.add(team.name())) {
                problems.add("deployment.teams: " + team.name() + " occurs twice");
            }
            if (team.cpus() > team.cpusMax() || team.gpus() > team.gpusMax()) {
                problems.add(
                        String.format(
                                "deployment.teams: %s: the guarantee (cpus = %s, gpus = %s) exceeds"
                                        + " the limit (cpus_max = %s, gpus_max = %s)",
                                team.name(),
                                team.cpus(),
                                team.gpus(),
                                team.cpusMax(),
                                team.gpusMax()));
            }
        }
        if (settings.teams().isEmpty()) {
            problems.add(
                    "deployment.teams: expected at least one team, as each job belongs to one");
        }
        return problems;
    }

    /**
     * Checks that the zone of a node is one in which machines are rented: elsewhere the node would
     * have no agents in its zone whose leases it could renew during a partition.
     */
    private static void checkZone(
            List<String> problems, ServiceSettings settings, String field, String value) {
        if (!settings.zones().contains(value)) {
            problems.add(
                    field + " = " + value + ": not one of deployment.zones " + settings.zones());
        }
    }

    private static String seconds(long micros) {
        return Double.toString(micros / 1e6);
    }
}
