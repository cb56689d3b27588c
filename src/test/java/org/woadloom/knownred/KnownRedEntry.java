package org.woadloom.knownred;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * A line of KNOWN-RED.txt: {@code Class#method | arguments | seed | command | what was seen |
 * issue}, with {@code -} for no arguments and for no seed.
 *
 * @param line the unchanged line of the file
 * @param arguments the arguments of the case of a parameterized test, {@value #NONE} for any other
 *     test
 * @param seed the seed that fails; empty if failures of the whole case are ignored
 */
record KnownRedEntry(
        String line, String testClass, String method, String arguments, OptionalLong seed) {
    static final String NONE = "-";
    private static final int FIELDS = 6;

    static KnownRedEntry parse(String line) {
        String[] fields = line.split(" \\| ", -1);
        if (fields.length != FIELDS || Arrays.stream(fields).anyMatch(String::isBlank)) {
            throw new IllegalArgumentException(
                    "expected 'Class#method | arguments | seed | command | what was seen | issue',"
                            + " got: "
                            + line);
        }
        String[] test = fields[0].split("#", -1);
        if (test.length != 2 || !fields[2].matches("-|[0-9]+")) {
            throw new IllegalArgumentException(
                    "expected 'Class#method' as first field and a seed or '-' as third, got: "
                            + line);
        }
        OptionalLong seed =
                fields[2].equals(NONE)
                        ? OptionalLong.empty()
                        : OptionalLong.of(Long.parseLong(fields[2]));
        return new KnownRedEntry(line, test[0], test[1], fields[1], seed);
    }

    /** Formats the arguments of a case as in the file. */
    static String format(Iterable<?> arguments) {
        StringBuilder text = new StringBuilder();
        for (Object argument : arguments) {
            text.append(text.length() == 0 ? "" : ", ").append(argument);
        }
        return text.length() == 0 ? NONE : text.toString();
    }

    boolean matches(String otherClass, String otherMethod, String otherArguments) {
        return testClass.equals(otherClass)
                && method.equals(otherMethod)
                && arguments.equals(otherArguments);
    }
}
