package org.woadloom.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes message bodies, the same format on every interface: CBOR restricted to maps
 * with text keys, lists, text, numbers, booleans and null. Values are plain Java objects: Map,
 * List, String, Long, Double, Boolean and null.
 */
public final class Cbor {
    private static final CBORFactory FACTORY = new CBORFactory();

    /** The maximum nesting depth of maps and lists. */
    private static final int MAX_DEPTH = 32;

    private static final int INITIAL_BYTES = 256;

    private Cbor() {}

    /** Encodes one value. */
    public static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BYTES);
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            write(generator, value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /** Decodes a body that must contain exactly one map. */
    public static Map<String, Object> decodeMap(byte[] body) throws MalformedMessageException {
        return requireMap(decode(body));
    }

    private static Map<String, Object> requireMap(Object value) throws MalformedMessageException {
        if (!(value instanceof Map<?, ?> map)) {
            throw new MalformedMessageException("body: expected a map");
        }
        @SuppressWarnings("unchecked")
        Map<String, Object> result = (Map<String, Object>) map;
        return result;
    }

    /** Decodes a body that must contain exactly one value. */
    public static Object decode(byte[] body) throws MalformedMessageException {
        return decode(FACTORY, body, "CBOR");
    }

    /** Decodes a JSON object, as people write it; no interface uses JSON bodies. */
    public static Map<String, Object> decodeJsonMap(byte[] text) throws MalformedMessageException {
        return requireMap(decode(new JsonFactory(), text, "JSON"));
    }

    /** Encodes a value as JSON, for display. */
    public static String toJson(Object value) {
        StringWriter out = new StringWriter();
        try (JsonGenerator generator = new JsonFactory().createGenerator(out)) {
            write(generator, value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString();
    }

    static JsonParser parser(byte[] body) throws IOException {
        return FACTORY.createParser(body);
    }

    private static Object decode(JsonFactory factory, byte[] body, String format)
            throws MalformedMessageException {
        try (JsonParser parser = factory.createParser(body)) {
            JsonToken token = parser.nextToken();
            if (token == null) {
                throw new MalformedMessageException("body: empty");
            }
            Object value = read(parser, token, 0);
            if (parser.nextToken() != null) {
                throw new MalformedMessageException("body: more than one value");
            }
            return value;
        } catch (IOException | ArithmeticException | IllegalArgumentException e) {
            throw new MalformedMessageException("body: not " + format);
        }
    }

    /**
     * Reads one value.
     *
     * @param token the first token of the value, the parser's current one
     * @param depth the number of maps and lists around the value
     */
    static Object read(JsonParser parser, JsonToken token, int depth)
            throws IOException, MalformedMessageException {
        if (depth > MAX_DEPTH) {
            throw new MalformedMessageException(
                    "body: nested deeper than " + MAX_DEPTH + " levels");
        }
        switch (token) {
            case START_OBJECT:
                return readMap(parser, depth);
            case START_ARRAY:
                return readList(parser, depth);
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
                if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
                    throw new MalformedMessageException("body: integer does not fit in 64 bits");
                }
                return parser.getLongValue();
            case VALUE_NUMBER_FLOAT:
                return parser.getDoubleValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            case VALUE_NULL:
                return null;
            default:
                throw new MalformedMessageException(
                        "body: expected a map, a list, text, a number, a boolean or null");
        }
    }

    private static Map<String, Object> readMap(JsonParser parser, int depth)
            throws IOException, MalformedMessageException {
        Map<String, Object> map = new LinkedHashMap<>();
        String name;
        while ((name = parser.nextFieldName()) != null) {
            int sizeBefore = map.size();
            map.put(name, read(parser, next(parser), depth + 1));
            if (map.size() == sizeBefore) {
                throw duplicateField(name);
            }
        }
        requireEndOfMap(parser);
        return map;
    }

    private static List<Object> readList(JsonParser parser, int depth)
            throws IOException, MalformedMessageException {
        List<Object> list = new ArrayList<>();
        for (JsonToken item = next(parser); item != JsonToken.END_ARRAY; item = next(parser)) {
            list.add(read(parser, item, depth + 1));
        }
        return list;
    }

    static MalformedMessageException duplicateField(String name) {
        return new MalformedMessageException(
                "body: " + ErrorText.quoted(name) + " occurs twice in a map");
    }

    /**
     * The parser returns no field name both at the end of a map and for a key that is not text;
     * only the first is valid.
     */
    static void requireEndOfMap(JsonParser parser) throws MalformedMessageException {
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            throw new MalformedMessageException("body: a map key is not text");
        }
    }

    /** Returns the next token of an incomplete value, or fails at the end of the body. */
    static JsonToken next(JsonParser parser) throws IOException, MalformedMessageException {
        JsonToken token = parser.nextToken();
        if (token == null) {
            throw new MalformedMessageException("body: truncated");
        }
        return token;
    }

    private static void write(JsonGenerator generator, Object value) throws IOException {
        if (value == null) {
            generator.writeNull();
        } else if (value instanceof Map<?, ?> map) {
            generator.writeStartObject(map, map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                generator.writeFieldName((String) entry.getKey());
                write(generator, entry.getValue());
            }
            generator.writeEndObject();
        } else if (value instanceof List<?> list) {
            generator.writeStartArray(list, list.size());
            for (Object item : list) {
                write(generator, item);
            }
            generator.writeEndArray();
        } else if (value instanceof String text) {
            generator.writeString(text);
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value instanceof Double number) {
            generator.writeNumber(number);
        } else if (value instanceof Integer number) {
            generator.writeNumber(number);
        } else if (value instanceof Long number) {
            generator.writeNumber(number);
        } else {
            throw new IllegalArgumentException("type can't be encoded: " + value.getClass());
        }
    }

    /**
     * Returns an upper bound of the value's size as JSON, the form in which the store's size limits
     * are defined.
     */
    public static int maxJsonSize(Object value) {
        if (value == null) {
            return 4;
        }
        if (value instanceof Map<?, ?> map) {
            int size = 2;
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                size += textSize((String) entry.getKey()) + 2 + maxJsonSize(entry.getValue());
            }
            return size;
        }
        if (value instanceof List<?> list) {
            int size = 2;
            for (Object item : list) {
                size += 1 + maxJsonSize(item);
            }
            return size;
        }
        if (value instanceof String text) {
            return textSize(text);
        }
        return value.toString().length();
    }

    private static int textSize(String text) {
        int size = 2;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            // A JSON writer may escape anything outside printable ASCII as \\uXXXX.
            size += c < 0x20 || c > 0x7e ? 6 : c == '"' || c == '\\' ? 2 : 1;
        }
        return size;
    }
}
