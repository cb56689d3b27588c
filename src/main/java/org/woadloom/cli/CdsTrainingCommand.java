package org.woadloom.cli;

import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.woadloom.node.CdsTrainingRun;

/**
 * Training run for the class-data sharing archive. Only the build runs it, to record the classes
 * that {@code serve} loads.
 */
final class CdsTrainingCommand implements Subcommand {
    @Override
    public String name() {
        return "rehearse";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String description() {
        return "Runs a node on loopback ports for a moment, so that the build can record the"
                + " classes that it loads.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public boolean hidden() {
        return true;
    }

    @Override
    public int run(CommandLine line) throws Exception {
        CdsTrainingRun.run(Path.of(line.getArgList().get(0)));
        return SUCCESS;
    }
}
