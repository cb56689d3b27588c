package org.woadloom.net;

import java.net.InetSocketAddress;

/** Parses addresses in the settings, such as 10.0.0.1:8080. */
public final class Addresses {
    private Addresses() {}

    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
