/**
 * The scheduler: a pure, deterministic state machine. The entry point is {@link
 * org.woadloom.core.Scheduler}, which takes {@link org.woadloom.core.SchedulerEvent}s and returns
 * {@link org.woadloom.core.SchedulerAction}s. It may depend on protocol messages, settings and
 * stored records, but never on sockets, files, clocks or threads.
 */
package org.woadloom.core;
