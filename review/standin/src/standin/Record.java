package standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Writes what was sent, answered and run, one line each, with the seconds since the start. */
public final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();
    private final List<String> violations = new ArrayList<>();

    public Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    public double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    public synchronized void line(String format, Object... arguments) {
        out.println(String.format("%8.3f ", seconds()) + String.format(format, arguments));
    }

    public synchronized void violation(String rule, String format, Object... arguments) {
        String text = rule + ": " + String.format(format, arguments);
        violations.add(text);
        line("VIOLATION %s", text);
        System.out.println("VIOLATION " + text);
    }

    public synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
