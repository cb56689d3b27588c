package org.woadloom.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Checked access to the fields of a decoded map. A field that is null counts as missing. */
public final class Fields {
    private final Map<String, Object> map;

    public Fields(Map<String, Object> map) {
        this.map = map;
    }

    /** The value as a map of fields, or an error naming {@code what}. */
    @SuppressWarnings("unchecked")
    public static Fields of(Object value, String what) throws WireException {
        if (!(value instanceof Map<?, ?>)) {
            throw new WireException(what + ": expected a map");
        }
        return new Fields((Map<String, Object>) value);
    }

    public boolean has(String name) {
        return map.get(name) != null;
    }

    public Object raw(String name) {
        return map.get(name);
    }

    public String text(String name) throws WireException {
        if (map.get(name) instanceof String value) {
            return value;
        }
        throw new WireException(name + ": expected text");
    }

    public String textOr(String name, String otherwise) throws WireException {
        return has(name) ? text(name) : otherwise;
    }

    public boolean flag(String name) throws WireException {
        if (map.get(name) instanceof Boolean value) {
            return value;
        }
        throw new WireException(name + ": expected true or false");
    }

    public boolean flagOr(String name, boolean otherwise) throws WireException {
        return has(name) ? flag(name) : otherwise;
    }

    public long integer(String name) throws WireException {
        return integer(name, map.get(name));
    }

    static long integer(String name, Object value) throws WireException {
        if (value instanceof Long number) {
            return number;
        }
        // A whole number may have been written as a float by a client that knows only one kind.
        if (value instanceof Double number
                && number == Math.rint(number)
                && Math.abs(number) < 1e15) {
            return number.longValue();
        }
        throw new WireException(name + ": expected an integer");
    }

    public long integerOr(String name, long otherwise) throws WireException {
        return has(name) ? integer(name) : otherwise;
    }

    public long count(String name) throws WireException {
        return notNegative(name, integer(name));
    }

    static long notNegative(String name, long value) throws WireException {
        if (value < 0) {
            throw new WireException(name + ": must not be negative");
        }
        return value;
    }

    public double number(String name) throws WireException {
        return number(name, map.get(name));
    }

    private static double number(String name, Object value) throws WireException {
        double number;
        if (value instanceof Double d) {
            number = d;
        } else if (value instanceof Long l) {
            number = l;
        } else {
            throw new WireException(name + ": expected a number");
        }
        if (!Double.isFinite(number)) {
            throw new WireException(name + ": must be finite");
        }
        return number;
    }

    /** A finite number that is not negative. */
    public double amount(String name) throws WireException {
        return amount(name, map.get(name));
    }

    static double amount(String name, Object value) throws WireException {
        double number = number(name, value);
        if (number < 0) {
            throw new WireException(name + ": must not be negative");
        }
        return number;
    }

    public double amountOr(String name, double otherwise) throws WireException {
        return has(name) ? amount(name) : otherwise;
    }

    public List<?> list(String name) throws WireException {
        if (map.get(name) instanceof List<?> value) {
            return value;
        }
        throw new WireException(name + ": expected a list");
    }

    public List<String> texts(String name) throws WireException {
        List<String> result = new ArrayList<>();
        for (Object item : list(name)) {
            if (!(item instanceof String text)) {
                throw new WireException(name + ": expected a list of texts");
            }
            result.add(text);
        }
        return result;
    }
}
