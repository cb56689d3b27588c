package org.woadloom.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

/** The command that runs soak seeds; its options are described in docs/testing.md. */
public final class SoakCommand {
    private static final int FAILED = 1;
    private static final int USAGE = 2;

    private SoakCommand() {}

    /** Exits with 0 if all seeds passed, 1 if one failed, 2 for invalid arguments. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        System.exit(run(System.out, arguments));
    }

    static int run(PrintStream out, String... arguments) throws IOException, InterruptedException {
        SoakOptions options;
        try {
            options = SoakOptions.parse(Path.of(""), arguments);
        } catch (SoakOptions.UsageException e) {
            out.println("soak: " + e.getMessage());
            return USAGE;
        }
        boolean allPassed = true;
        for (long seed : options.seeds()) {
            allPassed &= runSeed(out, options, seed);
        }
        return allPassed ? 0 : FAILED;
    }

    /**
     * Runs a seed and prints its report; if it failed, also how to reproduce it and its log folder.
     */
    static boolean runSeed(PrintStream out, SoakOptions options, long seed)
            throws IOException, InterruptedException {
        try (SoakRun run = new SoakRun(options, seed)) {
            SoakReport report = run.execute();
            out.println(report);
            if (report.passed()) {
                return true;
            }
            report.violations().forEach(violation -> out.println("  " + violation));
            report.uncheckedRules().forEach(rule -> out.println("  never checked: " + rule));
            out.printf(
                    "  reproduce with: --seeds %d --agents %d --ended-jobs %d --fault-seconds %d;"
                            + " logs in %s%n",
                    seed,
                    options.agents(),
                    options.endedJobs(),
                    options.faultSeconds(),
                    run.directory());
            return false;
        }
    }
}
