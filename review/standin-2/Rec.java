import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: a line for each event, with the seconds since the case began. */
final class Rec {
    private static PrintWriter out;
    private static long start;

    private Rec() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
        start = System.nanoTime();
    }

    static double now() {
        return (System.nanoTime() - start) / 1e9;
    }

    static synchronized void log(String format, Object... args) {
        String line =
                String.format(Locale.ROOT, "%8.3f ", now())
                        + (args.length == 0 ? format : String.format(Locale.ROOT, format, args));
        out.println(line);
    }

    /** Also printed for whoever runs the script. */
    static void say(String format, Object... args) {
        String line = args.length == 0 ? format : String.format(Locale.ROOT, format, args);
        log("%s", line);
        System.out.println(line);
    }
}
