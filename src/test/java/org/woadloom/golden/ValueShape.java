package org.woadloom.golden;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A wire value with the names of its leaves' kinds in place of the leaves, for forms that hold
 * times and random numbers.
 */
public final class ValueShape {
    private ValueShape() {}

    /** The shape; that of a list is the shape of its first item. */
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
        throw new IllegalArgumentException("no wire value: " + value);
    }

    /** The shapes of all items of a list whose items differ in kind. */
    public static List<Object> ofEach(List<?> list) {
        List<Object> shapes = new ArrayList<>();
        list.forEach(item -> shapes.add(of(item)));
        return shapes;
    }
}
