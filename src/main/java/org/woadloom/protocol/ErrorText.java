package org.woadloom.protocol;

/** Formats received values for error messages. */
public final class ErrorText {
    private static final int MAX_LENGTH = 60;

    private ErrorText() {}

    /** Quotes a text, bounded in length; characters outside printable ASCII become {@code ?}. */
    public static String quoted(String text) {
        return '"' + printable(text) + '"';
    }

    /** Bounds a text in length; characters outside printable ASCII become {@code ?}. */
    public static String printable(String text) {
        boolean cut = text.length() > MAX_LENGTH;
        String start = cut ? text.substring(0, MAX_LENGTH) : text;
        return start.replaceAll("[^ -~]", "?") + (cut ? "..." : "");
    }
}
