package org.woadloom.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.woadloom.node.CdsTrainingRun;

/** Run by the build, so that the class-data archive holds the classes that serving needs. */
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
        return "Serves a little work on loopback ports and ends; the build records the classes that"
                + " were loaded.";
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
        CdsTrainingRun.run(java.nio.file.Path.of(line.getArgList().get(0)));
        return SUCCESS;
    }
}
