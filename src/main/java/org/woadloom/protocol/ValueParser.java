package org.woadloom.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** Reads the tokens of one value, and skips what its receiver does not know. */
final class ValueParser {
    private final JsonParser parser;
    private boolean hasSkipped;

    private ValueParser(JsonParser parser) {
        this.parser = parser;
    }

    /** Builds an object from a value. */
    interface ValueReader<T> {
        /**
         * Reads the value.
         *
         * @param first the first token of the value, the parser's current one
         */
        T read(ValueParser parser, JsonToken first) throws IOException, MalformedMessageException;
    }

    /**
     * Reads a body that must contain exactly one value.
     *
     * @param format the name of the format, for the error message
     */
    static <T> T parse(JsonFactory factory, byte[] body, String format, ValueReader<T> reader)
            throws MalformedMessageException {
        try {
            ValueParser parser = new ValueParser(factory.createParser(body));
            JsonToken first = parser.parser.nextToken();
            if (first == null) {
                throw new MalformedMessageException("body: empty");
            }
            T value = reader.read(parser, first);
            if (parser.parser.nextToken() != null) {
                throw new MalformedMessageException("body: more than one value");
            }
            parser.close();
            return value;
        } catch (IOException | ArithmeticException | IllegalArgumentException e) {
            throw new MalformedMessageException("body: not " + format);
        }
    }

    /**
     * Has the factory keep the names that it has decoded, so that the next parser need not decode
     * them again. A parser with unknown names, or of a malformed body, is left to the garbage
     * collector, and its names with it.
     */
    private void close() throws IOException {
        if (!hasSkipped) {
            parser.close();
        }
    }

    /** Returns the library's parser, for values that are read by the library alone. */
    JsonParser ofLibrary() {
        hasSkipped = true;
        return parser;
    }

    /**
     * Returns the name of the next field, or null at the end of the map. The parser returns no name
     * for some keys that are not text.
     */
    String nextName() throws IOException, MalformedMessageException {
        String name = parser.nextFieldName();
        if (name == null && parser.currentToken() != JsonToken.END_OBJECT) {
            throw new MalformedMessageException("body: a map key is not text");
        }
        return name;
    }

    /** Returns the next token of an incomplete value, or fails at the end of the body. */
    JsonToken next() throws IOException, MalformedMessageException {
        JsonToken token = parser.nextToken();
        if (token == null) {
            throw new MalformedMessageException("body: truncated");
        }
        return token;
    }

    /** Returns the current value, which must be text. */
    String text() throws IOException {
        return parser.getText();
    }

    /** Returns the current value, which must be neither a map nor a list. */
    Object scalar() throws IOException, MalformedMessageException {
        switch (parser.currentToken()) {
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
                return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) parser.getBigIntegerValue()
                        : (Object) parser.getLongValue();
            case VALUE_NUMBER_FLOAT:
                return parser.getDoubleValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            case VALUE_NULL:
                return null;
            default:
                throw unexpectedType();
        }
    }

    /**
     * Skips the current value, the one of an unknown field. It must be well-formed, without binary
     * data.
     */
    void skip() throws IOException, MalformedMessageException {
        hasSkipped = true;
        int depth = 0;
        JsonToken token = parser.currentToken();
        while (true) {
            if (token.isStructStart()) {
                depth++;
            } else if (token.isStructEnd()) {
                depth--;
            } else if (token == JsonToken.VALUE_EMBEDDED_OBJECT) {
                throw unexpectedType();
            }
            if (depth == 0) {
                return;
            }
            token = next();
        }
    }

    private static MalformedMessageException unexpectedType() {
        return new MalformedMessageException(
                "body: expected a map, a list, text, a number, a boolean or null");
    }

    static MalformedMessageException duplicateField(String name) {
        return new MalformedMessageException(
                "body: " + ErrorText.quoted(name) + " occurs twice in a map");
    }
}
