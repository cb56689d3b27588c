import java.util.Map;

/** A machine on which two jobs failed while it was faulty gets no work for two minutes. */
public final class CaseQuarantine implements Main.Case {
    @Override
    public boolean run(boolean trouble) throws Exception {
        Main.deploy(Site.whitlock(), Map.of());
        Worker worker = Main.cloud.existing("office-rack", "savannah", false);
        Main.cloud.existing("office-rack", "macon", false);
        for (int i = 0; i < 4; i++) {
            Main.cloud.existing("branch-box", "macon", false);
        }
        Main.awaitService();
        Job before = Job.quoteDesk("j-000001");
        Main.require(Main.users.submit(before) / 100 == 2, "the first service was not accepted");
        for (double until = Rec.now() + 15; worker.running().isEmpty(); Thread.sleep(200)) {
            Main.require(Rec.now() < until, "the first service did not start");
        }
        worker.sick = trouble;
        Rec.say("TROUBLE begins: %s fails every task that it starts: %s", worker.host, trouble);
        Main.users.submit(Job.quoteDesk("j-000002"));
        Main.users.submit(Job.quoteDesk("j-000003"));
        Thread.sleep(2500);
        worker.sick = false;
        Rec.say("TROUBLE is over");
        Thread.sleep(500);
        Job job = Job.quoteDesk("j-000004");
        Main.require(Main.users.submit(job) / 100 == 2, "the service was not accepted");
        return Waiting.runsInTime(job, worker);
    }
}
