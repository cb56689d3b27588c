package org.woadloom.protocol;

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
    public static Fields of(Object value, String what) throws MalformedMessageException {
        if (!(value instanceof Map<?, ?>)) {
            throw new MalformedMessageException(what + ": expected a map");
        }
        return new Fields((Map<String, Object>) value);
    }

    public boolean has(String name) {
        return map.get(name) != null;
    }

    public Object raw(String name) {
        return map.get(name);
    }

    public String text(String name) throws MalformedMessageException {
        if (map.get(name) instanceof String value) {
            return value;
        }
        throw new MalformedMessageException(name + ": expected text");
    }

    public String textOr(String name, String otherwise) throws MalformedMessageException {
        return has(name) ? text(name) : otherwise;
    }

    public boolean flag(String name) throws MalformedMessageException {
        if (map.get(name) instanceof Boolean value) {
            return value;
        }
        throw new MalformedMessageException(name + ": expected true or false");
    }

    public boolean flagOr(String name, boolean otherwise) throws MalformedMessageException {
        return has(name) ? flag(name) : otherwise;
    }

    public long integer(String name) throws MalformedMessageException {
        return integer(name, map.get(name));
    }

    static long integer(String name, Object value) throws MalformedMessageException {
        if (value instanceof Long number) {
            return number;
        }
        // A whole number may have been written as a float by a client that knows only one kind.
        if (value instanceof Double number
                && number == Math.rint(number)
                && Math.abs(number) < 1e15) {
            return number.longValue();
        }
        throw new MalformedMessageException(name + ": expected an integer");
    }

    public long integerOr(String name, long otherwise) throws MalformedMessageException {
        return has(name) ? integer(name) : otherwise;
    }

    public long nonNegativeInteger(String name) throws MalformedMessageException {
        return notNegative(name, integer(name));
    }

    static long notNegative(String name, long value) throws MalformedMessageException {
        if (value < 0) {
            throw new MalformedMessageException(name + ": must not be negative");
        }
        return value;
    }

    public double number(String name) throws MalformedMessageException {
        return number(name, map.get(name));
    }

    private static double number(String name, Object value) throws MalformedMessageException {
        double number;
        if (value instanceof Double d) {
            number = d;
        } else if (value instanceof Long l) {
            number = l;
        } else {
            throw new MalformedMessageException(name + ": expected a number");
        }
        if (!Double.isFinite(number)) {
            throw new MalformedMessageException(name + ": must be finite");
        }
        return number;
    }

    /** A finite number that is not negative. */
    public double nonNegativeNumber(String name) throws MalformedMessageException {
        return nonNegativeNumber(name, map.get(name));
    }

    static double nonNegativeNumber(String name, Object value) throws MalformedMessageException {
        double number = number(name, value);
        if (number < 0) {
            throw new MalformedMessageException(name + ": must not be negative");
        }
        return number;
    }

    public double nonNegativeNumberOr(String name, double otherwise)
            throws MalformedMessageException {
        return has(name) ? nonNegativeNumber(name) : otherwise;
    }

    public List<?> list(String name) throws MalformedMessageException {
        if (map.get(name) instanceof List<?> value) {
            return value;
        }
        throw new MalformedMessageException(name + ": expected a list");
    }

    public List<String> textList(String name) throws MalformedMessageException {
        List<String> result = new ArrayList<>();
        for (Object item : list(name)) {
            if (!(item instanceof String text)) {
                throw new MalformedMessageException(name + ": expected a list of texts");
            }
            result.add(text);
        }
        return result;
    }
}
