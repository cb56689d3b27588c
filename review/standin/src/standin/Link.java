package standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A proxy on the way to a server. A cut may hold packets back, which arrive when it ends. */
public final class Link {
    private final ServerSocket server;
    private final String target;
    private boolean held;

    public Link(String target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        thread(this::accept);
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    public synchronized void setHeld(boolean on) {
        held = on;
        notifyAll();
    }

    private synchronized void pass() throws InterruptedException {
        while (held) {
            wait();
        }
    }

    private static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket from = server.accept();
                thread(() -> connect(from));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void connect(Socket from) {
        try {
            Socket to = new Socket();
            to.connect(
                    new InetSocketAddress(
                            "127.0.0.1",
                            Integer.parseInt(target.substring(target.indexOf(':') + 1))));
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            thread(() -> copy(from, to));
            thread(() -> copy(to, from));
        } catch (IOException e) {
            close(from);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[8192];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                pass();
                out.write(buffer, 0, count);
            }
            pass();
        } catch (IOException | InterruptedException e) {
            // The connection is closed below.
        }
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
