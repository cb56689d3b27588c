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
 * Reads the operators' HCL file. An unknown key is an error: it is a setting that would silently
 * not apply.
 */
public final class OperatorSettingsFile {
    private OperatorSettingsFile() {}

    public static OperatorSettings read(Path path) throws SettingsException {
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw new SettingsException(path + ": cannot be read: " + e.getMessage());
        }
    }

    public static OperatorSettings parse(String file, String text) throws SettingsException {
        Map<String, Object> flat = new LinkedHashMap<>();
        try {
            flatten(file, "", new HCLParser().parse(text), flat);
        } catch (HCLParserException | IOException | RuntimeException e) {
            throw new SettingsException(file + ": not HCL: " + e.getMessage());
        }
        OperatorSettings d = OperatorSettings.defaults();
        OperatorSettings result =
                new OperatorSettings(
                        micros(file, flat, "reservation.ttl_s", d.reservationTtlMicros()),
                        micros(file, flat, "reservation.renew_s", d.reservationRenewMicros()),
                        number(file, flat, "reservation.big_task_share", d.bigTaskShare(), 0.01, 1),
                        number(file, flat, "capacity.headroom", d.headroom(), 0, 10),
                        micros(file, flat, "capacity.idle_return_s", d.idleReturnMicros()),
                        micros(file, flat, "machines.quarantine_s", d.quarantineMicros()),
                        flag(file, flat, "zones.care", d.care()),
                        micros(file, flat, "rollout.soak_s", d.soakMicros()),
                        number(file, flat, "rollout.rewrite_share", d.rewriteShare(), 0.01, 0.5));
        if (!flat.isEmpty()) {
            throw new SettingsException(
                    file + ": " + flat.keySet().iterator().next() + ": no such setting");
        }
        if (result.reservationRenewMicros() >= result.reservationTtlMicros()) {
            throw new SettingsException(
                    file + ": reservation.renew_s: expected less than reservation.ttl_s");
        }
        return result;
    }

    private static void flatten(
            String file, String prefix, Map<?, ?> map, Map<String, Object> into) {
        for (Map.Entry<?, ?> entry : map.entrySet()) {
            String key = prefix + entry.getKey();
            Object value = entry.getValue();
            if (value instanceof List<?> list && list.size() == 1) {
                value = list.get(0);
            }
            if (value instanceof Map<?, ?> block) {
                flatten(file, key + ".", block, into);
            } else {
                into.put(key, value);
            }
        }
    }

    private static long micros(String file, Map<String, Object> flat, String key, long otherwise)
            throws SettingsException {
        return Math.round(number(file, flat, key, otherwise / 1e6, 0.1, 86_400) * 1e6);
    }

    private static boolean flag(
            String file, Map<String, Object> flat, String key, boolean otherwise)
            throws SettingsException {
        if (!flat.containsKey(key)) {
            return otherwise;
        }
        if (flat.remove(key) instanceof Boolean value) {
            return value;
        }
        throw new SettingsException(file + ": " + key + ": expected true or false");
    }

    private static double number(
            String file,
            Map<String, Object> flat,
            String key,
            double otherwise,
            double least,
            double most)
            throws SettingsException {
        if (!flat.containsKey(key)) {
            return otherwise;
        }
        Object value = flat.remove(key);
        if (value instanceof Number number
                && number.doubleValue() >= least
                && number.doubleValue() <= most) {
            return number.doubleValue();
        }
        throw new SettingsException(
                file + ": " + key + ": expected a number from " + least + " to " + most);
    }
}
