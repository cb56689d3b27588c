import java.util.List;
import java.util.Map;

/** Two tasks of 32 GiB each fit on a machine of 64 GiB, but not by the controllers' rounding. */
public final class CaseRounding implements Main.Case {
    private static final double GIB = 1.073741824;

    @Override
    public boolean run(boolean trouble) throws Exception {
        Site site = Site.whitlock();
        site.types =
                List.of(
                        site.type("branch-box"),
                        new Site.Type(
                                "office-rack", 16, 64 * GIB, 0.51, 0.14, 40, 0.4, 15, site.zones));
        Main.deploy(site, Map.of());
        Worker worker = Main.cloud.existing("office-rack", "savannah", false);
        Main.awaitService();
        double ramGb = trouble ? 32 * GIB : 34.359;
        Rec.say("each task takes %s of the %s GB", ramGb, worker.type.ramGb());
        Job first = Job.quoteDesk("j-000001").with("ramGb", ramGb);
        Main.require(Main.users.submit(first) / 100 == 2, "the first service was not accepted");
        for (double until = Rec.now() + 15; worker.running().isEmpty(); Thread.sleep(200)) {
            Main.require(Rec.now() < until, "the first service did not start");
        }
        Job second = Job.quoteDesk("j-000002").with("ramGb", ramGb);
        Main.require(Main.users.submit(second) / 100 == 2, "the second service was not accepted");
        return Waiting.runsInTime(second, worker);
    }
}
