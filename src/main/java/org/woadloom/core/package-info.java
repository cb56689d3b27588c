/**
 * The scheduler: a pure, deterministic state machine. {@link org.woadloom.core.Scheduler} is the
 * entry type; it takes {@link org.woadloom.core.SchedulerEvent}s and returns {@link
 * org.woadloom.core.SchedulerAction}s. It may depend on the messages, the settings and the stored
 * records, never on sockets, files, clocks or threads.
 */
package org.woadloom.core;
