package org.woadloom.settings;

import com.electronwill.nightconfig.core.Config;
import java.nio.charset.CharacterCodingException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A settings file that cannot be used. The message names the file and the reason. */
public final class SettingsException extends Exception {
    private static final int MAX_VALUE_LENGTH = 40;

    public SettingsException(String message) {
        super(message);
    }

    /** For a file that cannot be read. */
    static SettingsException unreadable(Path file, Exception cause) {
        String reason;
        if (cause instanceof NoSuchFileException) {
            reason = "no such file";
        } else if (cause instanceof AccessDeniedException) {
            reason = "permission denied";
        } else if (cause instanceof CharacterCodingException) {
            reason = "not encoded in UTF-8";
        } else {
            reason = cause.getMessage();
        }
        return new SettingsException(file + ": cannot be read: " + reason);
    }

    /** For a key whose value is missing ({@code null}), of the wrong type or out of range. */
    static SettingsException invalidValue(String file, String key, String expected, Object value) {
        return new SettingsException(
                file + ": " + key + ": expected " + expected + ", " + describe(value));
    }

    private static String describe(Object value) {
        if (value == null) {
            return "but the key is missing";
        }
        if (value instanceof List<?>) {
            return "got a list";
        }
        if (value instanceof String text) {
            return "got \"" + shorten(text) + "\"";
        }
        if (value instanceof Number || value instanceof Boolean) {
            return "got " + shorten(value.toString());
        }
        return value instanceof Map<?, ?> || value instanceof Config
                ? "got a table"
                : "got a value of another type";
    }

    private static String shorten(String text) {
        return text.length() <= MAX_VALUE_LENGTH
                ? text
                : text.substring(0, MAX_VALUE_LENGTH) + "...";
    }
}
