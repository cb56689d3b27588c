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

/** Reads settings and says what they mean. */
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
        return "Checks settings without starting anything, and says what they mean.";
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
                "node %s in %s, listening on %s and, for %d peers, on %s%n",
                service.label(),
                service.zone(),
                service.bind(),
                service.peers().size(),
                service.peerBind());
        System.out.printf(
                "%d teams, zones %s, state service at %s, cloud at %s%n",
                service.teams().size(),
                String.join(", ", service.zones()),
                service.storeAddress(),
                service.cloudAddress());
        SocketBudget sockets = SocketBudget.of(service);
        System.out.printf(
                "of %d sockets (fd_limit) %d are for workers and users, of which workers take %d"
                    + " before others are sent to another node;%n  %d for commands to workers, %d"
                    + " for idle connections, %d for the state service, %d for the cloud, %d for"
                    + " other nodes, %d for refusals, %d for the process%n",
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
                "at most %d tasks of a job are placed at once where each has a machine of its own"
                        + " (value_kb)%n",
                RecordSizeEstimate.maxTasksOnDistinctMachines(service.store().minValueBytes()));
        FleetSizeEstimate fleet = FleetSizeEstimate.of(service);
        System.out.printf(
                "carries about %d machines: %d by fd_limit, %d by cpu_share and report_s%n",
                fleet.maxAgents(), fleet.maxAgentsBySockets(), fleet.maxAgentsByCpu());
        ServiceSettings.Store limits = service.store();
        if (limits.next() != null) {
            System.out.printf(
                    "the state service may fall from values of %d bytes, %d changes a transaction"
                            + " and %.0f a second to %d, %d and %.0f%n",
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
                    "in a zone that is cut off work goes on for up to %.1f s, and leases end after"
                            + " that%n",
                    delegation.validityMicros() / 1e6);
        } else {
            System.out.println(
                    "in a zone that is cut off leases end: cancel_s leaves no time to renew them"
                            + " in");
        }
        System.out.print(operator.describe());
        List<String> problems = SettingsValidator.problems(service);
        problems.forEach(problem -> System.err.println("can't work: " + problem));
        return problems.isEmpty() ? SUCCESS : USAGE_ERROR;
    }
}
