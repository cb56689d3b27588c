/**
 * Failure detection for agents, whose messages may be duplicated or minutes late.
 *
 * <p>The main type is {@link org.woadloom.core.liveness.AgentLiveness}, one instance per machine.
 * The package depends only on {@code protocol}, and reads no clock: callers pass the time.
 */
package org.woadloom.core.liveness;
