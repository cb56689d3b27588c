package org.woadloom.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Arrays;

/**
 * Reads the fields of one map in a streaming way, for messages that arrive by the hundred a second:
 * no object is made for a field that is not used. It refuses what {@link Cbor#decode} and {@link
 * Fields} refuse, and treats null as missing like them.
 */
final class FieldReader {
    /** How deep a value of a field is nested, for {@link Cbor#read}. */
    private static final int VALUE_DEPTH = 2;

    private static final int INITIAL_NAMES = 16;

    private final JsonParser parser;

    /** The first token of the current field's value. */
    private JsonToken value;

    /** The current field's name. */
    private String name;

    /** The names of the map's fields so far: the first {@link #nameCount} elements. */
    private String[] names = new String[INITIAL_NAMES];

    private int nameCount;

    private FieldReader(JsonParser parser) {
        this.parser = parser;
    }

    /** Makes a message, or a part of one, of the fields of a map. */
    interface Reading<T> {
        T read(FieldReader fields) throws IOException, MalformedMessageException;
    }

    /** Reads a body that is one map, and nothing else. */
    static <T> T body(byte[] body, Reading<T> reading) throws MalformedMessageException {
        try (JsonParser parser = Cbor.parser(body)) {
            JsonToken first = parser.nextToken();
            if (first == null) {
                throw new MalformedMessageException("body: empty");
            }
            if (first != JsonToken.START_OBJECT) {
                throw new MalformedMessageException("body: expected a map");
            }
            T result = reading.read(new FieldReader(parser));
            if (parser.nextToken() != null) {
                throw new MalformedMessageException("body: more than one value");
            }
            return result;
        } catch (IOException | ArithmeticException | IllegalArgumentException e) {
            throw new MalformedMessageException("body: not CBOR");
        }
    }

    /** Advances to the next field with a value; returns its name, or null at the end of the map. */
    String next() throws IOException, MalformedMessageException {
        while ((name = parser.nextFieldName()) != null) {
            checkNotDuplicate();
            value = Cbor.next(parser);
            if (value != JsonToken.VALUE_NULL) {
                return name;
            }
        }
        Cbor.requireEndOfMap(parser);
        return null;
    }

    /**
     * A linear search is cheapest: a map has few fields, and their names are mostly the same
     * objects.
     */
    private void checkNotDuplicate() throws MalformedMessageException {
        for (int i = 0; i < nameCount; i++) {
            if (names[i].equals(name)) {
                throw Cbor.duplicateField(name);
            }
        }
        if (nameCount == names.length) {
            names = Arrays.copyOf(names, 2 * nameCount);
        }
        names[nameCount++] = name;
    }

    /** Skips the value of an unknown field, which must be well-formed all the same. */
    void skip() throws IOException, MalformedMessageException {
        Cbor.read(parser, value, VALUE_DEPTH);
    }

    String text() throws IOException, MalformedMessageException {
        if (value != JsonToken.VALUE_STRING) {
            throw new MalformedMessageException(name + ": expected text");
        }
        return parser.getText();
    }

    boolean flag() throws MalformedMessageException {
        if (value != JsonToken.VALUE_TRUE && value != JsonToken.VALUE_FALSE) {
            throw new MalformedMessageException(name + ": expected true or false");
        }
        return value == JsonToken.VALUE_TRUE;
    }

    long integer() throws IOException, MalformedMessageException {
        return Fields.integer(name, scalar());
    }

    long count() throws IOException, MalformedMessageException {
        return Fields.notNegative(name, integer());
    }

    double amount() throws IOException, MalformedMessageException {
        return Fields.nonNegativeNumber(name, scalar());
    }

    private Object scalar() throws IOException, MalformedMessageException {
        return Cbor.read(parser, value, VALUE_DEPTH);
    }

    /** Reads a list of maps, with one call for each. */
    void maps(Reading<?> each) throws IOException, MalformedMessageException {
        String listName = name;
        if (value != JsonToken.START_ARRAY) {
            throw new MalformedMessageException(listName + ": expected a list");
        }
        FieldReader item = new FieldReader(parser);
        for (JsonToken token = Cbor.next(parser);
                token != JsonToken.END_ARRAY;
                token = Cbor.next(parser)) {
            if (token != JsonToken.START_OBJECT) {
                throw new MalformedMessageException(listName + ": expected a map");
            }
            item.nameCount = 0;
            each.read(item);
        }
    }

    /** The value of a field that must be there. */
    static <T> T required(String name, T value, String what) throws MalformedMessageException {
        if (value == null) {
            throw new MalformedMessageException(name + ": expected " + what);
        }
        return value;
    }
}
