package org.woadloom.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A command of the command line, with its options and its exit codes. */
interface Subcommand {
    /** Not an exit code: the process continues to run on other threads. */
    int SERVING = -1;

    int SUCCESS = 0;
    int FAILED = 1;
    int USAGE_ERROR = 2;

    /** Also the exit code of the Java runtime when memory runs out, as started in deployment. */
    int THREAD_DIED = 3;

    /** Returns the words that select this command, such as {@code job submit}. */
    String name();

    /** Returns the argument after the options, for the usage line; empty if there is none. */
    String arguments();

    String description();

    Options options();

    /** Returns true if the command is left out of the help because only the build uses it. */
    default boolean hidden() {
        return false;
    }

    /** Runs the command and returns an exit code or {@link #SERVING}. */
    int run(CommandLine line) throws Exception;
}
