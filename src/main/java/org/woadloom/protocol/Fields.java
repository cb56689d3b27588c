package org.woadloom.protocol;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Type-checked access to the fields of a decoded map. A field that is null counts as missing. */
public final class Fields {
    private final Map<String, Object> map;

    public Fields(Map<String, Object> map) {
        this.map = map;
    }

    /**
     * Casts a value that must be a map.
     *
     * @param fieldName names the value in the error message
     */
    @SuppressWarnings("unchecked")
    public static Fields of(Object value, String fieldName) throws MalformedMessageException {
        if (!(value instanceof Map<?, ?>)) {
            throw new MalformedMessageException(fieldName + ": expected a map");
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

    public String textOr(String name, String defaultValue) throws MalformedMessageException {
        return has(name) ? text(name) : defaultValue;
    }

    public boolean flag(String name) throws MalformedMessageException {
        if (map.get(name) instanceof Boolean value) {
            return value;
        }
        throw new MalformedMessageException(name + ": expected true or false");
    }

    public boolean flagOr(String name, boolean defaultValue) throws MalformedMessageException {
        return has(name) ? flag(name) : defaultValue;
    }

    public long integer(String name) throws MalformedMessageException {
        return integer(name, map.get(name));
    }

    static long integer(String name, Object value) throws MalformedMessageException {
        if (value instanceof Long number) {
            return number;
        }
        // Clients that have only one number type may encode integers as floats.
        if (value instanceof Double number
                && number == Math.rint(number)
                && Math.abs(number) < 1e15) {
            return number.longValue();
        }
        if (value instanceof BigInteger) {
            throw new MalformedMessageException(name + ": integer does not fit in 64 bits");
        }
        throw new MalformedMessageException(name + ": expected an integer");
    }

    public long integerOr(String name, long defaultValue) throws MalformedMessageException {
        return has(name) ? integer(name) : defaultValue;
    }

    public long nonNegativeInteger(String name) throws MalformedMessageException {
        return requireNonNegative(name, integer(name));
    }

    static long requireNonNegative(String name, long value) throws MalformedMessageException {
        if (value < 0) {
            throw new MalformedMessageException(name + ": must not be negative, was " + value);
        }
        return value;
    }

    public double number(String name) throws MalformedMessageException {
        return number(name, map.get(name));
    }

    private static double number(String name, Object value) throws MalformedMessageException {
        double number;
        if (value instanceof Number received) {
            number = received.doubleValue();
        } else {
            throw new MalformedMessageException(name + ": expected a number");
        }
        if (!Double.isFinite(number)) {
            throw new MalformedMessageException(name + ": must be finite, was " + number);
        }
        return number;
    }

    public double nonNegativeNumber(String name) throws MalformedMessageException {
        return nonNegativeNumber(name, map.get(name));
    }

    static double nonNegativeNumber(String name, Object value) throws MalformedMessageException {
        double number = number(name, value);
        if (number < 0) {
            throw new MalformedMessageException(name + ": must not be negative, was " + number);
        }
        return number;
    }

    public double nonNegativeNumberOr(String name, double defaultValue)
            throws MalformedMessageException {
        return has(name) ? nonNegativeNumber(name) : defaultValue;
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
                throw new MalformedMessageException(name + ": expected a list of text values");
            }
            result.add(text);
        }
        return result;
    }
}
