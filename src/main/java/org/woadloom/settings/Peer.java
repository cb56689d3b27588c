package org.woadloom.settings;

/** Another controller node: its name, its zone and the address on which it accepts peers. */
public record Peer(String label, String zone, String address) {}
