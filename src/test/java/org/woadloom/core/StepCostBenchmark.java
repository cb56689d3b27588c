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
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MachineType;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.protocol.TaskId;
import org.woadloom.protocol.TaskStatus;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.Team;
import org.woadloom.store.JobRecord;
import org.woadloom.store.MachineRecord;
import org.woadloom.store.RecordFormat;

/**
 * Measures what the core costs by the size of the fleet: machines that report every four seconds,
 * three open jobs for each of them, most of which wait. Prints processor time and allocation for a
 * step and a heartbeat, and where the time goes; then the same for the first seconds of a new
 * leader to whom all agents report that their leases have expired. Run by hand, never by the tests:
 * {@code java -cp target/classes:target/test-classes:LIBRARIES org.woadloom.core.StepCostBenchmark
 * SIZE...}, where a size is a number of machines, or MACHINESxTASKS for one open job a machine with
 * about so many small tasks.
 */
final class StepCostBenchmark {
    private static final long SECOND = 1_000_000;
    private static final long STEP_MICROS = 10_000;
    private static final long HEARTBEAT_MICROS = 4 * SECOND;
    private static final int WARM_UP_S = 20;
    private static final int MEASURED_S = 5;
    private static final int TAKEOVER_S = 8;
    private static final int JOBS_PER_MACHINE = 3;
    private static final int SMALL_JOBS = 0;
    private static final int CLASSES = 6;
    private static final int TEAMS = 5;
    private static final long TERM = 5;
    private static final MachineType TYPE =
            new MachineType("m16", 16, 0, 32, 50, 1, 1, 0.3, 30 * SECOND, List.of("a", "b", "c"));

    private final Random random = new Random(1);
    private final int size;

    /** Tasks of a large job, or {@link #SMALL_JOBS}. */
    private final int tasksOfLargeJob;

    private final SchedulerSettings settings;
    private Scheduler core;
    private long term = TERM;
    private final Map<String, JobRecord> records = new LinkedHashMap<>();
    private final Map<String, Worker> agents = new LinkedHashMap<>();
    private final ArrayDeque<SchedulerEvent> outcomes = new ArrayDeque<>();
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
        final Map<TaskId, TaskStatus> tasks = new LinkedHashMap<>();
        final Map<TaskId, Long> ends = new LinkedHashMap<>();
        long token;
        long sequence;
        long incarnation = 1;

        Worker(String host, String zone) {
            this.host = host;
            this.zone = zone;
        }
    }

    private StepCostBenchmark(int size, int tasksOfLargeJob) {
        this.size = size;
        this.tasksOfLargeJob = tasksOfLargeJob;
        List<Team> teams = new ArrayList<>();
        for (int i = 0; i < TEAMS; i++) {
            teams.add(new Team("team-" + i, size * 16.0 / 2 / TEAMS, size * 16.0, 0, 0));
        }
        settings =
                new SchedulerSettings(
                        "node",
                        Map.of(),
                        teams,
                        List.of(),
                        HEARTBEAT_MICROS,
                        16 * SECOND,
                        30 * SECOND,
                        3 * SECOND,
                        OperatorSettings.defaults());
        core = new Scheduler(settings);
    }

    public static void main(String[] args) throws MalformedMessageException, InterruptedException {
        System.out.println(
                "| machines, open jobs | step: mean, p99, KB | heartbeat | a second of the fleet"
                        + " |");
        for (String size : args) {
            String[] parts = size.split("x", 2);
            int tasks = parts.length == 1 ? SMALL_JOBS : Integer.parseInt(parts[1]);
            new StepCostBenchmark(Integer.parseInt(parts[0]), tasks).play();
        }
    }

    private void play() throws MalformedMessageException, InterruptedException {
        List<SchedulerEvent.StoredMachine> machines = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            Worker agent =
                    new Worker(String.format("host-%06d", i), String.valueOf((char) ('a' + i % 3)));
            agents.put(agent.host, agent);
            machines.add(
                    new SchedulerEvent.StoredMachine(
                            new MachineRecord(agent.host, "m16", agent.zone, false, false),
                            ++stamps));
        }
        step(
                new ArrayList<>(
                        List.of(
                                new SchedulerEvent.StoreLimitsChanged(
                                        8192, RecordFormat.COMPACT, 1_000, false, false),
                                new SchedulerEvent.MachineTypesRead(List.of(TYPE)),
                                new SchedulerEvent.LeadershipAcquired(
                                        TERM, List.of(), machines, now))));
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
        System.out.printf(
                "| %d, %d | %.0f us, %.0f us, %.0f | %.1f us | %.1f ms |  (%.0f heartbeats and %.0f"
                        + " launches a second)%n",
                size,
                core.openJobCount(),
                total / 1e3 / times.size(),
                times.get(times.size() * 99 / 100) / 1e3,
                allocated / 1024.0 / times.size(),
                total / 1e3 / heartbeats,
                total / 1e6 / MEASURED_S,
                heartbeats / (double) MEASURED_S,
                (launches - launchesBefore) / (double) MEASURED_S);
        sampler.print();
        takeOver();
    }

    /** A new leader after a full stop that was longer than the agents' leases. */
    private void takeOver() throws MalformedMessageException, InterruptedException {
        term++;
        core = new Scheduler(settings);
        outcomes.clear();
        List<SchedulerEvent.StoredMachine> machines = new ArrayList<>();
        for (Worker agent : agents.values()) {
            agent.tasks.clear();
            agent.ends.clear();
            agent.incarnation++;
            machines.add(
                    new SchedulerEvent.StoredMachine(
                            new MachineRecord(agent.host, "m16", agent.zone, false, false),
                            ++stamps));
        }
        List<SchedulerEvent.StoredJob> jobs = new ArrayList<>();
        records.values()
                .forEach(record -> jobs.add(new SchedulerEvent.StoredJob(record, ++stamps)));
        now += SECOND;
        Sampler sampler = new Sampler(Thread.currentThread());
        sampler.start();
        long load =
                step(
                        new ArrayList<>(
                                List.of(
                                        new SchedulerEvent.StoreLimitsChanged(
                                                8192, RecordFormat.COMPACT, 1_000, false, false),
                                        new SchedulerEvent.MachineTypesRead(List.of(TYPE)),
                                        new SchedulerEvent.LeadershipAcquired(
                                                term, jobs, machines, now))));
        List<Long> times = new ArrayList<>();
        run(TAKEOVER_S, times);
        sampler.done = true;
        sampler.join();
        long total = times.stream().mapToLong(Long::longValue).sum();
        times.sort(null);
        System.out.printf(
                "| new leader: load %.0f ms; %d s of the fleet take %.1f s, largest step %.0f ms"
                        + " |%n",
                load / 1e6, TAKEOVER_S, total / 1e9, times.get(times.size() - 1) / 1e6);
        sampler.print();
    }

    private static long processorNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long allocated() {
        return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    private void run(int seconds, List<Long> times) throws MalformedMessageException {
        List<Worker> order = new ArrayList<>(agents.values());
        int next = 0;
        double due = 0;
        for (int i = 0; i < seconds * SECOND / STEP_MICROS; i++) {
            now += STEP_MICROS;
            List<SchedulerEvent> commands = new ArrayList<>();
            for (int left = outcomes.size(); left > 0; left--) {
                commands.add(outcomes.pollFirst());
            }
            for (due += size * (double) STEP_MICROS / HEARTBEAT_MICROS; due >= 1; due--) {
                commands.add(heartbeat(order.get(next++ % size)));
            }
            while (submitted - finished < openJobs() && commands.size() < 200) {
                commands.add(submission());
            }
            if (i % 10 == 0) {
                commands.add(new SchedulerEvent.Tick());
            }
            long took = step(commands);
            if (times != null) {
                times.add(took);
            }
        }
    }

    private boolean hasLargeJobs() {
        return tasksOfLargeJob != SMALL_JOBS;
    }

    private int openJobs() {
        return hasLargeJobs() ? size : size * JOBS_PER_MACHINE;
    }

    private long tasks() {
        return hasLargeJobs()
                ? tasksOfLargeJob / 2 + random.nextInt(tasksOfLargeJob)
                : 1 + random.nextInt(4);
    }

    private SchedulerEvent submission() throws MalformedMessageException {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", String.format("j-%06d", submitted++));
        map.put("jobclass", "class-" + random.nextInt(CLASSES));
        map.put("crew", "team-" + random.nextInt(TEAMS));
        map.put("shape", "batch");
        map.put("rank", random.nextInt(4) == 0 ? "high" : "standard");
        map.put("shards", tasks());
        map.put("vcpus", hasLargeJobs() ? 1.0 : 4.0);
        map.put("ramGb", hasLargeJobs() ? 1.0 : 4.0);
        map.put("bundle", "img-" + random.nextInt(40));
        map.put("runtimeS", 60.0);
        JobRecord record = JobRecord.accepted(JobDescription.parse(map), now);
        records.put(record.description().jobId(), record);
        return new SchedulerEvent.JobStored(record, ++stamps);
    }

    private SchedulerEvent.HeartbeatReceived heartbeat(Worker agent) {
        long id = ++replies;
        asked.put(id, agent.host);
        return new SchedulerEvent.HeartbeatReceived(id, report(agent));
    }

    private Heartbeat report(Worker agent) {
        agent.ends
                .entrySet()
                .removeIf(
                        end -> {
                            if (end.getValue() > now) {
                                return false;
                            }
                            agent.tasks.computeIfPresent(
                                    end.getKey(),
                                    (id, task) ->
                                            new TaskStatus(
                                                    id,
                                                    task.attempt(),
                                                    TaskStatus.State.EXITED,
                                                    TaskStatus.ExitReason.DONE,
                                                    false));
                            return true;
                        });
        return new Heartbeat(
                agent.host,
                agent.host + ":9000",
                "m16",
                agent.zone,
                false,
                agent.incarnation,
                ++agent.sequence,
                agent.token,
                -1,
                List.copyOf(agent.tasks.values()));
    }

    private void carryOut(Worker agent, long fencingToken, List<TaskCommand> commands) {
        agent.token = Math.max(agent.token, fencingToken);
        for (TaskCommand command : commands) {
            if (command.action() == TaskCommand.Action.START) {
                launches++;
                agent.tasks.put(
                        command.task(),
                        new TaskStatus(
                                command.task(),
                                command.attempt(),
                                TaskStatus.State.RUNNING,
                                null,
                                false));
                agent.ends.put(command.task(), now + random.nextInt(80) * SECOND);
            } else if (command.action() == TaskCommand.Action.STOP) {
                agent.ends.remove(command.task());
                agent.tasks.computeIfPresent(
                        command.task(),
                        (id, task) ->
                                new TaskStatus(
                                        id,
                                        task.attempt(),
                                        TaskStatus.State.EXITED,
                                        TaskStatus.ExitReason.STOPPED,
                                        false));
            } else {
                agent.tasks.remove(command.task());
            }
        }
    }

    /** Carries out what the core wants, and returns how many nanoseconds it took to say it. */
    private long step(List<SchedulerEvent> commands) {
        long begin = processorNanos();
        List<SchedulerAction> actions = core.step(now, now, commands);
        long took = processorNanos() - begin;
        for (SchedulerAction action : actions) {
            if (action instanceof SchedulerAction.AnswerHeartbeat answer) {
                carryOut(
                        agents.get(asked.remove(answer.requestId())),
                        answer.fencingToken(),
                        answer.commands());
            } else if (action instanceof SchedulerAction.SendDirectCommand send) {
                Worker agent = agents.get(send.host());
                carryOut(agent, send.fencingToken(), send.commands());
                outcomes.add(
                        new SchedulerEvent.DirectCommandCompleted(
                                send.commandId(), send.host(), 200, report(agent)));
            } else if (action instanceof SchedulerAction.WriteJob put) {
                records.put(put.record().description().jobId(), put.record());
                outcomes.add(
                        new SchedulerEvent.JobWriteCompleted(
                                put.record().description().jobId(),
                                put.record().writeSequence(),
                                SchedulerEvent.WriteOutcome.WRITTEN,
                                ++stamps));
            } else if (action instanceof SchedulerAction.WriteFinalState finish) {
                finished++;
                records.remove(finish.record().jobId());
                outcomes.add(
                        new SchedulerEvent.JobWriteCompleted(
                                finish.record().jobId(),
                                finish.version(),
                                SchedulerEvent.WriteOutcome.WRITTEN,
                                ++stamps));
            } else if (action instanceof SchedulerAction.WriteMachine put) {
                outcomes.add(
                        new SchedulerEvent.MachineWriteCompleted(
                                put.record().host(),
                                put.record().decommissioning(),
                                false,
                                SchedulerEvent.WriteOutcome.WRITTEN,
                                ++stamps));
            } else if (action instanceof SchedulerAction.RentMachines rent) {
                outcomes.add(
                        new SchedulerEvent.ScaleOutCompleted(
                                rent.requestName(),
                                SchedulerEvent.ScaleOutOutcome.NO_CAPACITY,
                                List.of()));
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
                    String name =
                            frame.getClassName()
                                            .substring(frame.getClassName().lastIndexOf('.') + 1)
                                    + "."
                                    + frame.getMethodName();
                    inner = inner == null ? name : inner;
                    if (name.equals("LeaderTerm.runPass") || name.equals("Scheduler.step")) {
                        samples++;
                        parts.merge(
                                name + " > " + (before == null ? "itself" : before),
                                1,
                                Integer::sum);
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
            Iterator<Map.Entry<String, Integer>> sorted =
                    counts.entrySet().stream()
                            .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                            .limit(most)
                            .iterator();
            while (sorted.hasNext()) {
                Map.Entry<String, Integer> entry = sorted.next();
                System.out.printf(
                        "    %4.1f %% %s%n", 100.0 * entry.getValue() / samples, entry.getKey());
            }
        }
    }
}
