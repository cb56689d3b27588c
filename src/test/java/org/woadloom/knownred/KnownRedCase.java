package org.woadloom.knownred;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** One test case for which KNOWN-RED.txt has entries: all but what they list is run as ever. */
final class KnownRedCase {
    static final String FAILURE_IGNORED = "known to be red, passed over: ";
    static final String UNEXPECTED_PASS = "known to be red, but passes now, take it off: ";

    private final List<KnownRedEntry> entries;
    private final Consumer<String> report;

    /** The body of a test. */
    interface TestBody {
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
     * @param invocation the case as JUnit would run it; it may be run once only
     * @param rerun the same, any number of times
     * @throws Throwable what the case fails with where it is not listed
     */
    void run(TestBody invocation, TestBody rerun) throws Throwable {
        Set<Long> listedSeeds =
                entries.stream()
                        .flatMap(entry -> entry.seed().stream().boxed())
                        .collect(Collectors.toSet());
        boolean isWholeCaseListed = entries.stream().anyMatch(entry -> entry.seed().isEmpty());
        try {
            KnownRedSeeds.exclude(listedSeeds);
            invocation.run();
        } catch (Throwable failure) {
            if (!isWholeCaseListed) {
                throw failure;
            }
            entries.forEach(entry -> report.accept(FAILURE_IGNORED + entry.line()));
            return;
        } finally {
            KnownRedSeeds.runAll();
        }
        entries.forEach(entry -> checkEntry(entry, rerun));
    }

    private void checkEntry(KnownRedEntry entry, TestBody rerun) {
        try {
            if (entry.seed().isPresent()) {
                KnownRedSeeds.runOnly(entry.seed().getAsLong());
                rerun.run();
            }
            report.accept(UNEXPECTED_PASS + entry.line());
        } catch (Throwable failure) {
            report.accept(FAILURE_IGNORED + entry.line());
        } finally {
            KnownRedSeeds.runAll();
        }
    }
}
