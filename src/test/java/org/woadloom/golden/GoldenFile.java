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
 * Compares serialized data with a file under {@code src/test/resources/golden}, one {@code NAME =
 * TEXT} per line, to detect changes of wire and storage formats. The files were written by the code
 * before its classes and fields were renamed; {@code -DgoldenRecord=true} overwrites them.
 */
public final class GoldenFile {
    private static final Path DIRECTORY = Path.of("src/test/resources/golden");

    private final Map<String, String> entries = new LinkedHashMap<>();

    /** Adds an entry that must not change in any byte. */
    public void addBytes(String name, byte[] bytes) {
        addText(name, HexFormat.of().formatHex(bytes));
    }

    /** Adds a value in which the order of keys is irrelevant. */
    public void addValue(String name, Object value) {
        addText(name, CanonicalJson.of(value));
    }

    /** Adds a text of one or more lines. */
    public void addText(String name, String text) {
        String previous = entries.put(name, text.replace("\n", "\\n"));
        if (previous != null) {
            throw new IllegalArgumentException("duplicate entry " + name);
        }
    }

    /** Fails if an entry differs from the file or exists only on one side. */
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
                assertEquals(Files.readString(path), content.toString(), "content of " + file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the recorded bytes of an entry of the file. */
    public static byte[] readBytes(String file, String name) throws IOException {
        List<String> lines = Files.readAllLines(DIRECTORY.resolve(file), StandardCharsets.UTF_8);
        for (String line : lines) {
            if (line.startsWith(name + " = ")) {
                return HexFormat.of().parseHex(line.substring(name.length() + 3));
            }
        }
        throw new IllegalArgumentException(file + " has no entry " + name);
    }
}
