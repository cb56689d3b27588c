package org.woadloom.core;

import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Team;
import org.woadloom.state.JobRecord;
import org.woadloom.state.MachineRecord;
import org.woadloom.state.RecordFormat;
import org.woadloom.wire.JobDescription;
import org.woadloom.wire.MachineType;
import org.woadloom.wire.Order;
import org.woadloom.wire.TaskId;
import org.woadloom.wire.TaskReport;
import org.woadloom.wire.WireException;
import org.woadloom.wire.WorkerReport;

/**
 * Measures what the core costs by the size of the fleet: machines that report every four seconds, three open jobs for each of
 * them, most of which wait. Prints processor time and allocation for a step and a heartbeat, and where the time goes. Run by hand, never
 * by the tests: {@code java -cp target/classes:target/test-classes:LIBRARIES org.woadloom.core.StepCost MACHINES...}
 */
final class StepCost {
    private static final long SECOND = 1_000_000;
    private static final long STEP_MICROS = 10_000;
    private static final long HEARTBEAT_MICROS = 4 * SECOND;
    private static final int WARM_UP_S = 20;
    private static final int MEASURED_S = 5;
    private static final int JOBS_PER_MACHINE = 3;
    private static final int CLASSES = 6;
    private static final int TEAMS = 5;
    private static final long TERM = 5;
    private static final MachineType TYPE = new MachineType("m16", 16, 0, 32, 50, 1, 1, 0.3, 30 * SECOND, List.of("a", "b", "c"));

    private final Random random = new Random(1);
    private final int size;
    private final Core core;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final ArrayDeque<Command> outcomes = new ArrayDeque<>();
    private long now = 100 * SECOND;
    private long stamps = 100;
    private long replies;
    private int submitted;
    private int finished;
    private long launches;
    private final Map<Long, String> asked = new LinkedHashMap<>();

    private static final class Worker {
        final String host;
        final String zone;
        final Map<TaskId, TaskReport> tasks = new LinkedHashMap<>();
        final Map<TaskId, Long> ends = new LinkedHashMap<>();
        long token;
        long tick;

        Worker(String host, String zone) {
            this.host = host;
            this.zone = zone;
        }
    }

    private StepCost(int size) {
        this.size = size;
        List<Team> teams = new ArrayList<>();
        for (int i = 0; i < TEAMS; i++) {
            teams.add(new Team("team-" + i, size * 16.0 / 2 / TEAMS, size * 16.0, 0, 0));
        }
        core = new Core(new CoreSettings("node", Map.of(), teams, List.of(), HEARTBEAT_MICROS, 16 * SECOND, 30 * SECOND, 3 * SECOND,
                OperatorSettings.defaults()));
    }

    public static void main(String[] args) throws WireException, InterruptedException {
        System.out.println("| machines, open jobs | step: mean, p99, KB | heartbeat | a second of the fleet |");
        for (String size : args) {
            new StepCost(Integer.parseInt(size)).play();
        }
    }

    private void play() throws WireException, InterruptedException {
        List<Command.StoredMachine> machines = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            Worker worker = new Worker(String.format("host-%06d", i), String.valueOf((char) ('a' + i % 3)));
            workers.put(worker.host, worker);
            machines.add(new Command.StoredMachine(new MachineRecord(worker.host, "m16", worker.zone, false, false), ++stamps));
        }
        step(new ArrayList<>(List.of(new Command.StorageSeen(8192, RecordFormat.COMPACT, 1_000, false, false),
                new Command.TypesSeen(List.of(TYPE)), new Command.Lead(TERM, List.of(), machines, now))));
        run(WARM_UP_S, null);
        List<Long> times = new ArrayList<>();
        long launchesBefore = launches;
        Sampler sampler = new Sampler(Thread.currentThread());
        sampler.start();
        long allocated = allocated();
        long heartbeats = replies;
        run(MEASURED_S, times);
        allocated = allocated() - allocated;
        heartbeats = replies - heartbeats;
        sampler.done = true;
        sampler.join();
        long total = times.stream().mapToLong(Long::longValue).sum();
        times.sort(null);
        System.out.printf("| %d, %d | %.0f us, %.0f us, %.0f | %.1f us | %.1f ms |  (%.0f heartbeats and %.0f launches a second)%n", size,
                core.jobs(), total / 1e3 / times.size(), times.get(times.size() * 99 / 100) / 1e3,
                allocated / 1024.0 / times.size(), total / 1e3 / heartbeats, total / 1e6 / MEASURED_S,
                heartbeats / (double) MEASURED_S, (launches - launchesBefore) / (double) MEASURED_S);
        sampler.print();
    }

    private static long processorNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long allocated() {
        return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean()).getThreadAllocatedBytes(Thread
                .currentThread().getId());
    }

    private void run(int seconds, List<Long> times) throws WireException {
        List<Worker> order = new ArrayList<>(workers.values());
        int next = 0;
        double due = 0;
        for (int i = 0; i < seconds * SECOND / STEP_MICROS; i++) {
            now += STEP_MICROS;
            List<Command> commands = new ArrayList<>();
            for (int left = outcomes.size(); left > 0; left--) {
                commands.add(outcomes.pollFirst());
            }
            for (due += size * (double) STEP_MICROS / HEARTBEAT_MICROS; due >= 1; due--) {
                commands.add(heartbeat(order.get(next++ % size)));
            }
            while (submitted - finished < size * JOBS_PER_MACHINE && commands.size() < 200) {
                commands.add(submission());
            }
            if (i % 10 == 0) {
                commands.add(new Command.Tick());
            }
            long took = step(commands);
            if (times != null) {
                times.add(took);
            }
        }
    }

    private Command submission() throws WireException {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", String.format("j-%06d", submitted++));
        map.put("jobclass", "class-" + random.nextInt(CLASSES));
        map.put("crew", "team-" + random.nextInt(TEAMS));
        map.put("shape", "batch");
        map.put("rank", random.nextInt(4) == 0 ? "high" : "standard");
        map.put("shards", (long) 1 + random.nextInt(4));
        map.put("vcpus", 4.0);
        map.put("ramGb", 4.0);
        map.put("bundle", "img-" + random.nextInt(40));
        map.put("runtimeS", 60.0);
        return new Command.JobSeen(JobRecord.accepted(JobDescription.parse(map), now), ++stamps);
    }

    private Command.Report heartbeat(Worker worker) {
        long id = ++replies;
        asked.put(id, worker.host);
        return new Command.Report(id, report(worker));
    }

    private WorkerReport report(Worker worker) {
        worker.ends.entrySet().removeIf(end -> {
            if (end.getValue() > now) {
                return false;
            }
            worker.tasks.computeIfPresent(end.getKey(), (id, task) -> new TaskReport(id, task.attempt(),
                    TaskReport.State.EXITED, TaskReport.Cause.DONE, false));
            return true;
        });
        return new WorkerReport(worker.host, worker.host + ":9000", "m16", worker.zone, false, 1, ++worker.tick, worker.token, -1,
                List.copyOf(worker.tasks.values()));
    }

    private void carryOut(Worker worker, long epoch, List<Order> orders) {
        worker.token = Math.max(worker.token, epoch);
        for (Order order : orders) {
            if (order.verb() == Order.Verb.LAUNCH) {
                launches++;
                worker.tasks.put(order.task(), new TaskReport(order.task(), order.attempt(), TaskReport.State.RUNNING, null, false));
                worker.ends.put(order.task(), now + random.nextInt(80) * SECOND);
            } else if (order.verb() == Order.Verb.HALT) {
                worker.ends.remove(order.task());
                worker.tasks.computeIfPresent(order.task(), (id, task) -> new TaskReport(id, task.attempt(),
                        TaskReport.State.EXITED, TaskReport.Cause.HALTED, false));
            } else {
                worker.tasks.remove(order.task());
            }
        }
    }

    /** Carries out what the core wants, and returns how many nanoseconds it took to say it. */
    private long step(List<Command> commands) {
        long begin = processorNanos();
        List<Effect> effects = core.step(now, now, commands);
        long took = processorNanos() - begin;
        for (Effect effect : effects) {
            if (effect instanceof Effect.Answer answer) {
                carryOut(workers.get(asked.remove(answer.replyId())), answer.epoch(), answer.orders());
            } else if (effect instanceof Effect.SendDirect send) {
                Worker worker = workers.get(send.host());
                carryOut(worker, send.epoch(), send.orders());
                outcomes.add(new Command.DirectResult(send.sendId(), send.host(), 200, report(worker)));
            } else if (effect instanceof Effect.PutJob put) {
                outcomes.add(new Command.JobWritten(put.record().description().uid(), put.record().version(),
                        Command.WriteOutcome.WRITTEN, ++stamps));
            } else if (effect instanceof Effect.FinishJob finish) {
                finished++;
                outcomes.add(new Command.JobWritten(finish.record().uid(), finish.version(), Command.WriteOutcome.WRITTEN, ++stamps));
            } else if (effect instanceof Effect.PutMachine put) {
                outcomes.add(new Command.MachineWritten(put.record().host(), put.record().leaving(), false,
                        Command.WriteOutcome.WRITTEN, ++stamps));
            } else if (effect instanceof Effect.Rent rent) {
                outcomes.add(new Command.Rented(rent.claim(), Command.RentOutcome.NO_CAPACITY, List.of()));
            }
        }
        return took;
    }

    /** Looks every millisecond where the measured thread is. */
    private static final class Sampler extends Thread {
        private final Thread measured;
        private final Map<String, Integer> parts = new TreeMap<>();
        private final Map<String, Integer> places = new TreeMap<>();
        private int samples;
        volatile boolean done;

        Sampler(Thread measured) {
            this.measured = measured;
            setDaemon(true);
        }

        @Override
        public void run() {
            while (!done) {
                StackTraceElement[] stack = measured.getStackTrace();
                String inner = null;
                String before = null;
                for (StackTraceElement frame : stack) {
                    if (!frame.getClassName().startsWith("org.woadloom.")) {
                        continue;
                    }
                    String name = frame.getClassName().substring(frame.getClassName().lastIndexOf('.') + 1) + "." + frame.getMethodName();
                    inner = inner == null ? name : inner;
                    if (name.equals("Core.work") || name.equals("Core.apply")) {
                        samples++;
                        parts.merge(name + " > " + (before == null ? "itself" : before), 1, Integer::sum);
                        places.merge(inner, 1, Integer::sum);
                        break;
                    }
                    before = name;
                }
                try {
                    Thread.sleep(1);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        void print() {
            print(parts, 10);
            print(places, 12);
        }

        private void print(Map<String, Integer> counts, int most) {
            Iterator<Map.Entry<String, Integer>> sorted = counts.entrySet().stream().sorted(Map.Entry.<String, Integer>comparingByValue()
                    .reversed()).limit(most).iterator();
            while (sorted.hasNext()) {
                Map.Entry<String, Integer> entry = sorted.next();
                System.out.printf("    %4.1f %% %s%n", 100.0 * entry.getValue() / samples, entry.getKey());
            }
        }
    }
}
