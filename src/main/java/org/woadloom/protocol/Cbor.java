package org.woadloom.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamWriteConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.google.common.io.CountingOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes message bodies, the same format on every interface: CBOR restricted to maps
 * with text keys, lists, text, numbers, booleans and null. Values are plain Java objects: Map,
 * List, String, Long, Double, Boolean and null, and BigInteger for integers beyond 64 bits.
 */
public final class Cbor {
    /** A message is bounded by its size alone. */
    private static final StreamReadConstraints NO_READ_LIMITS =
            StreamReadConstraints.builder()
                    .maxNestingDepth(Integer.MAX_VALUE)
                    .maxNameLength(Integer.MAX_VALUE)
                    .maxStringLength(Integer.MAX_VALUE)
                    .maxNumberLength(Integer.MAX_VALUE)
                    .build();

    private static final CBORFactory FACTORY =
            CBORFactory.builder()
                    .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                    .streamReadConstraints(NO_READ_LIMITS)
                    .build();

    private static final JsonFactory JSON_FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(NO_READ_LIMITS)
                    .streamWriteConstraints(
                            StreamWriteConstraints.builder()
                                    .maxNestingDepth(Integer.MAX_VALUE)
                                    .build())
                    .build();

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

    /** Decodes a body that must contain exactly one map, with all its fields. */
    public static Map<String, Object> decodeMap(byte[] body) throws MalformedMessageException {
        return decodeMap(body, KnownFields.ALL);
    }

    /** Decodes the known fields of a body that must contain exactly one map. */
    public static Map<String, Object> decodeMap(byte[] body, KnownFields known)
            throws MalformedMessageException {
        return requireMap(parse(body, (parser, first) -> TreeReader.read(parser, first, known)));
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
        return parse(body, Cbor::readAll);
    }

    /** Decodes a JSON object, as people write it; no interface uses JSON bodies. */
    public static Map<String, Object> decodeJsonMap(byte[] text) throws MalformedMessageException {
        return requireMap(ValueParser.parse(JSON_FACTORY, text, "JSON", Cbor::readAll));
    }

    private static Object readAll(ValueParser parser, JsonToken first)
            throws IOException, MalformedMessageException {
        return TreeReader.read(parser, first, KnownFields.ALL);
    }

    /** Encodes a value as JSON, for display. */
    public static String toJson(Object value) {
        StringWriter out = new StringWriter();
        try (JsonGenerator generator = JSON_FACTORY.createGenerator(out)) {
            write(generator, value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString();
    }

    /** Returns the size of a body as compact JSON, in bytes. */
    public static long jsonSize(byte[] body) throws MalformedMessageException {
        return parse(body, (parser, first) -> jsonSize(parser.ofLibrary()));
    }

    private static long jsonSize(JsonParser parser) throws IOException {
        CountingOutputStream counter = new CountingOutputStream(OutputStream.nullOutputStream());
        try (JsonGenerator generator = JSON_FACTORY.createGenerator(counter)) {
            generator.copyCurrentStructure(parser);
        }
        return counter.getCount();
    }

    /** Reads a body that must contain exactly one value. */
    static <T> T parse(byte[] body, ValueParser.ValueReader<T> reader)
            throws MalformedMessageException {
        return ValueParser.parse(FACTORY, body, "CBOR", reader);
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
        } else if (value instanceof BigInteger number) {
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
