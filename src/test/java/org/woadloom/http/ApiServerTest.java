package org.woadloom.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.DefaultByteBufferPool;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.woadloom.metrics.NodeMetrics;
import org.woadloom.net.SocketBudget;
import org.woadloom.net.XnioEventLoop;
import org.woadloom.settings.ServiceSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Workers' heartbeats over real sockets, with fewer sockets than workers. */
class ApiServerTest {
    private static final int INBOUND = 40;
    private static final int COMFORTABLE = 34;
    private static final int WORKERS = 60;
    private static final List<Object> NOTHING = List.of();
    private static final List<Object> SOMETHING = List.of(Map.of("verb", "launch"));

    private final SocketBudget plan = new SocketBudget(0, 0, 0, 0, 0, 0, 2, INBOUND);
    private final List<Socket> open = new ArrayList<>();
    private volatile List<Object> orders = NOTHING;
    private XnioWorker worker;
    private ConnectionLimiter connections;
    private int port;

    @BeforeEach
    void start() throws IOException {
        worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .getMap());
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        ServiceSettings settings =
                new ServiceSettings(
                        "node",
                        "a",
                        "127.0.0.1:" + port,
                        "",
                        List.of(),
                        "",
                        "",
                        List.of(),
                        List.of(),
                        List.of(),
                        new ServiceSettings.Agents(4_000_000, 16_000_000, 30_000_000),
                        null,
                        null,
                        null);
        connections = new ConnectionLimiter(new XnioEventLoop(worker.getIoThread()), plan);
        Router router =
                new Router(
                        new OpenGate(),
                        null,
                        (body, answer) ->
                                answer.accept(
                                        Response.of(200, Map.of("epoch", 1L, "orders", orders))),
                        new NodeMetrics());
        new ApiServer(
                        settings,
                        worker,
                        new DefaultByteBufferPool(true, 4096, 16, 4),
                        plan,
                        connections,
                        router)
                .start();
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : open) {
            socket.close();
        }
        worker.shutdownNow();
    }

    private static final class OpenGate implements Router.Gate {
        @Override
        public String closedReason() {
            return null;
        }

        @Override
        public String notReadyReason() {
            return null;
        }

        @Override
        public void onOutsideRequest() {}

        @Override
        public boolean isHealthy() {
            return true;
        }
    }

    /** What the node answers to a heartbeat, and whether it keeps the connection. */
    private record Answer(int status, boolean kept) {}

    private Answer heartbeat(Socket socket) throws IOException {
        socket.setSoTimeout(5_000);
        socket.getOutputStream()
                .write(
                        ("POST /v1/report HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        InputStream in = new BufferedInputStream(socket.getInputStream());
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed without an answer");
            }
            head.append((char) next);
        }
        String text = head.toString().toLowerCase();
        int at = text.indexOf("content-length:") + "content-length:".length();
        in.readNBytes(Integer.parseInt(text.substring(at, text.indexOf("\r\n", at)).trim()));
        return new Answer(
                Integer.parseInt(text.split(" ")[1]), !text.contains("connection: close"));
    }

    private Answer connectAndReport() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        Answer answer = heartbeat(socket);
        if (answer.kept) {
            open.add(socket);
        } else {
            // Its end is seen here once the node has counted it as gone, or is about to.
            assertEquals(-1, socket.getInputStream().read());
            socket.close();
        }
        return answer;
    }

    @Test
    void belowTheComfortableLevelConnectionsAreKept() throws IOException {
        for (int i = 0; i < COMFORTABLE; i++) {
            assertEquals(new Answer(200, true), connectAndReport());
        }
        assertEquals(0, connections.closedAgentConnections());
    }

    /**
     * Sockets for two thirds of the workers: all are answered in every interval, and nobody is
     * refused.
     */
    @Test
    void moreWorkersThanSocketsAreAllAnswered() throws IOException {
        for (int round = 0; round < 3; round++) {
            List<Socket> kept = new ArrayList<>(open);
            open.clear();
            int answered = 0;
            for (Socket socket : kept) {
                Answer answer = heartbeat(socket);
                assertEquals(200, answer.status);
                answered++;
                if (answer.kept) {
                    open.add(socket);
                } else {
                    socket.close();
                }
            }
            while (answered < WORKERS) {
                assertEquals(200, connectAndReport().status);
                answered++;
            }
        }
        assertEquals(0, connections.refusedRequests());
        assertTrue(open.size() <= COMFORTABLE + 1, open.size() + " connections are kept");
        assertTrue(
                connections.closedAgentConnections() >= 3 * (WORKERS - COMFORTABLE - 1),
                connections.closedAgentConnections() + " closed");
    }

    /** Workers that get commands keep their connections for longer, but not until none is left. */
    @Test
    void workersThatNeedNothingGoFirst() throws IOException {
        orders = SOMETHING;
        int kept = 0;
        while (connectAndReport().kept) {
            kept++;
        }
        assertEquals((COMFORTABLE + INBOUND) / 2, kept);
        orders = NOTHING;
        assertEquals(new Answer(200, false), heartbeat(open.get(0)));
        assertEquals(0, connections.refusedRequests());
    }
}
