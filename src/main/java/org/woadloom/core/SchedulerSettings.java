package org.woadloom.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.settings.Objective;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.Team;

/**
 * The settings of the deployment that the scheduler rests on.
 *
 * @param nodeName the name of this node
 * @param zoneByNode the zone of each node, this one's among them
 * @param heartbeatIntervalMicros how often an agent sends a heartbeat
 * @param leaseDurationMicros how long an agent may go without an answer before it kills its tasks
 * @param cancellationTimeoutMicros within what time the tasks of a cancelled job must have stopped
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

    /** Copies the zones, so that nobody changes them. */
    public SchedulerSettings {
        zoneByNode = Map.copyOf(zoneByNode);
    }

    /** Picks out of the settings files what the scheduler needs. */
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
