package org.woadloom.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Options of a soak run.
 *
 * @param endedJobs number of jobs that are in the store with their final states from the start and
 *     are polled throughout
 * @param faultSeconds the length of the phase in which faults are injected
 * @param program the command that starts a controller; the settings file is appended to it
 */
record SoakOptions(
        List<Long> seeds,
        int agents,
        int endedJobs,
        int faultSeconds,
        Set<FaultKind> faults,
        List<String> program) {
    private static final int DEFAULT_AGENTS = 24;
    private static final int MAX_AGENTS = 500;
    private static final int DEFAULT_ENDED_JOBS = 1_000;
    private static final int MAX_ENDED_JOBS = 20_000;
    private static final int DEFAULT_FAULT_SECONDS = 40;
    private static final int MAX_FAULT_SECONDS = 3_600;
    private static final String DEPLOY_FILE = "deploy/service.toml";
    private static final String PACKAGE = "target/woadloom.jar";

    /** Invalid command-line arguments; the message is one line. */
    static final class UsageException extends Exception {
        private static final long serialVersionUID = 1;

        UsageException(String message) {
            super(message);
        }
    }

    /**
     * @param root the root of the repository, in which the package was built
     */
    static SoakOptions parse(Path root, String... arguments) throws UsageException {
        List<Long> seeds = List.of();
        int agents = DEFAULT_AGENTS;
        int endedJobs = DEFAULT_ENDED_JOBS;
        int faultSeconds = DEFAULT_FAULT_SECONDS;
        Set<FaultKind> faults = EnumSet.allOf(FaultKind.class);
        for (int i = 0; i < arguments.length; i += 2) {
            if (i + 1 == arguments.length) {
                throw new UsageException(arguments[i] + " needs a value");
            }
            String value = arguments[i + 1];
            switch (arguments[i]) {
                case "--seeds" -> seeds = parseSeeds(value);
                case "--agents" -> agents = parseNumber("--agents", value, MAX_AGENTS);
                case "--ended-jobs" ->
                        endedJobs = parseNumber("--ended-jobs", value, MAX_ENDED_JOBS);
                case "--fault-seconds" ->
                        faultSeconds = parseNumber("--fault-seconds", value, MAX_FAULT_SECONDS);
                case "--faults" -> faults = parseFaults(value);
                default -> throw new UsageException("unknown option " + arguments[i]);
            }
        }
        if (seeds.isEmpty()) {
            throw new UsageException("missing option --seeds FIRST-LAST");
        }
        return new SoakOptions(
                seeds, agents, endedJobs, faultSeconds, faults, packagedProgram(root));
    }

    private static List<Long> parseSeeds(String text) throws UsageException {
        String[] bounds = text.split("-", -1);
        int first = parseNumber("--seeds", bounds[0], Integer.MAX_VALUE);
        int last =
                bounds.length == 1 ? first : parseNumber("--seeds", bounds[1], Integer.MAX_VALUE);
        if (bounds.length > 2 || last < first) {
            throw new UsageException(
                    "--seeds: expected FIRST-LAST with FIRST <= LAST but got " + text);
        }
        List<Long> seeds = new ArrayList<>();
        for (long seed = first; seed <= last; seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    private static int parseNumber(String option, String text, int max) throws UsageException {
        try {
            int number = Integer.parseInt(text);
            if (number >= 1 && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new UsageException(
                option + ": expected a number from 1 to " + max + " but got " + text);
    }

    private static Set<FaultKind> parseFaults(String text) throws UsageException {
        Set<FaultKind> faults = EnumSet.noneOf(FaultKind.class);
        for (String name : text.split(",", -1)) {
            try {
                faults.add(FaultKind.valueOf(name.toUpperCase(Locale.ROOT)));
            } catch (IllegalArgumentException e) {
                throw new UsageException("--faults: unknown fault " + name);
            }
        }
        return faults;
    }

    /** The start command of the deployed service. */
    private static List<String> packagedProgram(Path root) throws UsageException {
        if (!Files.exists(root.resolve(PACKAGE))) {
            throw new UsageException("no package at " + PACKAGE + ": build it first");
        }
        try {
            for (String line : Files.readAllLines(root.resolve(DEPLOY_FILE))) {
                if (line.startsWith("run = ")) {
                    String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                    return List.of(run.split(" "));
                }
            }
        } catch (IOException e) {
            throw new UsageException("cannot read " + DEPLOY_FILE + ": " + e.getMessage());
        }
        throw new UsageException(DEPLOY_FILE + " has no line that starts with 'run = '");
    }
}
