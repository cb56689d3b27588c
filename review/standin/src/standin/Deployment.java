package standin;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A small deployment: controllers, state service, cloud, workers. */
public final class Deployment implements AutoCloseable {
    public final Record record;
    public final Path folder;
    public final StateService state;
    public final Platform platform;
    public final Controllers controllers;
    private final Random random = new Random(1);

    /**
     * The settings of a deployment, as the pages give them.
     *
     * @param next the lines of {@code state.next}, or an empty text
     */
    public record Site(
            List<String> zones, List<Platform.Type> types, Map<String, Integer> capacity,
            List<String> teams, double reportS, double leaseS, double cancelS, double rps,
            double writeRps, double valueKb, int txnOps, int latencyMillis, double cloudRps,
            double listLagS, double cpuShare, double ramMb, int fdLimit, String next) {}

    /** Whitlock, at the size of the brief: one machine of each kind in savannah. */
    public static Site whitlock() {
        return new Site(
                List.of("savannah", "macon"),
                List.of(
                        new Platform.Type(
                                "branch-box", 4, 32, 40, 1.0, 0.17, 0.05, 35, List.of("macon")),
                        new Platform.Type(
                                "office-rack", 16, 32, 40, 0.4, 0.51, 0.14, 15,
                                List.of("savannah", "macon"))),
                Map.of(
                        "branch-box macon false", 19, "branch-box macon true", 9,
                        "office-rack savannah false", 1, "office-rack savannah true", 1,
                        "office-rack macon false", 1, "office-rack macon true", 1),
                quoteOffices(16, 48),
                3, 22, 52, 150, 60, 8, 12, 4, 10, 4, 0.44, 320, 1800, "");
    }

    /** Whitlock with pipelines, with fewer machines. */
    public static Site whitlockNext() {
        return new Site(
                List.of("savannah", "macon"),
                whitlock().types,
                Map.of(
                        "branch-box macon false", 30, "branch-box macon true", 30,
                        "office-rack savannah false", 10, "office-rack savannah true", 10,
                        "office-rack macon false", 10, "office-rack macon true", 10),
                quoteOffices(300, 4000),
                4, 22, 52, 150, 60, 8, 12, 4, 10, 4, 0.44, 320, 1800,
                "[deployment.state.next]\nwrite_rps = 42.0\nvalue_kb = 2.0\ntxn_ops = 4\n");
    }

    private static List<String> quoteOffices(int cpus, int most) {
        List<String> teams = new ArrayList<>();
        for (int i = 1; i <= 16; i++) {
            teams.add(team("quote-office-" + i, cpus, most));
        }
        return teams;
    }

    public Deployment(Path caseFolder, Site site) throws Exception {
        record = new Record(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("woadloom-review-");
        Path root = Path.of("").toAbsolutePath();
        controllers = new Controllers(record, root, folder, 3);
        Runtime.getRuntime().addShutdownHook(new Thread(this::clean));
        state =
                new StateService(
                        3, site.rps, site.writeRps, site.valueKb, site.txnOps, site.latencyMillis);
        platform =
                new Platform(
                        record, controllers.addresses(), site.types, site.capacity, site.reportS,
                        site.leaseS);
        List<String> stateAddresses = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            stateAddresses.add(state.address(i));
        }
        controllers.configure(
                site.zones,
                stateAddresses,
                platform.address(),
                "[deployment]\ncount = 3\nzones = [\""
                        + String.join("\", \"", site.zones)
                        + "\"]\nclock_off_ms = 1000.0\n"
                        + String.join("\n", site.teams)
                        + "\n[deployment.workers]\nreport_s = " + site.reportS
                        + "\nlease_s = " + site.leaseS
                        + "\ngang_wait_s = 45.0\ngang_peer_s = 8.0\ncancel_s = " + site.cancelS
                        + "\n[deployment.state]\nrps = " + site.rps
                        + "\nwrite_rps = " + site.writeRps
                        + "\nvalue_kb = " + site.valueKb
                        + "\ntxn_ops = " + site.txnOps
                        + "\n" + site.next
                        + "[deployment.cloud]\nrps = " + site.cloudRps
                        + "\nlist_lag_s = " + site.listLagS
                        + "\n[deployment.resources]\ncpu_share = " + site.cpuShare
                        + "\nram_mb = " + site.ramMb
                        + "\nfd_limit = " + site.fdLimit + "\n");
    }

    private static String team(String name, int cpus, int most) {
        return "[[deployment.teams]]\nname = \"" + name + "\"\ncpus = " + cpus + ".0\ncpus_max = "
                + most + ".0\ngpus = 0.0\ngpus_max = 0.0";
    }

    /** Starts the controllers; returns false if the case can't run. */
    public boolean start() throws Exception {
        for (int i = 0; i < controllers.count(); i++) {
            controllers.start(i);
        }
        return controllers.awaitHealthy(20);
    }

    /** An array of tasks, without spot machines and checkpoints. */
    public static Map<String, Object> job(
            String uid, String jobclass, String crew, int tasks, double vcpus, double ramGb,
            double runtimeS) {
        return Http.map(
                "uid", uid, "jobclass", jobclass, "crew", crew, "shape", "batch",
                "rank", "standard", "shards", (long) tasks, "vcpus", vcpus, "cards", 0.0,
                "ramGb", ramGb, "bundle", "img-01", "pullGb", 1.0, "hosttypes", null,
                "yard", null, "samePlace", false, "apart", false, "reclaimable", false,
                "runtimeS", runtimeS, "snapshotEveryS", 0.0, "snapshotCostS", 0.0, "dueS", null);
    }

    /** A node that is alive, as the load balancer would choose it. */
    public String anyNode() {
        List<String> alive = new ArrayList<>();
        for (int i = 0; i < controllers.count(); i++) {
            if (controllers.isAlive(i)) {
                alive.add(controllers.addresses().get(i));
            }
        }
        synchronized (random) {
            return alive.isEmpty()
                    ? controllers.addresses().get(0)
                    : alive.get(random.nextInt(alive.size()));
        }
    }

    /** Submits a job and repeats it after a second, for a minute, as a user does. */
    public boolean submit(Map<String, Object> body, double runS) throws Exception {
        String uid = (String) body.get("uid");
        platform.submitted(uid, body, runS);
        for (long end = System.nanoTime() + 60_000_000_000L; System.nanoTime() < end; ) {
            String node = anyNode();
            Http.Answer answer = Http.call(node, "POST", "/v1/jobs", body, 5000);
            record.line("submit %s awaits %s at %s: %s", uid, body.get("awaits"), node, answer);
            if (answer.status() == 201 || answer.status() == 200) {
                return true;
            }
            if (answer.status() == 400 || answer.status() == 422) {
                return false;
            }
            Thread.sleep(1000);
        }
        return false;
    }

    /** Cancels a job at a node and repeats it after a second; returns the final answer. */
    public Object cancel(String uid, String node) throws InterruptedException {
        for (long end = System.nanoTime() + 60_000_000_000L; System.nanoTime() < end; ) {
            Http.Answer answer =
                    Http.call(node, "POST", "/v1/jobs/" + uid + "/cancel", Http.map(), 5000);
            record.line("cancel %s at %s: %s", uid, node, answer);
            if (answer.status() == 200) {
                return answer.field("status");
            }
            Thread.sleep(1000);
        }
        return null;
    }

    /** Polls a job once; users wait 2 s. */
    public Http.Answer poll(String uid) {
        String node = anyNode();
        long start = System.nanoTime();
        Http.Answer answer = Http.call(node, "GET", "/v1/jobs/" + uid, null, 2000);
        record.line(
                "poll %s at %s: %s after %d ms",
                uid, node, answer, (System.nanoTime() - start) / 1_000_000);
        return answer;
    }

    /** Ends the controllers also where the script itself is ended. */
    private void clean() {
        try {
            controllers.close();
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        } catch (Exception e) {
            System.err.println(e);
        }
    }

    /** Ends the controllers, and adds to the record what their logs say about failures. */
    @Override
    public void close() throws Exception {
        controllers.close();
        for (int i = 0; i < controllers.count(); i++) {
            int lines = 0;
            for (String line : controllers.log(i)) {
                boolean isShown =
                        line.contains("OutOfMemory")
                                || line.startsWith("ERROR")
                                || line.contains("event=tasks_pending")
                                || line.contains("event=reservations_made")
                                || line.contains("event=node_started")
                                || line.contains("event=leader_elected");
                if (isShown && lines++ < 25) {
                    record.line("log of loomhost-%d: %s", i, line);
                }
            }
        }
        record.close();
    }
}
