package org.woadloom.node;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Path;
import java.util.Map;
import org.woadloom.protocol.Cbor;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.ServiceSettingsFile;

/**
 * Starts a node on loopback ports that is its own store and cloud, sends it a few requests and
 * returns. Run only by the build, which records the classes that it loads for the class-data
 * sharing (CDS) archive.
 */
public final class CdsTrainingRun {
    /** How long the node runs, so that its timers load their classes as well. */
    private static final long RUN_MILLIS = 1_500;

    private CdsTrainingRun() {}

    public static void run(Path file) throws Exception {
        ServiceSettings settings = onFreePorts(ServiceSettingsFile.read(file));
        Server.start(settings, OperatorSettings.defaults());
        request(settings, "GET", "/healthz", null);
        request(settings, "POST", "/v1/jobs", Cbor.encode(Map.of("uid", "j-1")));
        request(settings, "GET", "/v1/jobs/j-1", null);
        request(settings, "POST", "/v1/report", Cbor.encode(Map.of("host", "host-1")));
        Thread.sleep(RUN_MILLIS);
    }

    /** Picks free ports, because two builds may run on one machine at the same time. */
    private static ServiceSettings onFreePorts(ServiceSettings s) throws IOException {
        try (ServerSocket service = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String bind = "127.0.0.1:" + service.getLocalPort();
            return new ServiceSettings(
                    s.label(),
                    s.zone(),
                    bind,
                    "127.0.0.1:" + peer.getLocalPort(),
                    s.peers(),
                    bind,
                    bind,
                    s.zones(),
                    s.teams(),
                    s.objectives(),
                    s.agents(),
                    s.store(),
                    s.cloud(),
                    s.resources());
        }
    }

    private static void request(ServiceSettings settings, String method, String path, byte[] body)
            throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection)
                        URI.create("http://" + settings.bind() + path).toURL().openConnection();
        connection.setRequestMethod(method);
        if (body != null) {
            connection.setDoOutput(true);
            connection.getOutputStream().write(body);
        }
        connection.getResponseCode();
        connection.disconnect();
    }
}
