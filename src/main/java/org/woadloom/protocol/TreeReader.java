package org.woadloom.protocol;

import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads one value as plain Java objects. It keeps the open maps and lists on a stack of its own, as
 * their nesting depth is not limited.
 */
final class TreeReader {
    private final ValueParser parser;

    /** The maps and lists that contain the current token, the innermost first. */
    private final Deque<Container> open = new ArrayDeque<>();

    /** A map or a list that has not ended. */
    private interface Container {
        /** Reads the next field or item, or the end. */
        void readNext() throws IOException, MalformedMessageException;
    }

    private TreeReader(ValueParser parser) {
        this.parser = parser;
    }

    /**
     * Reads a value.
     *
     * @param first the first token of the value, the parser's current one
     * @param known the fields that are read in the value's maps
     */
    static Object read(ValueParser parser, JsonToken first, KnownFields known)
            throws IOException, MalformedMessageException {
        TreeReader reader = new TreeReader(parser);
        Object value = reader.begin(first, known);
        while (!reader.open.isEmpty()) {
            reader.open.peek().readNext();
        }
        return value;
    }

    /** Returns a scalar, or a map or list that is still empty and has become the innermost one. */
    private Object begin(JsonToken token, KnownFields known)
            throws IOException, MalformedMessageException {
        if (token == JsonToken.START_OBJECT) {
            Map<String, Object> map = new LinkedHashMap<>();
            open.push(() -> readField(map, known));
            return map;
        }
        if (token == JsonToken.START_ARRAY) {
            List<Object> list = new ArrayList<>();
            open.push(() -> readItem(list, known));
            return list;
        }
        return parser.scalar();
    }

    private void readField(Map<String, Object> map, KnownFields known)
            throws IOException, MalformedMessageException {
        String name = parser.nextName();
        if (name == null) {
            open.pop();
            return;
        }
        JsonToken value = parser.next();
        KnownFields valueFields = known.ofValue(name);
        if (valueFields == null) {
            parser.skip();
        } else if (map.containsKey(name)) {
            throw ValueParser.duplicateField(name);
        } else {
            map.put(name, begin(value, valueFields));
        }
    }

    private void readItem(List<Object> list, KnownFields known)
            throws IOException, MalformedMessageException {
        JsonToken item = parser.next();
        if (item == JsonToken.END_ARRAY) {
            open.pop();
        } else {
            list.add(begin(item, known));
        }
    }
}
