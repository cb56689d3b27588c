package org.woadloom.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.woadloom.net.HttpTransport;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.KnownFields;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.StoreClient.Change;
import org.woadloom.store.StoreClient.Condition;
import org.woadloom.store.StoreClient.Entry;
import org.woadloom.store.StoreClient.Event;
import org.woadloom.store.StoreClient.Result;

/**
 * The store's HTTP protocol: paths, status codes, and the CBOR encoding of requests and answers.
 * All names of the protocol are defined here.
 */
final class StoreProtocol {
    static final int OK = 200;
    static final int NOT_FOUND = 404;

    /** A condition of the transaction failed; the answer lists the keys. */
    static final int CONFLICT = 409;

    /** The changes after the given revision have been compacted. */
    static final int COMPACTED = 410;

    /** A rate limit was exceeded; the request was not executed. */
    static final int TOO_MANY_REQUESTS = 429;

    /** The store is currently unavailable; the request was not executed. */
    static final int UNAVAILABLE = 503;

    static final String TRANSACTIONS_PATH = "/txn";
    static final String LEASES_PATH = "/grants";

    private static final int BAD_REQUEST = 400;
    private static final int MICROS_PER_MILLI = 1_000;

    private static final String PATH = "path";
    private static final String REVISION = "stamp";
    private static final String STORE_REVISION = "generation";
    private static final String VALUE = "value";
    private static final String PUT = "put";
    private static final String DELETE = "drop";
    private static final String LEASE = "hold";
    private static final String LEASE_MILLIS = "lifeMs";
    private static final String CONDITIONS = "if";
    private static final String CHANGES = "then";
    private static final String FAILED_KEYS = "failed";
    private static final String ENTRIES = "items";
    private static final String HAS_MORE = "more";
    private static final String EVENTS = "events";

    /** An entry's value is read whole: the codec of its record picks the fields that it knows. */
    private static final KnownFields ENTRY_FIELDS =
            KnownFields.of(PATH, REVISION).with(VALUE, KnownFields.ALL);

    private static final KnownFields PAGE_FIELDS =
            KnownFields.of(STORE_REVISION, HAS_MORE).with(ENTRIES, ENTRY_FIELDS);
    private static final KnownFields EVENTS_FIELDS =
            KnownFields.of(STORE_REVISION)
                    .with(
                            EVENTS,
                            KnownFields.of(PUT, DELETE, REVISION).with(VALUE, KnownFields.ALL));
    private static final KnownFields REVISION_FIELDS = KnownFields.of(STORE_REVISION);
    private static final KnownFields CONFLICT_FIELDS = KnownFields.of(FAILED_KEYS);
    private static final KnownFields LEASE_FIELDS = KnownFields.of(LEASE);

    private StoreProtocol() {}

    /** One page of a list and the store revision at which it was read. */
    record Page(List<Entry> entries, long storeRevision, boolean hasMore) {}

    /** Changes of keys with a prefix, complete up to the given store revision. */
    record Events(List<Event> events, long storeRevision) {}

    static String keyPath(String key) {
        return "/keys/" + key;
    }

    /**
     * @param after last key of the previous page, null for the first page
     */
    static String pagePath(String prefix, String after) {
        String since = after == null ? "" : "&since=" + after;
        return "/keys?prefix=" + prefix + since + "&most=" + StoreRequestPolicy.PAGE_ENTRIES;
    }

    /**
     * Path of a read of the changes after a store revision. The store delays its answer by up to
     * {@code blockMicros} while there are none.
     */
    static String watchPath(String prefix, long sinceRevision, long blockMicros) {
        return "/follow?prefix="
                + prefix
                + "&since="
                + sinceRevision
                + "&blockMs="
                + blockMicros / MICROS_PER_MILLI;
    }

    static String renewalPath(long storeLease) {
        return LEASES_PATH + "/" + storeLease + "/renew";
    }

    static byte[] encodeTransaction(List<Condition> conditions, List<Change> changes) {
        List<Object> encodedConditions = new ArrayList<>();
        for (Condition condition : conditions) {
            encodedConditions.add(conditionToMap(condition));
        }
        List<Object> encodedChanges = new ArrayList<>();
        for (Change change : changes) {
            encodedChanges.add(changeToMap(change));
        }
        Map<String, Object> request = new LinkedHashMap<>();
        request.put(CONDITIONS, encodedConditions);
        request.put(CHANGES, encodedChanges);
        return Cbor.encode(request);
    }

    private static Map<String, Object> conditionToMap(Condition condition) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(PATH, condition.key());
        map.put(REVISION, condition.revision());
        return map;
    }

    private static Map<String, Object> changeToMap(Change change) {
        Map<String, Object> map = new LinkedHashMap<>();
        if (change.value() == null) {
            map.put(DELETE, change.key());
            return map;
        }
        map.put(PUT, change.key());
        map.put(VALUE, change.value());
        if (change.storeLease() != Change.NO_LEASE) {
            map.put(LEASE, change.storeLease());
        }
        return map;
    }

    static byte[] encodeLeaseRequest(long lifetimeMicros) {
        Map<String, Object> request = new LinkedHashMap<>();
        request.put(LEASE_MILLIS, lifetimeMicros / MICROS_PER_MILLI);
        return Cbor.encode(request);
    }

    static byte[] encodeRenewal() {
        return Cbor.encode(Map.of());
    }

    /** Maps a status code that has no special meaning for the request at hand. */
    static Result resultOf(int status) {
        return switch (status) {
            case NOT_FOUND -> Result.NOT_FOUND;
            case BAD_REQUEST -> Result.BAD;
            case TOO_MANY_REQUESTS, UNAVAILABLE, HttpTransport.NOT_SENT -> Result.UNAVAILABLE;
            default -> Result.UNKNOWN;
        };
    }

    /**
     * Returns true if the store could not be reached or did not execute the request because of
     * overload or unavailability.
     */
    static boolean isFailure(int status) {
        return status == TOO_MANY_REQUESTS || status == UNAVAILABLE || !isHttpStatus(status);
    }

    /** Returns true for an HTTP status code, false for the constants of {@link HttpTransport}. */
    static boolean isHttpStatus(int status) {
        return status > 0;
    }

    static Entry decodeEntry(byte[] body) throws MalformedMessageException {
        return parseEntry(Cbor.decodeMap(body, ENTRY_FIELDS));
    }

    static Page decodePage(byte[] body) throws MalformedMessageException {
        Fields fields = new Fields(Cbor.decodeMap(body, PAGE_FIELDS));
        List<Entry> entries = new ArrayList<>();
        for (Object item : fields.list(ENTRIES)) {
            entries.add(parseEntry(requireMap(ENTRIES, item)));
        }
        return new Page(entries, fields.integer(STORE_REVISION), fields.flagOr(HAS_MORE, false));
    }

    static Events decodeEvents(byte[] body) throws MalformedMessageException {
        Fields fields = new Fields(Cbor.decodeMap(body, EVENTS_FIELDS));
        List<Event> events = new ArrayList<>();
        for (Object item : fields.list(EVENTS)) {
            events.add(parseEvent(requireMap(EVENTS, item)));
        }
        return new Events(events, fields.integer(STORE_REVISION));
    }

    static long decodeStoreRevision(byte[] body) throws MalformedMessageException {
        return new Fields(Cbor.decodeMap(body, REVISION_FIELDS)).integer(STORE_REVISION);
    }

    static List<String> decodeFailedKeys(byte[] body) throws MalformedMessageException {
        return new Fields(Cbor.decodeMap(body, CONFLICT_FIELDS)).textList(FAILED_KEYS);
    }

    static long decodeLease(byte[] body) throws MalformedMessageException {
        return new Fields(Cbor.decodeMap(body, LEASE_FIELDS)).integer(LEASE);
    }

    @SuppressWarnings("unchecked") // Cbor decodes no keys but texts.
    private static Map<String, Object> requireMap(String field, Object item)
            throws MalformedMessageException {
        if (item instanceof Map<?, ?>) {
            return (Map<String, Object>) item;
        }
        throw new MalformedMessageException(field + ": expected a map");
    }

    private static Entry parseEntry(Map<String, Object> map) throws MalformedMessageException {
        Fields fields = new Fields(map);
        return new Entry(
                fields.text(PATH), requireMap(VALUE, map.get(VALUE)), fields.integer(REVISION));
    }

    private static Event parseEvent(Map<String, Object> map) throws MalformedMessageException {
        Fields fields = new Fields(map);
        boolean isPut = fields.has(PUT);
        return new Event(
                fields.text(isPut ? PUT : DELETE),
                isPut ? requireMap(VALUE, map.get(VALUE)) : null,
                fields.integer(REVISION));
    }
}
