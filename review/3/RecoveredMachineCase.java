package recovered;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import standin.Deployment;
import standin.Http;
import standin.Worker;

/**
 * The one ordinary machine in savannah fails every task that it starts for 6 s, while a job that
 * is bound to savannah is submitted. A service that started there before goes on. After that the
 * machine is well again and runs other jobs of the same shape.
 */
public final class RecoveredMachineCase {
    /** After the troubles, no job may be left waiting for so long. */
    private static final double WAITING_S = 90;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Deployment world = new Deployment(Path.of(arguments[0]), Deployment.whitlock())) {
            Worker rack = world.platform.addRunning("office-rack", "savannah");
            world.platform.addRunning("office-rack", "macon");
            for (int i = 0; i < 4; i++) {
                world.platform.addRunning("branch-box", "macon");
            }
            code = world.start() ? run(world, rack, trouble) : 2;
        }
        System.exit(code);
    }

    private static int run(Deployment world, Worker rack, boolean trouble) throws Exception {
        Map<String, Object> service =
                inSavannah(Deployment.job("j-000301", "quote-desk", "quote-office-1", 1, 2, 2.7, 0));
        service.put("shape", "service");
        service.put("rank", "critical");
        if (!world.submit(service, 0) || !await(world, "j-000301", "running", 20)) {
            world.record.line("the service does not run");
            return 2;
        }
        double troublesEndS = world.record.seconds();
        if (trouble) {
            rack.setSick(true);
        }
        if (!world.submit(
                inSavannah(
                        Deployment.job(
                                "j-000302", "repricing-run", "quote-office-1", 2, 4, 4.3, 5)),
                5)) {
            return 2;
        }
        if (trouble) {
            Thread.sleep(6_000);
            rack.setSick(false);
            troublesEndS = world.record.seconds();
        }
        // Another job of the same shape shows that the machine fits and has room.
        boolean hasRoom = false;
        int number = 303;
        double waitingSinceS = troublesEndS;
        while (world.record.seconds() - waitingSinceS < WAITING_S) {
            Http.Answer answer = world.poll("j-000302");
            Object status = answer.field("status");
            if ("running".equals(status) || "done".equals(status)) {
                world.record.line("j-000302 is %s: the rule held", status);
                return 0;
            }
            if (world.record.seconds() - troublesEndS > 20 * (number - 302)) {
                String uid = String.format("j-%06d", number++);
                world.submit(
                        inSavannah(
                                Deployment.job(
                                        uid, "repricing-run", "quote-office-1", 2, 4, 4.3, 5)),
                        5);
                boolean done = await(world, uid, "done", 15);
                world.record.line("%s is done on the same machine: %s", uid, done);
                hasRoom |= done;
            }
            Thread.sleep(2000);
        }
        if (!hasRoom) {
            world.record.line("no other job ran there, so it is not shown that there is room");
            return 2;
        }
        world.record.violation(
                "left_waiting",
                "j-000302 is %s %.0f s after the troubles, while the machine runs others like it",
                world.poll("j-000302"),
                world.record.seconds() - troublesEndS);
        return 1;
    }

    private static Map<String, Object> inSavannah(Map<String, Object> job) {
        job.put("yard", "savannah");
        return job;
    }

    private static boolean await(Deployment world, String uid, String status, int seconds)
            throws InterruptedException {
        double end = world.record.seconds() + seconds;
        while (world.record.seconds() < end) {
            if (status.equals(world.poll(uid).field("status"))) {
                return true;
            }
            Thread.sleep(1000);
        }
        return false;
    }
}
