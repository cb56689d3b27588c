package org.woadloom.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;

/**
 * Ignores the failures of test cases that are listed in KNOWN-RED.txt, and writes to a log which of
 * them still fail. Enabled only by {@code -DknownRed=LIST}, the path of the list, so that a listed
 * case still fails when it is run by hand.
 */
public final class KnownRedExtension implements InvocationInterceptor {
    private static final String LIST_PROPERTY = "knownRed";

    /** CI compares this log with the list: an entry missing in the log matches no test case. */
    private static final Path LOG = Path.of("target/known-red.log");

    private final List<KnownRedEntry> entries = readEntries();

    private static List<KnownRedEntry> readEntries() {
        String listPath = System.getProperty(LIST_PROPERTY, "");
        if (listPath.isEmpty()) {
            return List.of();
        }
        try {
            return Files.readAllLines(Path.of(listPath)).stream()
                    .map(KnownRedEntry::parse)
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void interceptTestMethod(
            Invocation<Void> invocation,
            ReflectiveInvocationContext<Method> invocationContext,
            ExtensionContext extensionContext)
            throws Throwable {
        intercept(invocation, invocationContext);
    }

    @Override
    public void interceptTestTemplateMethod(
            Invocation<Void> invocation,
            ReflectiveInvocationContext<Method> invocationContext,
            ExtensionContext extensionContext)
            throws Throwable {
        intercept(invocation, invocationContext);
    }

    private void intercept(Invocation<Void> invocation, ReflectiveInvocationContext<Method> context)
            throws Throwable {
        String testClass = context.getTargetClass().getSimpleName();
        String method = context.getExecutable().getName();
        String arguments = KnownRedEntry.format(context.getArguments());
        List<KnownRedEntry> listed =
                entries.stream()
                        .filter(entry -> entry.matches(testClass, method, arguments))
                        .toList();
        if (listed.isEmpty()) {
            invocation.proceed();
            return;
        }
        new KnownRedCase(listed, KnownRedExtension::log)
                .run(invocation::proceed, () -> invokeDirectly(context));
    }

    private static void invokeDirectly(ReflectiveInvocationContext<Method> context)
            throws Throwable {
        Method method = context.getExecutable();
        method.setAccessible(true);
        try {
            method.invoke(context.getTarget().orElseThrow(), context.getArguments().toArray());
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }

    private static void log(String line) {
        System.out.println(line);
        try {
            Files.writeString(
                    LOG,
                    line + System.lineSeparator(),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
