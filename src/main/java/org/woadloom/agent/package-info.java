/**
 * Communication with the agents: {@link org.woadloom.agent.AgentClient} sends commands directly to
 * them, and {@link org.woadloom.agent.AgentConnectionBalancer} decides which node an agent should
 * connect to.
 */
package org.woadloom.agent;
