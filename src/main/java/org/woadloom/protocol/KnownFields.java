package org.woadloom.protocol;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The fields of a map that its reader knows. A receiver ignores all others, so their values are
 * skipped and never built.
 */
public final class KnownFields {
    /** Every field, at every depth: for values whose own codec picks the fields that it knows. */
    public static final KnownFields ALL = new KnownFields(new String[0], new KnownFields[0], true);

    private static final KnownFields NONE =
            new KnownFields(new String[0], new KnownFields[0], false);
    private static final int UNKNOWN = -1;

    private final String[] names;
    private final KnownFields[] valueFields;
    private final boolean isAll;
    private final Map<String, Integer> indexes = new HashMap<>();

    /**
     * The names as the parser last returned them. The parser mostly returns the same objects, whose
     * identity is cheaper to compare than their text.
     */
    private final String[] parsedNames;

    private KnownFields(String[] names, KnownFields[] valueFields, boolean isAll) {
        this.names = names;
        this.valueFields = valueFields;
        this.isAll = isAll;
        parsedNames = names.clone();
        for (int i = 0; i < names.length; i++) {
            indexes.put(names[i], i);
        }
    }

    /** Fields whose values are text, numbers or booleans, or lists of these. */
    public static KnownFields of(String... names) {
        KnownFields[] valueFields = new KnownFields[names.length];
        Arrays.fill(valueFields, NONE);
        return new KnownFields(names.clone(), valueFields, false);
    }

    /**
     * Returns these fields and another one, whose value is a map or a list of maps.
     *
     * @param fields the known fields of these maps
     */
    public KnownFields with(String name, KnownFields fields) {
        int count = names.length;
        String[] extendedNames = Arrays.copyOf(names, count + 1);
        KnownFields[] extendedFields = Arrays.copyOf(valueFields, count + 1);
        extendedNames[count] = name;
        extendedFields[count] = fields;
        return new KnownFields(extendedNames, extendedFields, isAll);
    }

    /** Returns the known fields of the maps in a field's value; null if the field is unknown. */
    KnownFields ofValue(String name) {
        if (isAll) {
            return ALL;
        }
        Integer index = indexes.get(name);
        return index == null ? null : valueFields[index];
    }

    /**
     * Returns the position of a field, or a negative number if it is unknown.
     *
     * @param guess the position that is looked at first
     */
    @SuppressWarnings("ReferenceEquality") // Equal names that are not the same are looked up.
    int indexOf(String name, int guess) {
        if (guess < parsedNames.length && parsedNames[guess] == name) {
            return guess;
        }
        int index = indexes.getOrDefault(name, UNKNOWN);
        if (index >= 0) {
            parsedNames[index] = name;
        }
        return index;
    }

    String nameAt(int index) {
        return names[index];
    }
}
