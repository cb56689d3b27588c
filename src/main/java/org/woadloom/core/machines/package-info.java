/**
 * The machines of the fleet and the agents on them: their records, heartbeats, commands, losses and
 * deletion.
 *
 * <p>{@link org.woadloom.core.machines.Machine} is one machine as the leader knows it. The entry
 * types are {@link org.woadloom.core.machines.MachineRegistry} for what the cloud and the store
 * tell, {@link org.woadloom.core.machines.HeartbeatHandler} for what agents tell, and {@link
 * org.woadloom.core.machines.DirectCommands} for what agents are told. The package uses {@code
 * core.liveness} to judge the age of messages, and {@code core.jobs} for the attempts on machines.
 */
package org.woadloom.core.machines;
