/**
 * A controller node: its components and their connections, without the scheduling decisions. {@link
 * org.woadloom.node.Server} starts a node with its sockets, and {@link org.woadloom.node.Node}
 * creates and connects the components. {@link org.woadloom.node.EventQueue} feeds the scheduler,
 * {@code SchedulerDriver} has its actions carried out while the node leads, and {@code
 * HeartbeatRouter} routes heartbeats to the leader. May depend on every package except {@code cli}.
 * All classes are confined to the event loop unless they say otherwise.
 */
package org.woadloom.node;
