package org.woadloom.soak;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** The controller nodes: processes, settings files, and proxied links to peers, store and cloud. */
final class SoakNodes implements Closeable {
    static final int COUNT = 3;
    static final double LEASE_SECONDS = 10;
    static final double REPORT_SECONDS = 1.5;
    static final double CANCEL_SECONDS = 30;
    static final double RED_LIMIT = 48;
    static final double BLUE_LIMIT = 24;
    static final int STORE_REQUESTS_PER_SECOND = 250;
    static final int STORE_CHANGES_PER_SECOND = 100;

    private final List<NodeProcess> processes = new ArrayList<>();
    private final List<Integer> servicePorts = new ArrayList<>();
    private final List<LinkProxy> storeLinks = new ArrayList<>();
    private final List<LinkProxy> cloudLinks = new ArrayList<>();

    /** Indexed by the connecting node, then by the target node; null where both are the same. */
    private final List<List<LinkProxy>> peerLinks = new ArrayList<>();

    SoakNodes(List<String> program, Path directory, List<Integer> storePorts, int cloudPort)
            throws IOException {
        List<Integer> peerPorts = new ArrayList<>();
        for (int node = 0; node < COUNT; node++) {
            servicePorts.add(FreePorts.allocate());
            peerPorts.add(FreePorts.allocate());
        }
        for (int node = 0; node < COUNT; node++) {
            storeLinks.add(new LinkProxy(storePorts.get(node)));
            cloudLinks.add(new LinkProxy(cloudPort));
            List<LinkProxy> links = new ArrayList<>();
            for (int peer = 0; peer < COUNT; peer++) {
                links.add(peer == node ? null : new LinkProxy(peerPorts.get(peer)));
            }
            peerLinks.add(links);
            Path settings = directory.resolve(label(node) + ".toml");
            Files.writeString(settings, settings(node, peerPorts.get(node)));
            processes.add(
                    new NodeProcess(program, settings, directory.resolve(label(node) + ".log")));
        }
    }

    static String label(int node) {
        return "node-" + node;
    }

    private static String zone(int node) {
        return node % 2 == 0 ? "a" : "b";
    }

    private static String loopbackAddress(int port) {
        return "127.0.0.1:" + port;
    }

    /** The host and port at which users and agents reach a node. */
    String address(int node) {
        return loopbackAddress(servicePorts.get(node));
    }

    NodeProcess process(int node) {
        return processes.get(node);
    }

    List<NodeProcess> processes() {
        return processes;
    }

    LinkProxy storeLink(int node) {
        return storeLinks.get(node);
    }

    LinkProxy cloudLink(int node) {
        return cloudLinks.get(node);
    }

    /** The links between a node and its peers, in both directions. */
    List<LinkProxy> peerLinks(int node) {
        List<LinkProxy> links = new ArrayList<>();
        for (int peer = 0; peer < COUNT; peer++) {
            if (peer != node) {
                links.add(peerLinks.get(node).get(peer));
                links.add(peerLinks.get(peer).get(node));
            }
        }
        return links;
    }

    List<LinkProxy> allLinks() {
        Stream<LinkProxy> peers =
                peerLinks.stream().flatMap(List::stream).filter(link -> link != null);
        return Stream.concat(Stream.concat(storeLinks.stream(), cloudLinks.stream()), peers)
                .toList();
    }

    @Override
    public void close() throws IOException {
        try {
            for (NodeProcess process : processes) {
                process.kill();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (LinkProxy link : allLinks()) {
            link.close();
        }
    }

    private String settings(int node, int peerPort) {
        StringBuilder peers = new StringBuilder();
        for (int peer = 0; peer < COUNT; peer++) {
            if (peer != node) {
                peers.append("[[peers]]\nlabel = \"" + label(peer) + "\"\narea = \"" + zone(peer));
                peers.append("\"\naddress = \"");
                peers.append(loopbackAddress(peerLinks.get(node).get(peer).port()) + "\"\n");
            }
        }
        return String.join(
                "\n",
                "label = \"" + label(node) + "\"",
                "area = \"" + zone(node) + "\"",
                "bind = \"" + address(node) + "\"",
                "peer_bind = \"" + loopbackAddress(peerPort) + "\"",
                peers.toString(),
                "[outside]",
                "cloud = \"" + loopbackAddress(cloudLinks.get(node).port()) + "\"",
                "state = \"" + loopbackAddress(storeLinks.get(node).port()) + "\"",
                "[deployment]",
                "count = " + COUNT,
                "zones = [\"a\", \"b\"]",
                "clock_off_ms = 100.0",
                teamSettings("red", RED_LIMIT),
                teamSettings("blue", BLUE_LIMIT),
                "[deployment.workers]",
                "report_s = " + REPORT_SECONDS,
                "lease_s = " + LEASE_SECONDS,
                "cancel_s = " + CANCEL_SECONDS,
                "[deployment.state]",
                "rps = " + STORE_REQUESTS_PER_SECOND + ".0",
                "write_rps = " + STORE_CHANGES_PER_SECOND + ".0",
                "value_kb = 16.0",
                "txn_ops = 16",
                "[deployment.cloud]",
                "rps = 10.0",
                "list_lag_s = 3.0",
                "[deployment.resources]",
                "cpu_share = 0.4",
                "ram_mb = 300.0",
                "fd_limit = 2000",
                "");
    }

    private static String teamSettings(String name, double limit) {
        return String.join(
                "\n",
                "[[deployment.teams]]",
                "name = \"" + name + "\"",
                "cpus = " + limit * 2 / 3,
                "cpus_max = " + limit,
                "gpus = 0.0",
                "gpus_max = 0.0");
    }
}
