package org.woadloom.knownred;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** Runs one test case that has entries in KNOWN-RED.txt, and ignores the listed failures only. */
final class KnownRedCase {
    static final String FAILURE_IGNORED = "known failure, ignored: ";
    static final String UNEXPECTED_PASS = "listed in KNOWN-RED.txt but passes, remove the entry: ";

    private final List<KnownRedEntry> entries;
    private final Consumer<String> report;

    /** The body of a test. */
    interface TestBody {
        void run() throws Throwable;
    }

    /**
     * @param report receives one line for each entry: whether it still fails or passes now
     */
    KnownRedCase(List<KnownRedEntry> entries, Consumer<String> report) {
        this.entries = entries;
        this.report = report;
    }

    /**
     * Runs the case without the listed seeds, then once with each listed seed alone.
     *
     * @param invocation the invocation of the case by JUnit; can be run only once
     * @param rerun invokes the case directly; can be run any number of times
     * @throws Throwable a failure that is not listed
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
