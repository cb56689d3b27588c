package org.woadloom.protocol;

import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Streaming reader of the known fields of a map, for messages that arrive hundreds of times a
 * second: it builds no intermediate map. It accepts the same input as {@link Cbor#decodeMap} and
 * {@link Fields}, and like them treats null as missing.
 */
final class FieldReader {
    private final ValueParser parser;
    private final KnownFields known;

    /** The first token of the current field's value. */
    private JsonToken value;

    /** The current field's name. */
    private String name;

    /** The position of the last known field. */
    private int index;

    /** A bit for each known field that the map has had so far. */
    private long seen;

    private FieldReader(ValueParser parser, KnownFields known) {
        this.parser = parser;
        this.known = known;
        beginMap();
    }

    /** Builds a message, or a part of one, from the fields of a map. */
    interface MapReader<T> {
        T read(FieldReader fields) throws IOException, MalformedMessageException;
    }

    /** Reads a body that must contain exactly one map. */
    static <T> T parseBody(byte[] body, KnownFields known, MapReader<T> reader)
            throws MalformedMessageException {
        return Cbor.parse(
                body,
                (parser, first) -> {
                    if (first != JsonToken.START_OBJECT) {
                        throw new MalformedMessageException("body: expected a map");
                    }
                    return reader.read(new FieldReader(parser, known));
                });
    }

    private void beginMap() {
        index = -1;
        seen = 0;
    }

    /**
     * Advances to the next known field that is not null. Returns its name, or null at the end of
     * the map.
     */
    String next() throws IOException, MalformedMessageException {
        for (String next = parser.nextName(); next != null; next = parser.nextName()) {
            value = parser.next();
            int found = known.indexOf(next, index + 1);
            if (found < 0) {
                parser.skip();
                continue;
            }
            index = found;
            name = known.nameAt(found);
            checkNotDuplicate(1L << found);
            if (value != JsonToken.VALUE_NULL) {
                return name;
            }
        }
        return null;
    }

    private void checkNotDuplicate(long bit) throws MalformedMessageException {
        if ((seen & bit) != 0) {
            throw ValueParser.duplicateField(name);
        }
        seen |= bit;
    }

    String text() throws IOException, MalformedMessageException {
        if (value != JsonToken.VALUE_STRING) {
            throw new MalformedMessageException(name + ": expected text");
        }
        return parser.text();
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

    /** Returns the value; null if it is a map or a list. */
    private Object scalar() throws IOException, MalformedMessageException {
        return value.isScalarValue() ? parser.scalar() : null;
    }

    /** Reads a list of maps, calling the reader once for each map. */
    void forEachMap(MapReader<?> reader) throws IOException, MalformedMessageException {
        String listName = name;
        if (value != JsonToken.START_ARRAY) {
            throw new MalformedMessageException(listName + ": expected a list");
        }
        FieldReader item = new FieldReader(parser, known.ofValue(listName));
        for (JsonToken token = parser.next(); token != JsonToken.END_ARRAY; token = parser.next()) {
            if (token != JsonToken.START_OBJECT) {
                throw new MalformedMessageException(listName + ": expected a map");
            }
            item.beginMap();
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
