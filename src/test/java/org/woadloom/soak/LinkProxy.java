package org.woadloom.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy for one network link; forwards connections to a local port and injects faults. */
final class LinkProxy implements Closeable {
    private static final int BUFFER_BYTES = 16_384;
    private static final int BACKLOG = 256;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int DELAY_MILLIS = 150;

    /** How the proxy treats traffic. */
    enum Mode {
        OPEN,
        /** Forwards nothing; buffered data is delivered when the mode changes. */
        BLOCKED,
        /** Forwards requests, but holds responses back until the mode changes. */
        RESPONSES_BLOCKED,
        /** Aborts new connections at once. */
        REFUSING,
        /** Forwards each chunk with a delay. */
        DELAYED
    }

    private final ServerSocket server;
    private final int targetPort;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private Mode mode = Mode.OPEN;
    private boolean closed;

    LinkProxy(int targetPort) throws IOException {
        this.targetPort = targetPort;
        server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        startThread(this::acceptAll);
    }

    int port() {
        return server.getLocalPort();
    }

    synchronized void setMode(Mode newMode) {
        mode = newMode;
        notifyAll();
    }

    /** Aborts all connections with a TCP reset, like a firewall that lost its connection state. */
    void reset() {
        sockets.forEach(LinkProxy::abort);
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        server.close();
        reset();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "soak-link");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket client = server.accept();
                if (currentMode() == Mode.REFUSING) {
                    abort(client);
                } else {
                    startThread(() -> connectToTarget(client));
                }
            } catch (IOException e) {
                return;
            }
        }
    }

    private synchronized Mode currentMode() {
        return mode;
    }

    private void connectToTarget(Socket client) {
        Socket target = new Socket();
        sockets.add(client);
        sockets.add(target);
        try {
            client.setTcpNoDelay(true);
            target.setTcpNoDelay(true);
            target.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort),
                    CONNECT_TIMEOUT_MILLIS);
            startThread(() -> forward(target, client, true));
            forward(client, target, false);
        } catch (IOException e) {
            abort(client);
            sockets.remove(client);
            sockets.remove(target);
        }
    }

    private void forward(Socket from, Socket to, boolean isResponse) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int length = in.read(buffer);
            while (length >= 0) {
                awaitForwarding(isResponse);
                out.write(buffer, 0, length);
                length = in.read(buffer);
            }
            from.close();
            to.close();
        } catch (IOException e) {
            abort(from);
            abort(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(from);
        }
    }

    private synchronized void awaitForwarding(boolean isResponse) throws InterruptedException {
        if (mode == Mode.DELAYED) {
            wait(DELAY_MILLIS);
        }
        while (!closed
                && (mode == Mode.BLOCKED || (isResponse && mode == Mode.RESPONSES_BLOCKED))) {
            wait();
        }
    }

    private static void abort(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // Already closed.
        }
        try {
            socket.close();
        } catch (IOException e) {
            // Already closed.
        }
    }
}
