package org.woadloom.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One thing that the program can be asked to do. */
interface Subcommand {
    /** Given by a command whose threads go on running. */
    int SERVING = -1;

    int SUCCESS = 0;
    int FAILED = 1;
    int USAGE_ERROR = 2;

    /** The words that select it, such as {@code job submit}. */
    String name();

    /** What follows the options, for the usage line; empty if nothing does. */
    String arguments();

    String description();

    Options options();

    /** True for what only the build uses. */
    default boolean hidden() {
        return false;
    }

    int run(CommandLine line) throws Exception;
}
