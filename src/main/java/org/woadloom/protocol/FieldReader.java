package org.woadloom.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Arrays;

/**
 * Streaming reader of the fields of a map, for messages that arrive hundreds of times a second: it
 * builds no intermediate map. It rejects the same input as {@link Cbor#decode} and {@link Fields},
 * and like them treats null as missing.
 */
final class FieldReader {
    /** The nesting depth of a field's value, passed to {@link Cbor#read}. */
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

    /** Builds a message, or a part of one, from the fields of a map. */
    interface MapReader<T> {
        T read(FieldReader fields) throws IOException, MalformedMessageException;
    }

    /** Reads a body that must contain exactly one map. */
    static <T> T parseBody(byte[] body, MapReader<T> reader) throws MalformedMessageException {
        try (JsonParser parser = Cbor.parser(body)) {
            JsonToken first = parser.nextToken();
            if (first == null) {
                throw new MalformedMessageException("body: empty");
            }
            if (first != JsonToken.START_OBJECT) {
                throw new MalformedMessageException("body: expected a map");
            }
            T result = reader.read(new FieldReader(parser));
            if (parser.nextToken() != null) {
                throw new MalformedMessageException("body: more than one value");
            }
            return result;
        } catch (IOException | ArithmeticException | IllegalArgumentException e) {
            throw new MalformedMessageException("body: not CBOR");
        }
    }

    /**
     * Advances to the next field that is not null. Returns its name, or null at the end of the map.
     */
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
     * Uses a linear search, which is cheapest here: a map has few fields, and equal names are
     * mostly the same object.
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

    /** Skips the value of an unknown field, which must still be well-formed. */
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

    long nonNegativeInteger() throws IOException, MalformedMessageException {
        return Fields.requireNonNegative(name, integer());
    }

    double nonNegativeNumber() throws IOException, MalformedMessageException {
        return Fields.nonNegativeNumber(name, scalar());
    }

    private Object scalar() throws IOException, MalformedMessageException {
        return Cbor.read(parser, value, VALUE_DEPTH);
    }

    /** Reads a list of maps, calling the reader once for each map. */
    void forEachMap(MapReader<?> reader) throws IOException, MalformedMessageException {
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
            reader.read(item);
        }
    }

    /** Returns the value of a mandatory field, or fails if it is missing. */
    static <T> T required(String name, T value, String expected) throws MalformedMessageException {
        if (value == null) {
            throw new MalformedMessageException(name + ": expected " + expected);
        }
        return value;
    }
}
