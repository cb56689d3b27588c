import java.util.Map;

/** A job whose task failed once on a machine that was faulty for a while is never placed there again. */
public final class CaseFailedOnce implements Main.Case {
    @Override
    public boolean run(boolean trouble) throws Exception {
        Main.deploy(Site.whitlock(), Map.of());
        Worker worker = Main.cloud.existing("office-rack", "savannah", false);
        Main.cloud.existing("office-rack", "macon", false);
        for (int i = 0; i < 4; i++) {
            Main.cloud.existing("branch-box", "macon", false);
        }
        Main.awaitService();
        Job before = quoteDesk("j-000001");
        Main.require(Main.users.submit(before) / 100 == 2, "the first service was not accepted");
        for (double until = Rec.now() + 15; worker.running().isEmpty(); Thread.sleep(200)) {
            Main.require(Rec.now() < until, "the first service did not start");
        }
        worker.sick = trouble;
        Rec.say("TROUBLE begins: %s fails every task that it starts: %s", worker.host, trouble);
        Job job = quoteDesk("j-000002");
        Main.require(Main.users.submit(job) / 100 == 2, "the service was not accepted");
        Thread.sleep(5000);
        worker.sick = false;
        double over = Rec.now();
        Rec.say("TROUBLE is over");
        Thread.sleep(1000);
        Job after = quoteDesk("j-000003");
        Main.require(Main.users.submit(after) / 100 == 2, "the last service was not accepted");
        boolean held = false;
        double room = 99;
        while (Rec.now() < over + 91 && !held) {
            Thread.sleep(3000);
            String status = Main.users.poll(job.uid());
            String other = Main.users.poll(after.uid());
            room = Math.min(room, worker.room()[0]);
            held = status.equals("running");
            Rec.say(
                    "%.0f s after the trouble: the job is %s, a later one like it %s; %s has %.0f of"
                            + " %.0f CPUs free and runs %s",
                    Rec.now() - over,
                    status,
                    other,
                    worker.host,
                    worker.room()[0],
                    worker.type.cpus(),
                    worker.running());
        }
        Main.nodes.logged("tasks_pending").forEach(line -> Rec.log("%s", line));
        return held;
    }

    static Job quoteDesk(String uid) {
        return new Job(uid, "quote-desk", "quote-office-0", "service", "critical", 1, 0)
                .with("vcpus", 2.0)
                .with("ramGb", 2.7)
                .with("yard", "savannah");
    }
}
