package org.woadloom.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.woadloom.node.Server;

/** Runs a controller node. */
final class ServeCommand implements Subcommand {
    @Override
    public String name() {
        return "serve";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String description() {
        return "Runs a controller node until the process is killed.";
    }

    @Override
    public Options options() {
        return SettingsOptions.options();
    }

    @Override
    public int run(CommandLine line) throws Exception {
        Server.start(
                SettingsOptions.readServiceSettings(line),
                SettingsOptions.readOperatorSettings(line));
        return SERVING;
    }
}
