/**
 * A controller node put together, and what it does besides deciding: {@link
 * org.woadloom.node.Server} starts one with its sockets, {@link org.woadloom.node.Node} wires the
 * parts. {@link org.woadloom.node.EventQueue} feeds the scheduler, {@code LeaderActions} carries
 * out its actions while the node leads, and {@code HeartbeatRouter} finds who decides a heartbeat.
 * May depend on every package except {@code cli}. All classes belong to the event loop unless they
 * say otherwise.
 */
package org.woadloom.node;
