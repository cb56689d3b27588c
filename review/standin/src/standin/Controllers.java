package standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The controllers: processes of the command in deploy/service.toml, each with its settings. */
public final class Controllers implements AutoCloseable {
    private final Record record;
    private final Path root;
    private final Path folder;
    private final List<String> command;
    private final List<String> addresses = new ArrayList<>();
    private final List<Path> settings = new ArrayList<>();
    private final Process[] processes;
    private boolean closed;

    public Controllers(Record record, Path root, Path folder, int count) throws IOException {
        this.record = record;
        this.root = root;
        this.folder = folder;
        processes = new Process[count];
        String run =
                Files.readAllLines(root.resolve("deploy/service.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        command =
                Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        for (int i = 0; i < count; i++) {
            addresses.add("127.0.0.1:" + Http.freePort());
        }
    }

    public List<String> addresses() {
        return addresses;
    }

    public int count() {
        return addresses.size();
    }

    /** Writes the settings files; the deployment's part is the same for all. */
    public void configure(
            List<String> zones, List<String> state, String cloud, String deployment)
            throws IOException {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < count(); i++) {
            peers.add("127.0.0.1:" + Http.freePort());
        }
        for (int i = 0; i < count(); i++) {
            StringBuilder text = new StringBuilder();
            text.append("label = \"loomhost-" + i + "\"\n");
            text.append("area = \"" + zones.get(i % zones.size()) + "\"\n");
            text.append("bind = \"" + addresses.get(i) + "\"\n");
            text.append("peer_bind = \"" + peers.get(i) + "\"\n");
            for (int j = 0; j < count(); j++) {
                if (j != i) {
                    text.append("[[peers]]\nlabel = \"loomhost-" + j + "\"\n");
                    text.append("area = \"" + zones.get(j % zones.size()) + "\"\n");
                    text.append("address = \"" + peers.get(j) + "\"\n");
                }
            }
            text.append("[outside]\ncloud = \"" + cloud + "\"\n");
            text.append("state = \"" + state.get(i) + "\"\n");
            text.append(deployment);
            Path file = folder.resolve("loomhost-" + i + ".toml");
            Files.writeString(file, text);
            settings.add(file);
        }
    }

    public synchronized void start(int node) throws IOException {
        if (closed) {
            return;
        }
        List<String> full = new ArrayList<>(command);
        full.add(settings.get(node).toString());
        ProcessBuilder builder =
                new ProcessBuilder(full)
                        .directory(root.toFile())
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(
                                ProcessBuilder.Redirect.appendTo(
                                        folder.resolve("loomhost-" + node + ".log").toFile()));
        builder.environment().put("LOG_LEVEL", "info");
        processes[node] = builder.start();
        record.line("loomhost-%d started", node);
    }

    public boolean isAlive(int node) {
        return processes[node] != null && processes[node].isAlive();
    }

    /** Waits until every node answers its health check. */
    public boolean awaitHealthy(int seconds) throws InterruptedException {
        long deadline = System.nanoTime() + seconds * 1_000_000_000L;
        for (String address : addresses) {
            while (Http.call(address, "GET", "/healthz", null, 1000).status() != 200) {
                if (System.nanoTime() > deadline) {
                    return false;
                }
                Thread.sleep(100);
            }
        }
        return true;
    }

    public List<String> log(int node) throws IOException {
        Path log = folder.resolve("loomhost-" + node + ".log");
        return Files.exists(log) ? Files.readAllLines(log) : List.of();
    }

    @Override
    public synchronized void close() throws Exception {
        closed = true;
        for (int i = 0; i < processes.length; i++) {
            if (processes[i] != null) {
                processes[i].destroyForcibly();
                processes[i].waitFor(10, TimeUnit.SECONDS);
            }
        }
    }
}
