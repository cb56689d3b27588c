import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A link that can be cut. While it is, bytes are kept and delivered in order afterwards, and new
 * connections hang: the queue of the listening socket is kept full, so that nothing answers them.
 */
final class Proxy {
    private static final int BACKLOG = 16;

    final String address;
    private final int port;
    private final String target;
    private final ServerSocket server;
    private final List<Socket> fillers = new ArrayList<>();

    /** When the caller's last bytes arrived here, by the port from which they go on. */
    private final Map<Integer, Double> lastBytes = new ConcurrentHashMap<>();

    private boolean cut;

    Proxy(int port, String target) throws IOException {
        this.port = port;
        this.target = target;
        address = Http.HOST + ":" + port;
        server = new ServerSocket(port, BACKLOG, InetAddress.getByName(Http.HOST));
        Thread thread = new Thread(this::acceptAll);
        thread.setDaemon(true);
        thread.start();
    }

    double lastBytesAt(int fromPort) {
        return lastBytes.getOrDefault(fromPort, -1.0);
    }

    synchronized boolean isCut() {
        return cut;
    }

    void cut() throws IOException {
        synchronized (this) {
            cut = true;
        }
        for (int i = 0; i < 4 * BACKLOG; i++) {
            Socket filler = new Socket();
            try {
                filler.connect(new InetSocketAddress(InetAddress.getByName(Http.HOST), port), 60);
                fillers.add(filler);
            } catch (IOException e) {
                filler.close();
                return;
            }
        }
    }

    void heal() throws IOException {
        for (Socket filler : fillers) {
            filler.close();
        }
        fillers.clear();
        synchronized (this) {
            cut = false;
            notifyAll();
        }
    }

    private synchronized void awaitHealed() throws InterruptedException {
        while (cut) {
            wait();
        }
    }

    private void acceptAll() {
        while (true) {
            try {
                awaitHealed();
                Socket caller = server.accept();
                if (isCut()) {
                    // One of the connections that fill the queue took the place of the next.
                    awaitHealed();
                }
                Http.POOL.execute(() -> connect(caller));
            } catch (IOException | InterruptedException e) {
                return;
            }
        }
    }

    private void connect(Socket caller) {
        try {
            int colon = target.lastIndexOf(':');
            Socket callee = new Socket();
            callee.connect(
                    new InetSocketAddress(
                            InetAddress.getByName(Http.HOST),
                            Integer.parseInt(target.substring(colon + 1))));
            caller.setTcpNoDelay(true);
            callee.setTcpNoDelay(true);
            int localPort = callee.getLocalPort();
            Http.POOL.execute(() -> pump(caller, callee, localPort));
            Http.POOL.execute(() -> pump(callee, caller, 0));
        } catch (IOException e) {
            close(caller);
        }
    }

    private void pump(Socket from, Socket to, int fromPort) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (fromPort != 0) {
                    lastBytes.put(fromPort, Rec.now());
                }
                awaitHealed();
                out.write(buffer, 0, n);
                out.flush();
            }
            awaitHealed();
        } catch (IOException | InterruptedException e) {
            // Closed below.
        }
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Gone already.
        }
    }
}
