package org.woadloom.knownred;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** One test case for which KNOWN-RED.txt has entries: all but what they list is run as ever. */
final class KnownRedCase {
    static final String PASSED_OVER = "known to be red, passed over: ";
    static final String PASSES = "known to be red, but passes now, take it off: ";

    private final List<KnownRedEntry> entries;
    private final Consumer<String> report;

    /** The body of a test. */
    interface Body {
        void run() throws Throwable;
    }

    /**
     * @param report is told of each entry whether it is still red
     */
    KnownRedCase(List<KnownRedEntry> entries, Consumer<String> report) {
        this.entries = entries;
        this.report = report;
    }

    /**
     * Runs the case without the seeds that are listed, and then each of those alone.
     *
     * @param usual the case as JUnit would run it; it may be run once only
     * @param again the same, any number of times
     * @throws Throwable what the case fails with where it is not listed
     */
    void run(Body usual, Body again) throws Throwable {
        Set<Long> seeds =
                entries.stream()
                        .flatMap(entry -> entry.seed().stream().boxed())
                        .collect(Collectors.toSet());
        boolean isWholeCaseListed = entries.stream().anyMatch(entry -> entry.seed().isEmpty());
        try {
            KnownRedSeeds.leaveOut(seeds);
            usual.run();
        } catch (Throwable failure) {
            if (!isWholeCaseListed) {
                throw failure;
            }
            entries.forEach(entry -> report.accept(PASSED_OVER + entry.line()));
            return;
        } finally {
            KnownRedSeeds.playAll();
        }
        entries.forEach(entry -> checkAlone(entry, again));
    }

    private void checkAlone(KnownRedEntry entry, Body again) {
        try {
            if (entry.seed().isPresent()) {
                KnownRedSeeds.playOnly(entry.seed().getAsLong());
                again.run();
            }
            report.accept(PASSES + entry.line());
        } catch (Throwable failure) {
            report.accept(PASSED_OVER + entry.line());
        } finally {
            KnownRedSeeds.playAll();
        }
    }
}
