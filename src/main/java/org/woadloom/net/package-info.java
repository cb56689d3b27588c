/**
 * Transport: the event loop that everything runs on ({@link org.woadloom.net.EventLoop}), the HTTP
 * client ({@link org.woadloom.net.HttpTransport}), and the budget of sockets ({@link
 * org.woadloom.net.SocketBudget}). The interfaces are what the simulation in the tests replaces.
 *
 * <p>Depends on {@code settings} alone.
 */
package org.woadloom.net;
