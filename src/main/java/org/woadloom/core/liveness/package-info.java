/**
 * Failure detection: what is known from an agent's messages, which may be copies or minutes late.
 *
 * <p>The entry type is {@link org.woadloom.core.liveness.AgentLiveness}, one for each machine. The
 * package depends on {@code protocol} alone, and reads no clock: each call is given the time.
 */
package org.woadloom.core.liveness;
