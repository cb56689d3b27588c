/** The rule on jobs left waiting: 90 s beside a machine that fits and has room. */
final class Waiting {
    private static final double BOUND_S = 90;

    private Waiting() {}

    /**
     * True if the job of one task runs before the bound is over. The machine must have had room at each look,
     * and the user's last polls must have been answered; otherwise the case says nothing.
     */
    static boolean runsInTime(Job job, Worker worker) throws Exception {
        double from = Rec.now();
        double leastCpus = Double.MAX_VALUE;
        double leastRam = Double.MAX_VALUE;
        String status = "-";
        while (Rec.now() < from + BOUND_S + 1) {
            Thread.sleep(3000);
            status = Main.users.poll(job.uid());
            if (status.equals("running") || worker.running().contains(job.uid() + "/0")) {
                Rec.say("%.0f s: the job %s runs", Rec.now() - from, job.uid());
                return true;
            }
            double[] room = worker.room();
            leastCpus = Math.min(leastCpus, room[0]);
            leastRam = Math.min(leastRam, room[1]);
            Rec.say(
                    "%.0f s: the job %s needs %s CPUs and %s GB and is %s; %s has %s of %s CPUs and %s"
                            + " of %s GB free and runs %s",
                    Rec.now() - from,
                    job.uid(),
                    job.number("vcpus"),
                    job.number("ramGb"),
                    status,
                    worker.host,
                    room[0],
                    worker.type.cpus(),
                    room[1],
                    worker.type.ramGb(),
                    worker.running());
        }
        Main.require(status.equals("queued"), "the last poll did not say queued: " + status);
        Main.require(
                leastCpus >= job.number("vcpus") && leastRam >= job.number("ramGb"),
                "the machine did not have room all the time");
        return false;
    }
}
