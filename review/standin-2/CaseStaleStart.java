import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A machine loses the network for some seconds, and a job is placed on it. The leader is cut from the
 * state service and from the other controllers, and the job is cancelled through another node. When
 * the machine is back, the deposed leader starts the job's task.
 */
public final class CaseStaleStart implements Main.Case {
    @Override
    public boolean run(boolean trouble) throws Exception {
        Main.deploy(Site.whitlock(), Map.of());
        Worker worker = Main.cloud.existing("office-rack", "savannah", false);
        Main.cloud.existing("office-rack", "macon", false);
        for (int i = 0; i < 4; i++) {
            Main.cloud.existing("branch-box", "macon", false);
        }
        Main.awaitService();
        Job before = Job.quoteDesk("j-000009");
        Main.require(Main.users.submit(before) / 100 == 2, "the service was not accepted");
        // The controllers' idle connections to workers are closed by then.
        Main.sleepUntil(30);
        int leader = Main.nodes.leader();
        Main.require(leader >= 0, "no node leads");
        double sent = worker.lastSent();
        for (double until = Rec.now() + 20; ; Thread.sleep(5)) {
            if (worker.lastSent() > sent && !worker.reportInFlight() && worker.node() == leader) {
                break;
            }
            Main.require(Rec.now() < until, "the worker does not report to the leader");
        }
        Rec.say("%s reports to the leader, %s", worker.host, Main.nodes.labels.get(leader));
        double begin = Rec.now();
        if (trouble) {
            worker.link.cut();
            Rec.say("TROUBLE 1: %s has lost the network", worker.host);
        }
        Job job =
                new Job("j-000001", "repricing-run", "quote-office-0", "batch", "high", 1, 18)
                        .with("vcpus", 4.0)
                        .with("ramGb", 4.3)
                        .with("yard", "savannah");
        Main.require(Main.users.submit(job) / 100 == 2, "the job was not accepted");
        Thread.sleep(400);
        if (trouble) {
            Main.nodes.cutFromStateAndPeers(leader);
            Rec.say("TROUBLE 2: %s has lost the state service and the other controllers",
                    Main.nodes.labels.get(leader));
        }
        Main.users.avoid(Main.nodes.addresses.get(leader));
        Thread.sleep(200);
        String answer = Main.users.cancel(job.uid());
        double told = Rec.now();
        Rec.say("the user is told: %s", answer);
        Main.require(answer.equals("cancelled"), "the job was not cancelled");
        Main.sleepUntil(Math.max(begin + 5.5, told + 0.5));
        if (trouble) {
            worker.link.heal();
            Rec.say("TROUBLE 1 is over after %.1f s: %s has the network again",
                    Rec.now() - begin, worker.host);
        }
        double healed = Rec.now();
        List<String> late = new ArrayList<>();
        while (Rec.now() < healed + 25) {
            Thread.sleep(1000);
            Main.users.poll(job.uid());
        }
        for (Worker.Launch launch : worker.launches) {
            Rec.log(
                    "launch %s try %d came at %.3f by %s, sent at %.3f",
                    launch.shard(), launch.attempt(), launch.at(), launch.by(), launch.sentAt());
            if (launch.shard().startsWith(job.uid()) && launch.sentAt() > told) {
                late.add(String.format("%.1f s", launch.sentAt() - told));
            }
        }
        boolean started = false;
        for (Worker.Launch start : worker.starts) {
            if (start.shard().startsWith(job.uid()) && start.at() > told) {
                started = true;
                Rec.say("%s started %.1f s after its user was told that it is cancelled",
                        start.shard(), start.at() - told);
            }
        }
        Rec.say("launch commands sent after the user was told: %s", late);
        return !(started && !late.isEmpty());
    }
}
