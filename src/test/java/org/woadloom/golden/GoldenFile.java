package org.woadloom.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Forms that must not change, as lines of a name and a text in a file under {@code
 * src/test/resources/golden}. The files were made by the code as it was before its classes and
 * fields were renamed; {@code -DgoldenRecord=true} writes them anew.
 */
public final class GoldenFile {
    private static final Path DIRECTORY = Path.of("src/test/resources/golden");

    private final Map<String, String> entries = new LinkedHashMap<>();

    /** Adds a form that is fixed byte by byte. */
    public void addBytes(String name, byte[] bytes) {
        addText(name, HexFormat.of().formatHex(bytes));
    }

    /** Adds a value of which the order of keys says nothing. */
    public void addValue(String name, Object value) {
        addText(name, CanonicalJson.of(value));
    }

    /** Adds a text of one line, or of several. */
    public void addText(String name, String text) {
        String previous = entries.put(name, text.replace("\n", "\\n"));
        if (previous != null) {
            throw new IllegalArgumentException(name + " stands twice");
        }
    }

    /** Fails where a form is not as in the file, is missing there, or is only there. */
    public void check(String file) {
        Path path = DIRECTORY.resolve(file);
        StringBuilder content = new StringBuilder();
        entries.forEach(
                (name, text) -> content.append(name).append(" = ").append(text).append('\n'));
        try {
            if (Boolean.getBoolean("goldenRecord")) {
                Files.createDirectories(DIRECTORY);
                Files.writeString(path, content);
            } else {
                assertEquals(Files.readString(path), content.toString(), "forms of " + file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The bytes that a file holds under a name: what was written by the code that made it. */
    public static byte[] readBytes(String file, String name) throws IOException {
        List<String> lines = Files.readAllLines(DIRECTORY.resolve(file), StandardCharsets.UTF_8);
        for (String line : lines) {
            if (line.startsWith(name + " = ")) {
                return HexFormat.of().parseHex(line.substring(name.length() + 3));
            }
        }
        throw new IllegalArgumentException(file + " has no " + name);
    }
}
