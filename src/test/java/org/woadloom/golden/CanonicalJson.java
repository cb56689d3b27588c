package org.woadloom.golden;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Wire values as JSON text of which there is only one for each value: keys sorted, no spaces, whole
 * numbers without a fraction whatever their Java type. Independent of the code that it checks.
 */
public final class CanonicalJson {
    private CanonicalJson() {}

    /** The text of a map with text keys, a list, text, a number, a boolean or null. */
    public static String of(Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    /** Appends the text of the value. */
    public static void write(StringBuilder out, Object value) {
        if (value == null
                || value instanceof Boolean
                || value instanceof Integer
                || value instanceof Long
                || value instanceof Double) {
            out.append(value);
        } else if (value instanceof String text) {
            writeText(out, text);
        } else if (value instanceof List<?> list) {
            writeList(out, list);
        } else if (value instanceof Map<?, ?> map) {
            writeMap(out, map);
        } else {
            throw new IllegalArgumentException("no wire value: " + value.getClass());
        }
    }

    private static void writeList(StringBuilder out, List<?> list) {
        String separator = "[";
        for (Object item : list) {
            out.append(separator);
            write(out, item);
            separator = ",";
        }
        out.append(list.isEmpty() ? "[]" : "]");
    }

    private static void writeMap(StringBuilder out, Map<?, ?> map) {
        String separator = "{";
        for (Map.Entry<?, ?> entry : new TreeMap<>(map).entrySet()) {
            out.append(separator);
            writeText(out, (String) entry.getKey());
            out.append(':');
            write(out, entry.getValue());
            separator = ",";
        }
        out.append(map.isEmpty() ? "{}" : "}");
    }

    private static void writeText(StringBuilder out, String text) {
        out.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ' || c > '~') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }
}
