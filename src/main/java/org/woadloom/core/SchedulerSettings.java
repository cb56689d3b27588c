package org.woadloom.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.settings.Objective;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.Team;

/**
 * What the core is told of the deployment.
 *
 * @param label this node
 * @param nodes all nodes with their zones
 */
public record SchedulerSettings(
        String label,
        Map<String, String> nodes,
        List<Team> teams,
        List<Objective> objectives,
        long heartbeatMicros,
        long leaseMicros,
        long cancelMicros,
        long listLagMicros,
        OperatorSettings operator) {

    public SchedulerSettings {
        nodes = Map.copyOf(nodes);
    }

    public static SchedulerSettings of(ServiceSettings settings, OperatorSettings operator) {
        Map<String, String> nodes = new LinkedHashMap<>();
        nodes.put(settings.label(), settings.zone());
        settings.peers().forEach(peer -> nodes.put(peer.label(), peer.zone()));
        return new SchedulerSettings(
                settings.label(),
                nodes,
                settings.teams(),
                settings.objectives(),
                settings.agents().heartbeatMicros(),
                settings.agents().leaseMicros(),
                settings.agents().cancelMicros(),
                settings.cloud().listLagMicros(),
                operator);
    }
}
