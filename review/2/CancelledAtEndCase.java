package atend;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import standin.Deployment;
import standin.Http;

/**
 * Jobs are called off at the moment of their end, and their users at once submit a job that needs
 * the one that they called off. Without the disruption nobody calls off anything.
 */
public final class CancelledAtEndCase {
    private static final int JOBS = 7;
    private static final double CANCEL_S = 52;
    private static final double LAST_ROUND_S = 50;

    /** A job that needs a cancelled one, and when its user was told that that is cancelled. */
    private record Dependent(String uid, String needed, double toldS) {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Deployment world =
                new Deployment(Path.of(arguments[0]), Deployment.whitlockNext())) {
            world.platform.addRunning("office-rack", "savannah");
            code = world.start() ? run(world, trouble) : 2;
        }
        System.exit(code);
    }

    private static int run(Deployment world, boolean trouble) throws Exception {
        ConcurrentLinkedQueue<Dependent> dependents = new ConcurrentLinkedQueue<>();
        Thread.sleep(9000);
        List<Dependent> started = new ArrayList<>();
        for (int round = 1; started.isEmpty() && world.record.seconds() < LAST_ROUND_S; round++) {
            if (!round(world, round, trouble, dependents)) {
                return 2;
            }
            Thread.sleep(1500);
            for (Dependent dependent : dependents) {
                if (world.platform.hasStarted(dependent.uid + "/0")) {
                    started.add(dependent);
                }
            }
        }
        world.record.line(
                "%d jobs that need a cancelled one, of these started: %s",
                dependents.size(), started);
        for (Dependent dependent : started) {
            while (world.record.seconds() < dependent.toldS + CANCEL_S + 1) {
                Thread.sleep(100);
            }
            Object needed = world.poll(dependent.needed).field("status");
            Http.Answer answer = world.poll(dependent.uid);
            Object status = answer.field("status");
            if ("queued".equals(status) || "running".equals(status)) {
                world.record.violation(
                        "orphaned", "%s is %s %.0f s after its user was told that %s, which it needs, is"
                                + " cancelled; that is %s",
                        dependent.uid, status, world.record.seconds() - dependent.toldS,
                        dependent.needed, needed);
            }
        }
        return world.record.violations().isEmpty() ? 0 : 1;
    }

    private static boolean round(
            Deployment world, int round, boolean trouble, ConcurrentLinkedQueue<Dependent> dependents)
            throws Exception {
        List<String> first = new ArrayList<>();
        for (int i = 1; i <= JOBS; i++) {
            String uid = String.format("j-%03d%03d", round, i);
            first.add(uid);
            if (!world.submit(job(uid, 1, 1), 600)) {
                return false;
            }
        }
        double end = world.record.seconds() + 15;
        while (!first.stream().allMatch(uid -> world.platform.isPresent(uid + "/0"))) {
            if (world.record.seconds() > end) {
                world.record.line("the jobs do not run");
                return false;
            }
            Thread.sleep(50);
        }
        Thread.sleep(1500);
        // The first ends a tenth of a second before the others.
        long endNanos = System.nanoTime() + 200_000_000L;
        world.platform.endAt(first.get(0), endNanos);
        for (int i = 1; i < JOBS; i++) {
            world.platform.endAt(first.get(i), endNanos + 100_000_000L);
        }
        while (!first.stream().allMatch(uid -> world.platform.isCompleted(uid + "/0"))) {
            Thread.sleep(2);
        }
        List<Thread> users = new ArrayList<>();
        for (int i = 1; i < JOBS; i++) {
            String uid = first.get(i);
            String next = String.format("j-%03d%03d", round, 100 + i);
            Thread user = new Thread(() -> user(world, uid, next, trouble, dependents));
            user.start();
            users.add(user);
        }
        for (Thread user : users) {
            user.join();
        }
        return true;
    }

    private static void user(
            Deployment world,
            String uid,
            String next,
            boolean trouble,
            ConcurrentLinkedQueue<Dependent> dependents) {
        try {
            Object status = trouble ? world.cancel(uid, world.anyNode()) : null;
            double toldS = world.record.seconds();
            Map<String, Object> job = job(next, 0.05, 0.1);
            job.put("awaits", new ArrayList<Object>(List.of(uid)));
            if (world.submit(job, 200) && "cancelled".equals(status)) {
                dependents.add(new Dependent(next, uid, toldS));
            }
        } catch (Exception e) {
            world.record.line("user of %s: %s", uid, e);
        }
    }

    private static Map<String, Object> job(String uid, double vcpus, double ramGb) {
        Map<String, Object> job =
                Deployment.job(uid, "credit-sweep", "quote-office-1", 1, vcpus, ramGb, 20);
        job.put("yard", "savannah");
        return job;
    }
}
