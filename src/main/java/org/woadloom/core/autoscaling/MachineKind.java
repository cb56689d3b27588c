package org.woadloom.core.autoscaling;

import org.woadloom.core.machines.Machine;
import org.woadloom.protocol.MachineType;

/** A kind of machine that the cloud rents out: a machine type in a zone, as spot or on demand. */
record MachineKind(MachineType type, String zone, boolean spot) {
    static MachineKind of(Machine machine) {
        return new MachineKind(machine.type(), machine.zone, machine.spot);
    }

    double price() {
        return spot ? type.spotPrice() : type.onDemandPrice();
    }
}
