package pipeline;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import standin.Deployment;
import standin.Http;

/**
 * A pipeline of 12 stages with 4 jobs each. Each job awaits those of the stage before; the first
 * stage runs for long, so that the others wait. The users poll every 5 s. Without the disruption
 * the same jobs name no others.
 */
public final class PipelineCase {
    private static final int STAGES = 12;
    private static final int JOBS_PER_STAGE = 4;

    /** For so long no question about a job may stay unanswered. */
    private static final double UNANSWERED_S = 75;

    private static final double LENGTH_S = 104;

    private static final class Polled {
        int asked;
        int answered;
        volatile double lastAnswerS;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Deployment world =
                new Deployment(Path.of(arguments[0]), Deployment.whitlockNext())) {
            for (int i = 0; i < 4; i++) {
                world.platform.addRunning("office-rack", "savannah");
                world.platform.addRunning("office-rack", "macon");
            }
            code = world.start() ? run(world, trouble) : 2;
        }
        System.exit(code);
    }

    private static int run(Deployment world, boolean trouble) throws Exception {
        Map<String, Polled> polled = new ConcurrentHashMap<>();
        AtomicBoolean over = new AtomicBoolean();
        Thread restarts = new Thread(() -> restart(world, over));
        restarts.setDaemon(true);
        restarts.start();
        for (int i = 0; i < 6; i++) {
            Map<String, Object> job =
                    Deployment.job(
                            String.format("j-%06d", 301 + i), "repricing-run", "quote-office-2", 1,
                            1, 1.6, 90);
            submit(world, polled, job, 90);
        }
        List<Object> before = List.of();
        for (int stage = 0; stage < STAGES; stage++) {
            List<Object> now = new ArrayList<>();
            for (int i = 0; i < JOBS_PER_STAGE; i++) {
                double runS = stage == 0 ? 90 : 25;
                String uid = String.format("j-%06d", 401 + stage * JOBS_PER_STAGE + i);
                Map<String, Object> job =
                        Deployment.job(uid, "credit-sweep", "quote-office-1", 1, 1, 1.6, runS);
                if (trouble && !before.isEmpty()) {
                    job.put("awaits", before);
                }
                if (submit(world, polled, job, runS)) {
                    now.add(uid);
                }
            }
            before = now;
        }
        world.record.line("%d jobs are accepted", polled.size());
        while (world.record.seconds() < LENGTH_S) {
            Thread.sleep(200);
            double now = world.record.seconds();
            boolean anyForgotten = false;
            for (Map.Entry<String, Polled> job : polled.entrySet()) {
                anyForgotten |= now - job.getValue().lastAnswerS >= UNANSWERED_S;
            }
            if (anyForgotten) {
                break;
            }
        }
        over.set(true);
        double end = world.record.seconds();
        new TreeMap<>(polled)
                .forEach(
                        (uid, job) -> {
                            double silentS = end - job.lastAnswerS;
                            world.record.line(
                                    "%s: %d questions, %d answers, none for the last %.1f s",
                                    uid, job.asked, job.answered, silentS);
                            if (silentS >= UNANSWERED_S) {
                                world.record.violation(
                                        "forgotten", "no question about %s answered for %.1f s",
                                        uid, silentS);
                            }
                        });
        return world.record.violations().isEmpty() ? 0 : 1;
    }

    /** The platform starts a controller that ended by itself again, after the 3 s of the site. */
    private static void restart(Deployment world, AtomicBoolean over) {
        try {
            while (true) {
                Thread.sleep(100);
                for (int i = 0; i < world.controllers.count(); i++) {
                    if (!over.get() && !world.controllers.isAlive(i)) {
                        world.record.line("loomhost-%d ended by itself", i);
                        System.out.println("loomhost-" + i + " ended by itself");
                        Thread.sleep(3000);
                        world.controllers.start(i);
                    }
                }
            }
        } catch (Exception e) {
            world.record.line("no more restarts: %s", e);
        }
    }

    private static boolean submit(
            Deployment world, Map<String, Polled> polled, Map<String, Object> job, double runS)
            throws Exception {
        if (!world.submit(job, runS)) {
            return false;
        }
        String uid = (String) job.get("uid");
        Polled state = new Polled();
        state.lastAnswerS = world.record.seconds();
        polled.put(uid, state);
        Thread user =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Thread.sleep(5000);
                                    state.asked++;
                                    int status = world.poll(uid).status();
                                    if (status == 200) {
                                        state.answered++;
                                        state.lastAnswerS = world.record.seconds();
                                    } else if (status == 404) {
                                        world.record.violation("forgotten", "404 for %s", uid);
                                    }
                                }
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        user.setDaemon(true);
        user.start();
        return true;
    }
}
