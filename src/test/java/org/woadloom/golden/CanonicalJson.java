package org.woadloom.golden;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Writes wire values as canonical JSON: sorted keys, no white space, integers without a fraction
 * whatever their Java type. Shares no code with the serializers that it is used to check.
 */
public final class CanonicalJson {
    private CanonicalJson() {}

    /** Returns the JSON of a map with string keys, a list, string, number, boolean or null. */
    public static String of(Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    /** Appends the JSON of the value. */
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
            throw new IllegalArgumentException(
                    "expected a map, list, string, number, boolean or null, got "
                            + value.getClass());
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
