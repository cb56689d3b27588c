package org.woadloom.net;

import java.net.InetSocketAddress;

/** Addresses as the settings write them. */
public final class Addresses {
    private Addresses() {}

    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
