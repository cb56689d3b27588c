/**
 * Links between controller nodes: {@link org.woadloom.peer.PeerTransport} carries {@link
 * org.woadloom.peer.PeerMessage}s over TCP, in frames that {@link org.woadloom.peer.PeerCodec}
 * writes with Kryo. Depends on {@code core} for the content of messages, on {@code net} and {@code
 * settings}; what a message means is decided in {@code node}.
 */
package org.woadloom.peer;
