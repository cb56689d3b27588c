package org.woadloom.golden;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Replaces the scalars of a wire value by their type names, for golden files of values that hold
 * times or random numbers.
 */
public final class ValueShape {
    private ValueShape() {}

    /**
     * Returns the shape of a value: scalars are replaced by the names of their types, maps keep
     * their keys, and a list is reduced to the shape of its first item.
     */
    public static Object of(Object value) {
        if (value instanceof Map<?, ?> map) {
            Map<String, Object> shape = new LinkedHashMap<>();
            map.forEach((key, element) -> shape.put((String) key, of(element)));
            return shape;
        } else if (value instanceof List<?> list) {
            return list.isEmpty() ? List.of() : List.of(of(list.get(0)));
        } else if (value instanceof String) {
            return "text";
        } else if (value instanceof Boolean) {
            return "boolean";
        } else if (value instanceof Double) {
            return "number";
        } else if (value instanceof Long) {
            return "integer";
        }
        if (value == null) {
            return "null";
        }
        throw new IllegalArgumentException(
                "expected a map, list, string, boolean, Double, Long or null, got "
                        + value.getClass());
    }

    /** Returns the shapes of all items, for a list whose items have different shapes. */
    public static List<Object> ofEach(List<?> list) {
        List<Object> shapes = new ArrayList<>();
        list.forEach(item -> shapes.add(of(item)));
        return shapes;
    }
}
