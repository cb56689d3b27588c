package org.woadloom.peer;

/** Connections to the other nodes. Messages to a peer that is not connected are dropped. */
public interface PeerTransport {
    /** Receives messages and connection events on the event loop. */
    interface Listener {
        void onMessage(String senderLabel, PeerMessage message);

        void onConnected(String label);

        /**
         * Called when a connection was lost or could not be opened.
         *
         * @param refused true if the peer actively refused the connection
         */
        void onConnectionLost(String label, boolean refused);
    }

    /** Connects to all peers and reconnects whenever a connection is lost. */
    void start(Listener listener);

    /** Sends a message, or drops it if the peer is not connected or its send queue is full. */
    void send(String label, PeerMessage message);

    /**
     * Returns false while the send queue of a connected peer is full, so that a message would be
     * dropped.
     */
    default boolean acceptsMessages(String label) {
        return true;
    }
}
