package org.woadloom.settings;

import com.electronwill.nightconfig.core.Config;
import java.util.ArrayList;
import java.util.List;

/**
 * Validated access to one table of a TOML file. Errors name the file, the full key, the expected
 * type and the value.
 */
final class TomlTable {
    private static final int MAX_PORT = 65_535;
    private static final double MICROS_PER_SECOND = 1e6;

    private final String file;
    private final String path;
    private final Config config;

    TomlTable(String file, String path, Config config) {
        this.file = file;
        this.path = path;
        this.config = config;
    }

    private SettingsException error(String key, String expected) {
        return SettingsException.invalidValue(file, path + key, expected, value(key));
    }

    boolean has(String key) {
        return value(key) != null;
    }

    TomlTable table(String key) throws SettingsException {
        if (value(key) instanceof Config table) {
            return new TomlTable(file, path + key + ".", table);
        }
        throw error(key, "a table");
    }

    /** Returns the tables in the list under this key; none if the key is missing. */
    List<TomlTable> tables(String key) throws SettingsException {
        List<TomlTable> result = new ArrayList<>();
        Object value = value(key);
        if (value == null) {
            return result;
        }
        if (!(value instanceof List<?> list)) {
            throw error(key, "a list of tables");
        }
        for (int i = 0; i < list.size(); i++) {
            if (!(list.get(i) instanceof Config table)) {
                throw error(key, "a list of tables");
            }
            result.add(new TomlTable(file, path + key + "[" + i + "].", table));
        }
        return result;
    }

    String text(String key) throws SettingsException {
        if (value(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw error(key, "text");
    }

    String textOr(String key, String defaultValue) throws SettingsException {
        return value(key) == null ? defaultValue : text(key);
    }

    /** Returns an address with a port from 1 to 65535, such as 10.0.0.1:8080. */
    String address(String key) throws SettingsException {
        String text = text(key);
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port <= MAX_PORT) {
                return text;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw error(key, "an address such as 10.0.0.1:8080");
    }

    /** Returns a finite number that is not below the given minimum. */
    double number(String key, double min) throws SettingsException {
        if (value(key) instanceof Number number
                && number.doubleValue() >= min
                && Double.isFinite(number.doubleValue())) {
            return number.doubleValue();
        }
        throw error(key, "a number of at least " + min);
    }

    double numberOr(String key, double min, double defaultValue) throws SettingsException {
        return value(key) == null ? defaultValue : number(key, min);
    }

    /** Returns a duration, which the file states in seconds, in microseconds. */
    long secondsAsMicros(String key, double minSeconds) throws SettingsException {
        return Math.round(number(key, minSeconds) * MICROS_PER_SECOND);
    }

    List<String> strings(String key) throws SettingsException {
        List<String> result = new ArrayList<>();
        if (!(value(key) instanceof List<?> list)) {
            throw error(key, "a list of strings");
        }
        for (Object item : list) {
            if (!(item instanceof String text)) {
                throw error(key, "a list of strings");
            }
            result.add(text);
        }
        return result;
    }

    private Object value(String key) {
        return config.get(List.of(key));
    }
}
