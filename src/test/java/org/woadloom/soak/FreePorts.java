package org.woadloom.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Allocates listener ports below the ephemeral port range, so that no outgoing connection takes the
 * port of a killed process before it is restarted.
 */
final class FreePorts {
    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 20_000;

    /** Distance between the first ports tried by two drivers with consecutive process ids. */
    private static final int PORTS_PER_PROCESS = 97;

    private static int nextOffset =
            (int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % PORT_COUNT);

    private FreePorts() {}

    static synchronized int allocate() throws IOException {
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + nextOffset;
            nextOffset = (nextOffset + 1) % PORT_COUNT;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException(
                "no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
