package org.woadloom.core;

import java.util.ArrayList;
import java.util.List;

/**
 * One line for the log: an event and the values that belong to it, in the order in which they were
 * added. The line reads {@code event=lease_expired machine=host-000231 zone=a}; values that are not
 * one plain word are quoted.
 */
public final class LogEntry {
    /** How much a line matters. */
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

    /** An entry that operators see by default. */
    public static LogEntry info(LogEvent event) {
        return new LogEntry(Level.INFO, event);
    }

    /** An entry for tracing single tasks. */
    public static LogEntry debug(LogEvent event) {
        return new LogEntry(Level.DEBUG, event);
    }

    /** Adds a value. */
    public LogEntry with(String key, Object value) {
        fields.add(new Field(key, value));
        return this;
    }

    /** Adds a duration in whole seconds; the key should end with {@code _s}. */
    public LogEntry withSeconds(String key, long micros) {
        return with(key, micros / 1_000_000);
    }

    public Level level() {
        return level;
    }

    public LogEvent event() {
        return event;
    }

    /** The line as it is written to the log. */
    @Override
    public String toString() {
        StringBuilder line = new StringBuilder("event=").append(event.text());
        for (Field field : fields) {
            line.append(' ')
                    .append(field.key)
                    .append('=')
                    .append(quoted(String.valueOf(field.value)));
        }
        return line.toString();
    }

    private static String quoted(String value) {
        boolean plain =
                !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
        return plain ? value : '"' + value.replace("\"", "\\\"") + '"';
    }
}
