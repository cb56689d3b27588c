import java.util.Map;

/**
 * A job that is too large for what is free on the only machine reserves all of it, also what is
 * free, for as long as it waits. A critical service that fits waits behind it.
 */
public final class CaseBehindReservation implements Main.Case {
    @Override
    public boolean run(boolean trouble) throws Exception {
        Main.deploy(Site.whitlock(), Map.of());
        Worker worker = Main.cloud.existing("office-rack", "savannah", false);
        Main.cloud.existing("office-rack", "macon", false);
        for (int i = 0; i < 4; i++) {
            Main.cloud.existing("branch-box", "macon", false);
        }
        Main.awaitService();
        Job before = Job.quoteDesk("j-000001").with("shards", 4L);
        Main.require(Main.users.submit(before) / 100 == 2, "the first service was not accepted");
        for (double until = Rec.now() + 15; worker.running().size() < 4; Thread.sleep(200)) {
            Main.require(Rec.now() < until, "the first service did not start");
        }
        if (trouble) {
            Job large =
                    new Job("j-000002", "repricing-run", "quote-office-1", "batch", "low", 1, 18)
                            .with("vcpus", 12.0)
                            .with("ramGb", 12.9)
                            .with("yard", "savannah");
            Main.require(Main.users.submit(large) / 100 == 2, "the large job was not accepted");
            Rec.say("TROUBLE: a job of priority low waits that needs 12 of the 16 CPUs; 8 are free");
            Thread.sleep(2000);
        }
        Job job = Job.quoteDesk("j-000003");
        Main.require(Main.users.submit(job) / 100 == 2, "the service was not accepted");
        return Waiting.runsInTime(job, worker);
    }
}
