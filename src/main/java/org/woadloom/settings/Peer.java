package org.woadloom.settings;

/** Another controller node: where it is and where it listens for its peers. */
public record Peer(String label, String zone, String address) {}
