package org.woadloom.peer;

/** Connections to the other nodes. Messages to a peer that is not connected are dropped. */
public interface PeerTransport {
    /** Is told what happens, on the event loop. */
    interface Listener {
        void onMessage(String from, PeerMessage message);

        void onConnected(String label);

        /**
         * A connection ended, or could not be made; {@code refused} if the other side said so at
         * once.
         */
        void onConnectionLost(String label, boolean refused);
    }

    /** Connects to all peers, and reconnects from then on. */
    void start(Listener listener);

    /** Sends a message, or drops it where the peer is not connected or its queue is full. */
    void send(String label, PeerMessage message);

    /** False while the queue to a connected peer is full, so that what is sent would be dropped. */
    default boolean acceptsMessages(String label) {
        return true;
    }
}
