/**
 * Connections between controller nodes: {@link org.woadloom.peer.PeerTransport} carries {@link
 * org.woadloom.peer.PeerMessage}s over TCP, in frames encoded by {@link
 * org.woadloom.peer.PeerCodec} with Kryo.
 *
 * <p>Depends on {@code core} for the content of messages, and on {@code net} and {@code settings}.
 * Messages are handled in {@code node}.
 */
package org.woadloom.peer;
