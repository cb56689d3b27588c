package org.woadloom.core;

import java.util.ArrayList;
import java.util.List;

/**
 * One log line: an event and its fields, in the order in which they were added. The line reads
 * {@code event=lease_expired machine=host-000231 zone=a}; a value is quoted if it is empty or
 * contains whitespace, a quote or an equals sign.
 */
public final class LogEntry {
    /** The level at which a line is logged. */
    public enum Level {
        DEBUG,
        INFO
    }

    private final Level level;
    private final LogEvent event;
    private final List<Field> fields = new ArrayList<>();

    private record Field(String key, Object value) {}

    private LogEntry(Level level, LogEvent event) {
        this.level = level;
        this.event = event;
    }

    /** An entry that is visible at the default log level. */
    public static LogEntry info(LogEvent event) {
        return new LogEntry(Level.INFO, event);
    }

    /** An entry for tracing individual tasks. */
    public static LogEntry debug(LogEvent event) {
        return new LogEntry(Level.DEBUG, event);
    }

    /** Adds a field and returns this entry. */
    public LogEntry with(String key, Object value) {
        fields.add(new Field(key, value));
        return this;
    }

    /** Adds a duration, rounded down to whole seconds; the key should end with {@code _s}. */
    public LogEntry withSeconds(String key, long micros) {
        return with(key, micros / 1_000_000);
    }

    public Level level() {
        return level;
    }

    public LogEvent event() {
        return event;
    }

    /** Formats the line as it is written to the log. */
    @Override
    public String toString() {
        StringBuilder line = new StringBuilder("event=").append(event.text());
        for (Field field : fields) {
            line.append(' ')
                    .append(field.key)
                    .append('=')
                    .append(quoteIfNeeded(String.valueOf(field.value)));
        }
        return line.toString();
    }

    private static String quoteIfNeeded(String value) {
        boolean isPlain =
                !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
        return isPlain ? value : '"' + value.replace("\"", "\\\"") + '"';
    }
}
