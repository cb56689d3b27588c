package org.woadloom.cli;

import java.io.PrintWriter;
import java.nio.charset.Charset;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.woadloom.settings.SettingsException;

/** Entry point of the program: selects and runs the command given on the command line. */
public final class Main {
    private static final int HELP_WIDTH = 100;
    private static final List<Subcommand> COMMANDS =
            List.of(
                    new ServeCommand(),
                    new CheckCommand(),
                    JobCommand.submit(),
                    JobCommand.show(),
                    JobCommand.cancel(),
                    new RolloutCommand(),
                    new CdsTrainingCommand());

    private Main() {}

    public static void main(String[] args) {
        Logging.configure(System.getenv("LOG_LEVEL"));
        Thread.setDefaultUncaughtExceptionHandler(Main::onThreadDied);
        int exitCode = run(args);
        if (exitCode != Subcommand.SERVING) {
            System.exit(exitCode);
        }
    }

    /** A process without its event loop would keep its ports and leases, and serve nobody. */
    private static void onThreadDied(Thread thread, Throwable error) {
        try {
            System.err.println("event=thread_died thread=" + thread.getName() + " error=" + error);
        } finally {
            Runtime.getRuntime().halt(Subcommand.THREAD_DIED);
        }
    }

    static int run(String[] args) {
        try {
            if (args.length == 0) {
                throw new UsageException("no command given");
            }
            if (args[0].equals("--help") || args[0].equals("-h")) {
                printHelp();
                return Subcommand.SUCCESS;
            }
            if (args[0].equals("--version") || args[0].equals("-V")) {
                System.out.println(Version.text());
                return Subcommand.SUCCESS;
            }
            return run(findCommand(args), args);
        } catch (UsageException | ParseException e) {
            System.err.println("woadloom: " + e.getMessage() + " (see woadloom --help)");
            return Subcommand.USAGE_ERROR;
        } catch (SettingsException e) {
            System.err.println("woadloom: " + e.getMessage());
            return Subcommand.USAGE_ERROR;
        } catch (Exception e) {
            System.err.println("woadloom: " + messageOf(e));
            return Subcommand.FAILED;
        }
    }

    /** Returns the message, or the name of the exception's class if it has none. */
    static String messageOf(Exception e) {
        return e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
    }

    private static Subcommand findCommand(String[] args) throws UsageException {
        for (Subcommand command : COMMANDS) {
            String[] words = command.name().split(" ", -1);
            if (args.length >= words.length
                    && Arrays.equals(words, 0, words.length, args, 0, words.length)) {
                return command;
            }
        }
        throw new UsageException(
                args[0].startsWith("-")
                        ? args[0] + ": expected a command before any option"
                        : args[0] + ": unknown command");
    }

    private static int run(Subcommand command, String[] args) throws Exception {
        int wordCount = command.name().split(" ").length;
        String[] commandArgs = Arrays.copyOfRange(args, wordCount, args.length);
        if (Arrays.asList(commandArgs).contains("--help")
                || Arrays.asList(commandArgs).contains("-h")) {
            printHelp(command);
            return Subcommand.SUCCESS;
        }
        CommandLine line = new DefaultParser().parse(command.options(), commandArgs);
        int expectedArgs = command.arguments().isEmpty() ? 0 : 1;
        if (line.getArgList().size() != expectedArgs) {
            throw new UsageException(
                    expectedArgs == 0
                            ? line.getArgList().get(0) + ": unexpected argument"
                            : command.name() + ": expected one argument: " + command.arguments());
        }
        return command.run(line);
    }

    private static void printHelp() {
        System.out.println("usage: woadloom COMMAND [OPTIONS]");
        System.out.println("A cluster scheduler with reservations for gangs and large tasks.");
        System.out.println();
        for (Subcommand command : COMMANDS) {
            if (!command.hidden()) {
                System.out.printf("  %-12s %s%n", command.name(), command.description());
            }
        }
        System.out.println();
        System.out.println("  COMMAND --help   print the options of a command");
        System.out.println("  --version        print the version");
        System.out.println();
        System.out.println("Exit codes: 0 success, 1 failed request, 2 invalid usage or settings,");
        System.out.println("3 a thread of the process died.");
    }

    private static void printHelp(Subcommand command) {
        PrintWriter out = new PrintWriter(System.out, true, Charset.defaultCharset());
        Options options = command.options();
        options.addOption("h", "help", false, "print this help and exit");
        new HelpFormatter()
                .printHelp(
                        out,
                        HELP_WIDTH,
                        "woadloom " + command.name() + " [OPTIONS] " + command.arguments(),
                        command.description(),
                        options,
                        2,
                        3,
                        "");
    }
}
