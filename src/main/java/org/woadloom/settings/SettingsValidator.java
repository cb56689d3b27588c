package org.woadloom.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Settings that can be read and can't work together. Each problem names the fields and their
 * values.
 */
public final class SettingsValidator {
    private SettingsValidator() {}

    public static List<String> problems(ServiceSettings settings) {
        List<String> problems = new ArrayList<>();
        ServiceSettings.Agents agents = settings.agents();
        if (agents.leaseMicros() < 2 * agents.heartbeatMicros()) {
            problems.add(
                    String.format(
                            "deployment.workers.lease_s = %s: shorter than two reports (report_s ="
                                    + " %s), so one lost answer ends it",
                            seconds(agents.leaseMicros()), seconds(agents.heartbeatMicros())));
        }
        if (agents.cancelMicros() <= agents.leaseMicros()) {
            problems.add(
                    String.format(
                            "deployment.workers.cancel_s = %s: no longer than a lease (lease_s ="
                                    + " %s), which is what ends tasks that can't be reached",
                            seconds(agents.cancelMicros()), seconds(agents.leaseMicros())));
        }
        checkZone(problems, settings, "area", settings.zone());
        Set<String> nodeNames = new HashSet<>(Set.of(settings.label()));
        for (Peer peer : settings.peers()) {
            checkZone(problems, settings, "area of peer " + peer.label(), peer.zone());
            if (!nodeNames.add(peer.label())) {
                problems.add("peers: " + peer.label() + " is named twice, or is this node");
            }
        }
        Set<String> teamNames = new HashSet<>();
        for (Team team : settings.teams()) {
            if (!teamNames.add(team.name())) {
                problems.add("deployment.teams: " + team.name() + " is named twice");
            }
            if (team.cpus() > team.cpusMax() || team.gpus() > team.gpusMax()) {
                problems.add(
                        String.format(
                                "deployment.teams: %s is guaranteed cpus = %s and gpus = %s, more"
                                        + " than cpus_max = %s and gpus_max = %s allow",
                                team.name(),
                                team.cpus(),
                                team.gpus(),
                                team.cpusMax(),
                                team.gpusMax()));
            }
        }
        if (settings.teams().isEmpty()) {
            problems.add("deployment.teams: none, so no job can be accepted");
        }
        return problems;
    }

    /**
     * No machine is rented elsewhere, so a node there has no worker near it and nothing to care
     * for.
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
