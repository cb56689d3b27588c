package org.woadloom.cli;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.woadloom.core.delegation.DelegationTimeouts;
import org.woadloom.core.placement.RecordSizeEstimate;
import org.woadloom.net.SocketBudget;
import org.woadloom.node.FleetSizeEstimate;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.SettingsException;
import org.woadloom.settings.SettingsValidator;

/** Validates the settings files and prints the limits that follow from them. */
final class CheckCommand implements Subcommand {
    @Override
    public String name() {
        return "check";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String description() {
        return "Validates the settings files and prints the limits that follow from them.";
    }

    @Override
    public Options options() {
        return SettingsOptions.options();
    }

    @Override
    public int run(CommandLine line) throws SettingsException {
        ServiceSettings service = SettingsOptions.readServiceSettings(line);
        OperatorSettings operator = SettingsOptions.readOperatorSettings(line);
        System.out.printf(
                "node %s in zone %s, listening on %s, and on %s for its %d peers%n",
                service.label(),
                service.zone(),
                service.bind(),
                service.peerBind(),
                service.peers().size());
        System.out.printf(
                "%d teams, zones %s, state service at %s, cloud at %s%n",
                service.teams().size(),
                String.join(", ", service.zones()),
                service.storeAddress(),
                service.cloudAddress());
        SocketBudget sockets = SocketBudget.of(service);
        System.out.printf(
                "%d sockets (fd_limit): %d for workers and users, of which workers take %d before"
                    + " further ones are redirected to another node;%n  %d for commands to workers,"
                    + " %d for idle connections, %d for the state service, %d for the cloud, %d for"
                    + " other nodes, %d for refused connections, %d for the process%n",
                service.resources().fdLimit(),
                sockets.inbound(),
                sockets.maxAgents(),
                sockets.directCommands(),
                sockets.idleConnections(),
                sockets.store(),
                sockets.cloud(),
                sockets.peers(),
                sockets.refusedConnections(),
                sockets.processOverhead());
        System.out.printf(
                "at most %d tasks of a job are placed at a time if each runs on a different machine"
                        + " (limited by value_kb)%n",
                RecordSizeEstimate.maxTasksOnDistinctMachines(service.store().minValueBytes()));
        FleetSizeEstimate fleet = FleetSizeEstimate.of(service);
        System.out.printf(
                "supports about %d machines: fd_limit allows %d, cpu_share and report_s allow %d%n",
                fleet.maxAgents(), fleet.maxAgentsBySockets(), fleet.maxAgentsByCpu());
        ServiceSettings.Store limits = service.store();
        if (limits.next() != null) {
            System.out.printf(
                    "the limits of the state service may change from %d bytes per value, %d changes"
                            + " per transaction and %.0f changes per second to %d, %d and %.0f%n",
                    limits.valueBytes(),
                    limits.txnOps(),
                    limits.writeRps(),
                    limits.next().valueBytes(),
                    limits.next().txnOps(),
                    limits.next().writeRps());
        }
        DelegationTimeouts delegation =
                DelegationTimeouts.of(
                        service.agents().leaseMicros(), service.agents().cancelMicros());
        if (delegation.allowsDelegation()) {
            System.out.printf(
                    "in a zone that is cut off, leases are renewed for up to %.1f s and expire"
                            + " after that%n",
                    delegation.validityMicros() / 1e6);
        } else {
            System.out.println(
                    "in a zone that is cut off, leases expire: cancel_s is too short for renewing"
                            + " them there");
        }
        System.out.print(operator.describe());
        List<String> problems = SettingsValidator.problems(service);
        problems.forEach(problem -> System.err.println("invalid settings: " + problem));
        return problems.isEmpty() ? SUCCESS : USAGE_ERROR;
    }
}
