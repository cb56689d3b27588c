/**
 * The machines of the fleet and the agents on them: their records, heartbeats, commands, losses and
 * deletion.
 *
 * <p>{@link org.woadloom.core.machines.Machine} is the leader's view of one machine. The entry
 * points are {@link org.woadloom.core.machines.MachineRegistry} for data from the cloud and the
 * store, {@link org.woadloom.core.machines.HeartbeatHandler} for messages from agents, and {@link
 * org.woadloom.core.machines.DirectCommands} for commands to agents. The package uses {@code
 * core.liveness} to judge the age of messages, and {@code core.jobs} for the attempts on machines.
 */
package org.woadloom.core.machines;
