package org.woadloom.settings;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the operators' HCL settings file. Unknown keys are errors, because a misspelled setting
 * would otherwise be ignored silently.
 */
public final class OperatorSettingsFile {
    private static final double MICROS_PER_SECOND = 1e6;

    /** Lower bound of every duration in the file. */
    private static final double MIN_SECONDS = 0.1;

    /** Upper bound of every duration in the file: one day. */
    private static final double MAX_SECONDS = 86_400;

    private OperatorSettingsFile() {}

    public static OperatorSettings read(Path path) throws SettingsException {
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw SettingsException.unreadable(path, e);
        }
    }

    public static OperatorSettings parse(String file, String text) throws SettingsException {
        // Reading a setting removes it, so that the unknown ones remain.
        Map<String, Object> unread = new LinkedHashMap<>();
        try {
            flatten("", new HCLParser().parse(text), unread);
        } catch (HCLParserException | IOException | RuntimeException e) {
            throw new SettingsException(file + ": invalid HCL: " + e.getMessage());
        }
        OperatorSettings defaults = OperatorSettings.defaults();
        OperatorSettings result =
                new OperatorSettings(
                        secondsAsMicros(
                                file, unread, "reservation.ttl_s", defaults.reservationTtlMicros()),
                        secondsAsMicros(
                                file,
                                unread,
                                "reservation.renew_s",
                                defaults.reservationRenewMicros()),
                        number(
                                file,
                                unread,
                                "reservation.big_task_share",
                                defaults.largeTaskShare(),
                                0.01,
                                1),
                        number(file, unread, "capacity.headroom", defaults.headroom(), 0, 10),
                        secondsAsMicros(
                                file,
                                unread,
                                "capacity.idle_return_s",
                                defaults.idleReturnMicros()),
                        secondsAsMicros(
                                file, unread, "machines.quarantine_s", defaults.quarantineMicros()),
                        flag(file, unread, "zones.care", defaults.leaseDelegation()),
                        secondsAsMicros(
                                file, unread, "rollout.soak_s", defaults.rolloutSoakMicros()),
                        number(
                                file,
                                unread,
                                "rollout.rewrite_share",
                                defaults.migrationWriteShare(),
                                0.01,
                                0.5));
        if (!unread.isEmpty()) {
            throw new SettingsException(
                    file + ": " + unread.keySet().iterator().next() + ": no such setting");
        }
        if (result.reservationRenewMicros() >= result.reservationTtlMicros()) {
            throw new SettingsException(
                    file + ": reservation.renew_s: expected less than reservation.ttl_s");
        }
        return result;
    }

    /**
     * Adds the settings of all blocks to the result under dotted keys, such as {@code zones.care}.
     */
    private static void flatten(String prefix, Map<?, ?> map, Map<String, Object> result) {
        for (Map.Entry<?, ?> entry : map.entrySet()) {
            String key = prefix + entry.getKey();
            Object value = entry.getValue();
            if (value instanceof List<?> list && list.size() == 1) {
                value = list.get(0);
            }
            if (value instanceof Map<?, ?> block) {
                flatten(key + ".", block, result);
            } else {
                result.put(key, value);
            }
        }
    }

    /** Returns a duration, which the file states in seconds, in microseconds. */
    private static long secondsAsMicros(
            String file, Map<String, Object> unread, String key, long defaultValue)
            throws SettingsException {
        return Math.round(
                number(
                                file,
                                unread,
                                key,
                                defaultValue / MICROS_PER_SECOND,
                                MIN_SECONDS,
                                MAX_SECONDS)
                        * MICROS_PER_SECOND);
    }

    private static boolean flag(
            String file, Map<String, Object> unread, String key, boolean defaultValue)
            throws SettingsException {
        if (!unread.containsKey(key)) {
            return defaultValue;
        }
        Object value = unread.remove(key);
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw SettingsException.invalidValue(file, key, "true or false", value);
    }

    private static double number(
            String file,
            Map<String, Object> unread,
            String key,
            double defaultValue,
            double min,
            double max)
            throws SettingsException {
        if (!unread.containsKey(key)) {
            return defaultValue;
        }
        Object value = unread.remove(key);
        if (value instanceof Number number
                && number.doubleValue() >= min
                && number.doubleValue() <= max) {
            return number.doubleValue();
        }
        throw SettingsException.invalidValue(
                file, key, "a number from " + min + " to " + max, value);
    }
}
