package org.woadloom.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Ports for listeners, below those that the system gives to outgoing connections: a port of a
 * process that is to be started again must not be taken in the meantime.
 */
final class FreePorts {
    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 20_000;

    /** So far apart do two drivers begin, if their process ids follow each other. */
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
        throw new IOException("no free port");
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
