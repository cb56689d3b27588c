/**
 * Networking: the event loop that all work runs on ({@link org.woadloom.net.EventLoop}), the HTTP
 * client ({@link org.woadloom.net.HttpTransport}), and the socket budget ({@link
 * org.woadloom.net.SocketBudget}). The simulation in the tests replaces the interfaces.
 *
 * <p>Depends only on {@code settings}.
 */
package org.woadloom.net;
