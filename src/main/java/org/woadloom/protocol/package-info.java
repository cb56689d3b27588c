/**
 * The messages exchanged with users, agents and the cloud. Each message is a record; its field
 * names on the wire are constants of its nested {@code Field} class. {@link
 * org.woadloom.protocol.Cbor} implements the body format, and {@link
 * org.woadloom.protocol.MalformedMessageException} reports bodies that violate the protocol.
 *
 * <p>Depends on no other package of this project.
 */
package org.woadloom.protocol;
