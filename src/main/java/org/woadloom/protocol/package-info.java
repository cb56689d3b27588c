/**
 * The messages of all interfaces: users', agents' and the cloud's. Each message is a record with
 * typed members; the names that its fields have on the wire are the constants of its nested {@code
 * Field} class and stand nowhere else. {@link org.woadloom.protocol.Cbor} is the body format,
 * {@link org.woadloom.protocol.MalformedMessageException} what a body that breaks the protocol
 * gives.
 *
 * <p>Depends on no other package of the program.
 */
package org.woadloom.protocol;
