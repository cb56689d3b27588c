package org.woadloom.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Arrays;

/**
 * Reads the fields of one map as they come, for messages that arrive by the hundred a second:
 * nothing is made of what is not asked for. It refuses what {@link Cbor#decode} and {@link Fields}
 * refuse, and treats null as missing like them.
 */
final class FieldReader {
    private final JsonParser parser;
    private JsonToken value;
    private String name;
    private String[] names = new String[16];
    private int count;

    private FieldReader(JsonParser parser) {
        this.parser = parser;
    }

    /** What is made of a message. */
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

    /** Goes on to the next field with a value; returns its name, or null at the end of the map. */
    String next() throws IOException, MalformedMessageException {
        while ((name = parser.nextFieldName()) != null) {
            once();
            value = Cbor.next(parser);
            if (value != JsonToken.VALUE_NULL) {
                return name;
            }
        }
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            throw new MalformedMessageException("body: a map key is not text");
        }
        return null;
    }

    /** A map has few fields, and their names are mostly the same objects each time. */
    private void once() throws MalformedMessageException {
        for (int i = 0; i < count; i++) {
            if (names[i].equals(name)) {
                throw new MalformedMessageException("body: " + name + " stands twice in a map");
            }
        }
        if (count == names.length) {
            names = Arrays.copyOf(names, 2 * count);
        }
        names[count++] = name;
    }

    /** Passes over a field that is not known, which must be well-formed all the same. */
    void skip() throws IOException, MalformedMessageException {
        Cbor.read(parser, value, 2);
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
        return Fields.amount(name, scalar());
    }

    private Object scalar() throws IOException, MalformedMessageException {
        return Cbor.read(parser, value, 2);
    }

    /** Goes through a list of maps, one call of the reader for each. */
    void maps(Reading<?> each) throws IOException, MalformedMessageException {
        String of = name;
        if (value != JsonToken.START_ARRAY) {
            throw new MalformedMessageException(of + ": expected a list");
        }
        FieldReader item = new FieldReader(parser);
        for (JsonToken token = Cbor.next(parser);
                token != JsonToken.END_ARRAY;
                token = Cbor.next(parser)) {
            if (token != JsonToken.START_OBJECT) {
                throw new MalformedMessageException(of + ": expected a map");
            }
            item.count = 0;
            each.read(item);
        }
    }

    /** A field that must be there. */
    static <T> T required(String name, T value, String what) throws MalformedMessageException {
        if (value == null) {
            throw new MalformedMessageException(name + ": expected " + what);
        }
        return value;
    }
}
