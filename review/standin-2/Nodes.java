import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** The controllers, each a process with the command of the deploy file. */
final class Nodes {
    final List<String> labels = new ArrayList<>();
    final List<String> addresses = new ArrayList<>();
    private final List<String> peerAddresses = new ArrayList<>();

    /** The link from each node (row) to each peer's port. */
    private final Proxy[][] peerLinks;

    /** The link from each node to the state service. */
    private final Proxy[] stateLinks;

    private final List<Process> processes = new ArrayList<>();
    private final Site site;
    private final Path folder;

    Nodes(Site site, Path folder) throws IOException {
        this.site = site;
        this.folder = folder;
        for (int i = 0; i < site.nodeZones.size(); i++) {
            labels.add("loomhost-" + i);
            addresses.add(Http.HOST + ":" + Http.freePort());
            peerAddresses.add(Http.HOST + ":" + Http.freePort());
            processes.add(null);
        }
        int count = labels.size();
        peerLinks = new Proxy[count][count];
        stateLinks = new Proxy[count];
        for (int i = 0; i < count; i++) {
            for (int p = 0; p < count; p++) {
                peerLinks[i][p] = i == p ? null : new Proxy(Http.freePort(), peerAddresses.get(p));
            }
        }
    }

    /** Trouble: the node loses the state service and the other controllers, nothing else. */
    void cutFromStateAndPeers(int i) throws IOException {
        stateLinks[i].cut();
        for (int p = 0; p < labels.size(); p++) {
            if (p != i) {
                peerLinks[i][p].cut();
                peerLinks[p][i].cut();
            }
        }
    }

    private static String command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no run in deploy/service.toml");
    }

    void start(int i, String state, String cloud) throws IOException {
        stateLinks[i] = new Proxy(Http.freePort(), state);
        Path settings = folder.resolve(labels.get(i) + ".toml");
        Files.writeString(settings, settings(i, stateLinks[i].address, cloud));
        List<String> command = new ArrayList<>(List.of(command().split(" ")));
        command.add(settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", "info");
        File log = folder.resolve(labels.get(i) + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes.set(i, builder.start());
        Rec.log("%s started, process %d", labels.get(i), processes.get(i).pid());
    }

    boolean allAlive() {
        return processes.stream().allMatch(p -> p != null && p.isAlive());
    }

    void stopAll() {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
        for (Process process : processes) {
            try {
                if (process != null) {
                    process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** The node that was elected in the highest term, or -1; only to aim a trouble at it. */
    int leader() throws IOException {
        long last = 0;
        int leader = -1;
        for (String line : logged("event=leader_elected term=")) {
            long term = Long.parseLong(line.substring(line.lastIndexOf('=') + 1).trim());
            if (term > last) {
                last = term;
                leader = labels.indexOf(line.substring(0, line.indexOf(' ')));
            }
        }
        return leader;
    }

    /** A signal that is sent at once when the returned task runs. */
    Runnable signal(int i, String name) throws IOException {
        Process shell =
                new ProcessBuilder("sh", "-c", "read go && kill -" + name + " " + pid(i)).start();
        return () -> {
            try {
                shell.getOutputStream().write('\n');
                shell.getOutputStream().flush();
            } catch (IOException e) {
                Rec.say("no signal: %s", e);
            }
        };
    }

    long pid(int i) {
        return processes.get(i).pid();
    }

    /** Log lines of all controllers with this text. */
    List<String> logged(String text) throws IOException {
        List<String> found = new ArrayList<>();
        for (String label : labels) {
            Path log = folder.resolve(label + ".log");
            if (Files.exists(log)) {
                for (String line : Files.readAllLines(log)) {
                    if (line.contains(text)) {
                        found.add(label + " " + line);
                    }
                }
            }
        }
        return found;
    }

    private String settings(int i, String state, String cloud) {
        StringBuilder t = new StringBuilder();
        t.append("label = \"" + labels.get(i) + "\"\narea = \"" + site.nodeZones.get(i) + "\"\n");
        t.append("bind = \"" + addresses.get(i) + "\"\npeer_bind = \"" + peerAddresses.get(i) + "\"\n");
        for (int p = 0; p < labels.size(); p++) {
            if (p != i) {
                t.append("[[peers]]\nlabel = \"" + labels.get(p) + "\"\n");
                t.append("area = \"" + site.nodeZones.get(p) + "\"\n");
                t.append("address = \"" + peerLinks[i][p].address + "\"\n");
            }
        }
        t.append("[outside]\ncloud = \"" + cloud + "\"\nstate = \"" + state + "\"\n");
        t.append("[deployment]\ncount = " + labels.size() + "\n");
        t.append("zones = [\"" + String.join("\", \"", site.zones) + "\"]\n");
        t.append("clock_off_ms = " + site.clockOffMs + "\n");
        for (Site.Team team : site.teams) {
            t.append("[[deployment.teams]]\nname = \"" + team.name() + "\"\n");
            t.append(
                    String.format(
                            Locale.ROOT,
                            "cpus = %s\ncpus_max = %s\ngpus = 0.0\ngpus_max = 0.0\n",
                            team.cpus(),
                            team.cpusMax()));
        }
        t.append("[deployment.workers]\nreport_s = " + site.reportS + "\nlease_s = " + site.leaseS);
        t.append("\ngang_wait_s = " + site.gangWaitS + "\ngang_peer_s = " + site.gangPeerS);
        t.append("\ncancel_s = " + site.cancelS + "\n");
        t.append("[deployment.state]\nrps = " + site.stateRps + "\nwrite_rps = " + site.stateWriteRps);
        t.append("\nvalue_kb = " + site.stateValueKb + "\ntxn_ops = " + site.stateTxnOps + "\n");
        t.append("[deployment.cloud]\nrps = " + site.cloudRps + "\nlist_lag_s = " + site.listLagS + "\n");
        t.append("[deployment.resources]\ncpu_share = " + site.cpuShare + "\nram_mb = " + site.ramMb);
        t.append("\nfd_limit = " + site.fdLimit + "\n");
        return t.toString();
    }
}
