package org.woadloom.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.settings.Objective;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.Team;

/**
 * The settings that the scheduler uses.
 *
 * @param nodeName the name of this node
 * @param zoneByNode the zone of each node, including this one
 * @param heartbeatIntervalMicros how often an agent sends a heartbeat
 * @param leaseDurationMicros how long an agent may go without an answer before it kills its tasks
 * @param cancellationTimeoutMicros how soon the tasks of a cancelled job must have stopped
 * @param machineListLagMicros by how much the cloud's list of machines may be out of date
 */
public record SchedulerSettings(
        String nodeName,
        Map<String, String> zoneByNode,
        List<Team> teams,
        List<Objective> objectives,
        long heartbeatIntervalMicros,
        long leaseDurationMicros,
        long cancellationTimeoutMicros,
        long machineListLagMicros,
        OperatorSettings operator) {

    /** Copies the map, so that later changes to the argument have no effect. */
    public SchedulerSettings {
        zoneByNode = Map.copyOf(zoneByNode);
    }

    /** Extracts what the scheduler needs from the settings files. */
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
