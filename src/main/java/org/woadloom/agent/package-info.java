/**
 * The way to the agents: {@link org.woadloom.agent.AgentClient} sends them direct commands, and
 * {@link org.woadloom.agent.AgentConnectionBalancer} decides which node an agent should connect to.
 */
package org.woadloom.agent;
