import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Runs one case: Main CASE FOLDER, from the repository's root. Exit code 1 if the rule was broken, 0
 * if it held, 2 if the case couldn't run.
 */
public final class Main {
    static final ScheduledExecutorService TIMER =
            Executors.newScheduledThreadPool(
                    2,
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });

    /** A case: returns true if the rule held. */
    interface Case {
        boolean run(boolean trouble) throws Exception;
    }

    static final class CouldNotRun extends Exception {
        CouldNotRun(String why) {
            super(why);
        }
    }

    static Path folder;
    static Site site;
    static StateService state;
    static Cloud cloud;
    static Nodes nodes;
    static Users users;

    private Main() {}

    static void deploy(Site of, Map<String, Integer> capacity) throws IOException {
        site = of;
        state = new StateService(of);
        nodes = new Nodes(of, folder);
        users = new Users(nodes.addresses);
        cloud = new Cloud(of, capacity, nodes.addresses, nodes.labels);
        for (int i = 0; i < nodes.labels.size(); i++) {
            nodes.start(i, state.address, cloud.address);
        }
    }

    /** Waits until a node leads and all machines have got an answer. */
    static void awaitService() throws Exception {
        for (double until = Rec.now() + 20; Rec.now() < until; Thread.sleep(200)) {
            int healthy = 0;
            for (String address : nodes.addresses) {
                if (Http.send(address, "GET", "/healthz", null, 1).join().status() == 200) {
                    healthy++;
                }
            }
            if (healthy == nodes.addresses.size()) {
                return;
            }
        }
        throw new CouldNotRun("the controllers did not become healthy");
    }

    static void sleepUntil(double seconds) throws InterruptedException {
        double left = seconds - Rec.now();
        if (left > 0) {
            Thread.sleep((long) (left * 1000));
        }
    }

    static void require(boolean condition, String why) throws CouldNotRun {
        if (!condition) {
            throw new CouldNotRun(why);
        }
    }

    public static void main(String[] args) throws Exception {
        folder = Files.createTempDirectory("woadloom-review");
        Rec.open(Path.of(args[1], "record.txt"));
        Runtime.getRuntime().addShutdownHook(new Thread(Main::cleanUp));
        TIMER.schedule(
                () -> {
                    Rec.say("the case took too long");
                    exit(2);
                },
                117,
                TimeUnit.SECONDS);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Rec.say("case %s, TROUBLE=%s", args[0], trouble ? "1" : "0");
        int code;
        try {
            Case toRun =
                    (Case) Class.forName("Case" + args[0]).getDeclaredConstructor().newInstance();
            code = toRun.run(trouble) ? 0 : 1;
        } catch (CouldNotRun e) {
            Rec.say("could not run: %s", e.getMessage());
            code = 2;
        } catch (Exception e) {
            Rec.say("could not run: %s", e);
            e.printStackTrace();
            code = 2;
        }
        if (code != 2 && !nodes.allAlive()) {
            Rec.say("a controller has ended by itself");
        }
        Rec.say("exit code %d: %s", code, List.of("held", "BROKEN", "could not run").get(code));
        exit(code);
    }

    private static void exit(int code) {
        cleanUp();
        Runtime.getRuntime().halt(code);
    }

    private static synchronized void cleanUp() {
        if (nodes != null) {
            nodes.stopAll();
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | RuntimeException e) {
            // Gone already.
        }
    }
}
