package org.woadloom.sim;

import java.util.OptionalLong;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.BeforeTestExecutionCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Prints the command that reproduces a failed scenario test. The seed is that of the last {@link
 * ClusterSimulation} that the test created, which is the one that failed.
 */
final class PrintReplayCommand implements BeforeTestExecutionCallback, AfterTestExecutionCallback {
    private static final ThreadLocal<OptionalLong> LAST_SEED =
            ThreadLocal.withInitial(OptionalLong::empty);

    /** Called when a simulation with this seed is created. */
    static void onSimulation(long seed) {
        LAST_SEED.set(OptionalLong.of(seed));
    }

    @Override
    public void beforeTestExecution(ExtensionContext context) {
        LAST_SEED.remove();
    }

    @Override
    public void afterTestExecution(ExtensionContext context) {
        if (context.getExecutionException().isPresent() && LAST_SEED.get().isPresent()) {
            System.err.println(
                    "Replay with: "
                            + command(
                                    context.getRequiredTestClass().getSimpleName(),
                                    context.getRequiredTestMethod().getName(),
                                    LAST_SEED.get().getAsLong()));
        }
    }

    static String command(String testClass, String method, long seed) {
        return "mvn test -Dtest='"
                + testClass
                + "#"
                + method
                + "' -D"
                + Seeds.SEED_PROPERTY
                + "="
                + seed;
    }
}
