package org.woadloom.http;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.woadloom.net.EventLoop;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * The inbound connections whose request has not arrived in whole, or whose answer has not been sent
 * in whole, and the memory that is reserved for the bodies of these requests.
 */
final class PendingTransfers {
    /** How long a user waits for an answer; an agent waits less. */
    static final int TIMEOUT_MICROS = 5_000_000;

    /** While sockets or memory are short, a transfer that takes longer than this is given up. */
    private static final long SHORTAGE_TIMEOUT_MICROS = 500_000;

    private final EventLoop loop;
    private final long maxReservedBytes;

    /** The longest pending first. */
    private final LinkedHashMap<StreamConnection, Transfer> transfers = new LinkedHashMap<>();

    private int silentConnections;
    private long reservedBytes;
    private long closedConnections;

    /**
     * One transfer.
     *
     * @param isSilent whether no whole request has arrived on the connection since it was opened
     * @param bodyBytes the memory that is reserved for the body
     */
    private record Transfer(long sinceMicros, boolean isSilent, long bodyBytes) {}

    /**
     * @param maxReservedBytes the memory that the bodies of all pending requests may use
     */
    PendingTransfers(EventLoop loop, long maxReservedBytes) {
        this.loop = loop;
        this.maxReservedBytes = maxReservedBytes;
    }

    /** The number of pending transfers. */
    int count() {
        return transfers.size();
    }

    /** The number of connections on which no whole request has arrived since they were opened. */
    int silentConnections() {
        return silentConnections;
    }

    /** The memory that is reserved for the bodies of pending requests, in bytes. */
    long reservedBytes() {
        return reservedBytes;
    }

    /** The number of connections closed in a transfer, since the process started. */
    long closedConnections() {
        return closedConnections;
    }

    void onOpened(StreamConnection connection) {
        put(connection, true, 0);
    }

    /**
     * Called when the head of a request has arrived.
     *
     * @param bodyBytes the size of its body, which is still to be read
     * @return false if the memory for pending requests is used up: the body must not be read
     */
    boolean onRequestBegun(StreamConnection connection, long bodyBytes) {
        Transfer opened = remove(connection);
        put(connection, opened != null && opened.isSilent, bodyBytes);
        if (reservedBytes > maxReservedBytes) {
            closeSlow();
        }
        return reservedBytes <= maxReservedBytes;
    }

    void onAnswerBegun(StreamConnection connection) {
        put(connection, false, 0);
    }

    /** Called when the request or the answer is complete, or was given up. */
    void onEnded(StreamConnection connection) {
        remove(connection);
    }

    /** Closes the connections of transfers that have taken longer than anyone waits for them. */
    void closeOverdue() {
        transfers.keySet().removeIf(this::isClosed);
        closeOlderThan(TIMEOUT_MICROS);
    }

    /** Closes the connections of all but the most recent transfers. */
    void closeSlow() {
        closeOlderThan(SHORTAGE_TIMEOUT_MICROS);
    }

    private boolean isClosed(StreamConnection connection) {
        boolean closed = !connection.isOpen();
        if (closed) {
            release(transfers.get(connection));
        }
        return closed;
    }

    private void closeOlderThan(long micros) {
        long beforeMicros = loop.nowMicros() - micros;
        Iterator<Map.Entry<StreamConnection, Transfer>> oldest = transfers.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<StreamConnection, Transfer> transfer = oldest.next();
            if (transfer.getValue().sinceMicros > beforeMicros) {
                return;
            }
            oldest.remove();
            release(transfer.getValue());
            closedConnections++;
            IoUtils.safeClose(transfer.getKey());
        }
    }

    private void put(StreamConnection connection, boolean isSilent, long bodyBytes) {
        remove(connection);
        transfers.put(connection, new Transfer(loop.nowMicros(), isSilent, bodyBytes));
        silentConnections += isSilent ? 1 : 0;
        reservedBytes += bodyBytes;
    }

    private Transfer remove(StreamConnection connection) {
        Transfer removed = transfers.remove(connection);
        if (removed != null) {
            release(removed);
        }
        return removed;
    }

    private void release(Transfer transfer) {
        silentConnections -= transfer.isSilent ? 1 : 0;
        reservedBytes -= transfer.bodyBytes;
    }
}
