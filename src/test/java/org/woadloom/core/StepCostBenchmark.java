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
 * Measures the cost of the scheduler for a given cluster size: machines that send a heartbeat every
 * 4 s and three open jobs per machine, most of them pending. Prints processor time and allocation
 * per step and per heartbeat and a sampled profile, then step times and a profile for the first
 * seconds of a new leader whose agents have all lost their leases.
 *
 * <p>Run manually, not as part of the tests: {@code java -cp
 * target/classes:target/test-classes:LIBRARIES org.woadloom.core.StepCostBenchmark SIZE...}. A size
 * is a number of machines, or MACHINESxTASKS for one open job per machine with about TASKS small
 * tasks.
 */
final class StepCostBenchmark {
    private static final long SECOND = 1_000_000;
    private static final long STEP_MICROS = 10_000;
    private static final long HEARTBEAT_MICROS = 4 * SECOND;
    private static final int WARM_UP_S = 20;
    private static final int MEASURED_S = 5;
    private static final int TAKEOVER_S = 8;
    private static final int JOBS_PER_MACHINE = 3;

    /** In place of a number of tasks: jobs have 1 to 4 tasks of 4 CPUs. */
    private static final int SMALL_JOBS = 0;

    private static final int CLASSES = 6;
    private static final int TEAMS = 5;
    private static final long TERM = 5;
    private static final MachineType TYPE =
            new MachineType("m16", 16, 0, 32, 50, 1, 1, 0.3, 30 * SECOND, List.of("a", "b", "c"));

    private final Random random = new Random(1);
    private final int machineCount;

    /** The mean number of one-CPU tasks of a job, or {@link #SMALL_JOBS}. */
    private final int meanTasksOfLargeJob;

    private final SchedulerSettings settings;
    private Scheduler scheduler;
    private long term = TERM;
    private final Map<String, JobRecord> records = new LinkedHashMap<>();
    private final Map<String, SimulatedAgent> agents = new LinkedHashMap<>();
    private final ArrayDeque<SchedulerEvent> pendingEvents = new ArrayDeque<>();
    private long nowMicros = 100 * SECOND;
    private long lastRevision = 100;
    private long lastRequestId;
    private int submitted;
    private int finished;
    private long startedTasks;
    private final Map<Long, String> hostByRequestId = new LinkedHashMap<>();

    private static final class SimulatedAgent {
        final String host;
        final String zone;
        final Map<TaskId, TaskStatus> tasks = new LinkedHashMap<>();
        final Map<TaskId, Long> endMicrosByTask = new LinkedHashMap<>();
        long token;
        long sequence;
        long incarnation = 1;

        SimulatedAgent(String host, String zone) {
            this.host = host;
            this.zone = zone;
        }
    }

    private StepCostBenchmark(int machineCount, int meanTasksOfLargeJob) {
        this.machineCount = machineCount;
        this.meanTasksOfLargeJob = meanTasksOfLargeJob;
        List<Team> teams = new ArrayList<>();
        for (int i = 0; i < TEAMS; i++) {
            teams.add(
                    new Team(
                            "team-" + i,
                            machineCount * 16.0 / 2 / TEAMS,
                            machineCount * 16.0,
                            0,
                            0));
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
        scheduler = new Scheduler(settings);
    }

    public static void main(String[] args) throws MalformedMessageException, InterruptedException {
        System.out.println(
                "| machines, open jobs | step: mean, p99, KB | heartbeat | a second of the fleet"
                        + " |");
        for (String size : args) {
            String[] parts = size.split("x", 2);
            int tasks = parts.length == 1 ? SMALL_JOBS : Integer.parseInt(parts[1]);
            new StepCostBenchmark(Integer.parseInt(parts[0]), tasks).measure();
        }
    }

    private void measure() throws MalformedMessageException, InterruptedException {
        List<SchedulerEvent.StoredMachine> machines = new ArrayList<>();
        for (int i = 0; i < machineCount; i++) {
            SimulatedAgent agent =
                    new SimulatedAgent(
                            String.format("host-%06d", i), String.valueOf((char) ('a' + i % 3)));
            agents.put(agent.host, agent);
            machines.add(
                    new SchedulerEvent.StoredMachine(
                            new MachineRecord(agent.host, "m16", agent.zone, false, false),
                            ++lastRevision));
        }
        step(
                new ArrayList<>(
                        List.of(
                                new SchedulerEvent.StoreLimitsChanged(
                                        8192, RecordFormat.COMPACT, 1_000, false, false),
                                new SchedulerEvent.MachineTypesRead(List.of(TYPE)),
                                new SchedulerEvent.LeadershipAcquired(
                                        TERM, List.of(), machines, nowMicros))));
        runSteps(WARM_UP_S, null);
        List<Long> stepNanos = new ArrayList<>();
        long startedTasksBefore = startedTasks;
        Sampler sampler = new Sampler(Thread.currentThread());
        sampler.start();
        long allocated = allocatedBytes();
        long heartbeats = lastRequestId;
        runSteps(MEASURED_S, stepNanos);
        allocated = allocatedBytes() - allocated;
        heartbeats = lastRequestId - heartbeats;
        sampler.stopped = true;
        sampler.join();
        long total = stepNanos.stream().mapToLong(Long::longValue).sum();
        stepNanos.sort(null);
        System.out.printf(
                "| %d, %d | %.0f us, %.0f us, %.0f | %.1f us | %.1f ms |  (%.0f heartbeats and %.0f"
                        + " launches a second)%n",
                machineCount,
                scheduler.openJobCount(),
                total / 1e3 / stepNanos.size(),
                stepNanos.get(stepNanos.size() * 99 / 100) / 1e3,
                allocated / 1024.0 / stepNanos.size(),
                total / 1e3 / heartbeats,
                total / 1e6 / MEASURED_S,
                heartbeats / (double) MEASURED_S,
                (startedTasks - startedTasksBefore) / (double) MEASURED_S);
        sampler.print();
        measureTakeover();
    }

    /** Measures a new leader after an outage that was longer than the agents' leases. */
    private void measureTakeover() throws MalformedMessageException, InterruptedException {
        term++;
        scheduler = new Scheduler(settings);
        pendingEvents.clear();
        List<SchedulerEvent.StoredMachine> machines = new ArrayList<>();
        for (SimulatedAgent agent : agents.values()) {
            agent.tasks.clear();
            agent.endMicrosByTask.clear();
            agent.incarnation++;
            machines.add(
                    new SchedulerEvent.StoredMachine(
                            new MachineRecord(agent.host, "m16", agent.zone, false, false),
                            ++lastRevision));
        }
        List<SchedulerEvent.StoredJob> jobs = new ArrayList<>();
        records.values()
                .forEach(record -> jobs.add(new SchedulerEvent.StoredJob(record, ++lastRevision)));
        nowMicros += SECOND;
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
                                                term, jobs, machines, nowMicros))));
        List<Long> stepNanos = new ArrayList<>();
        runSteps(TAKEOVER_S, stepNanos);
        sampler.stopped = true;
        sampler.join();
        long total = stepNanos.stream().mapToLong(Long::longValue).sum();
        stepNanos.sort(null);
        System.out.printf(
                "| new leader: load %.0f ms; %d s of the fleet take %.1f s, largest step %.0f ms"
                        + " |%n",
                load / 1e6, TAKEOVER_S, total / 1e9, stepNanos.get(stepNanos.size() - 1) / 1e6);
        sampler.print();
    }

    private static long processorNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long allocatedBytes() {
        return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    private void runSteps(int seconds, List<Long> stepNanos) throws MalformedMessageException {
        List<SimulatedAgent> order = new ArrayList<>(agents.values());
        int next = 0;
        double heartbeatsDue = 0;
        for (int i = 0; i < seconds * SECOND / STEP_MICROS; i++) {
            nowMicros += STEP_MICROS;
            List<SchedulerEvent> events = new ArrayList<>();
            for (int left = pendingEvents.size(); left > 0; left--) {
                events.add(pendingEvents.pollFirst());
            }
            for (heartbeatsDue += machineCount * (double) STEP_MICROS / HEARTBEAT_MICROS;
                    heartbeatsDue >= 1;
                    heartbeatsDue--) {
                events.add(heartbeatEvent(order.get(next++ % machineCount)));
            }
            while (submitted - finished < openJobs() && events.size() < 200) {
                events.add(jobSubmission());
            }
            if (i % 10 == 0) {
                events.add(new SchedulerEvent.Tick());
            }
            long took = step(events);
            if (stepNanos != null) {
                stepNanos.add(took);
            }
        }
    }

    private boolean hasLargeJobs() {
        return meanTasksOfLargeJob != SMALL_JOBS;
    }

    private int openJobs() {
        return hasLargeJobs() ? machineCount : machineCount * JOBS_PER_MACHINE;
    }

    private long randomTaskCount() {
        return hasLargeJobs()
                ? meanTasksOfLargeJob / 2 + random.nextInt(meanTasksOfLargeJob)
                : 1 + random.nextInt(4);
    }

    private SchedulerEvent jobSubmission() throws MalformedMessageException {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("uid", String.format("j-%06d", submitted++));
        map.put("jobclass", "class-" + random.nextInt(CLASSES));
        map.put("crew", "team-" + random.nextInt(TEAMS));
        map.put("shape", "batch");
        map.put("rank", random.nextInt(4) == 0 ? "high" : "standard");
        map.put("shards", randomTaskCount());
        map.put("vcpus", hasLargeJobs() ? 1.0 : 4.0);
        map.put("ramGb", hasLargeJobs() ? 1.0 : 4.0);
        map.put("bundle", "img-" + random.nextInt(40));
        map.put("runtimeS", 60.0);
        JobRecord record = JobRecord.accepted(JobDescription.parse(map), nowMicros);
        records.put(record.description().jobId(), record);
        return new SchedulerEvent.JobStored(record, ++lastRevision);
    }

    private SchedulerEvent.HeartbeatReceived heartbeatEvent(SimulatedAgent agent) {
        long id = ++lastRequestId;
        hostByRequestId.put(id, agent.host);
        return new SchedulerEvent.HeartbeatReceived(id, nextHeartbeat(agent));
    }

    private Heartbeat nextHeartbeat(SimulatedAgent agent) {
        agent.endMicrosByTask
                .entrySet()
                .removeIf(
                        end -> {
                            if (end.getValue() > nowMicros) {
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

    private void execute(SimulatedAgent agent, long fencingToken, List<TaskCommand> commands) {
        agent.token = Math.max(agent.token, fencingToken);
        for (TaskCommand command : commands) {
            if (command.action() == TaskCommand.Action.START) {
                startedTasks++;
                agent.tasks.put(
                        command.task(),
                        new TaskStatus(
                                command.task(),
                                command.attempt(),
                                TaskStatus.State.RUNNING,
                                null,
                                false));
                agent.endMicrosByTask.put(command.task(), nowMicros + random.nextInt(80) * SECOND);
            } else if (command.action() == TaskCommand.Action.STOP) {
                agent.endMicrosByTask.remove(command.task());
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

    /** Runs one step, executes its actions, and returns the processor time of the step alone. */
    private long step(List<SchedulerEvent> events) {
        long begin = processorNanos();
        List<SchedulerAction> actions = scheduler.step(nowMicros, nowMicros, events);
        long took = processorNanos() - begin;
        for (SchedulerAction action : actions) {
            if (action instanceof SchedulerAction.AnswerHeartbeat answer) {
                execute(
                        agents.get(hostByRequestId.remove(answer.requestId())),
                        answer.fencingToken(),
                        answer.commands());
            } else if (action instanceof SchedulerAction.SendDirectCommand send) {
                SimulatedAgent agent = agents.get(send.host());
                execute(agent, send.fencingToken(), send.commands());
                pendingEvents.add(
                        new SchedulerEvent.DirectCommandCompleted(
                                send.commandId(), send.host(), 200, nextHeartbeat(agent)));
            } else if (action instanceof SchedulerAction.WriteJob put) {
                records.put(put.record().description().jobId(), put.record());
                pendingEvents.add(
                        new SchedulerEvent.JobWriteCompleted(
                                put.record().description().jobId(),
                                put.record().writeSequence(),
                                SchedulerEvent.WriteOutcome.WRITTEN,
                                ++lastRevision));
            } else if (action instanceof SchedulerAction.WriteFinalState finish) {
                finished++;
                records.remove(finish.record().jobId());
                pendingEvents.add(
                        new SchedulerEvent.JobWriteCompleted(
                                finish.record().jobId(),
                                finish.version(),
                                SchedulerEvent.WriteOutcome.WRITTEN,
                                ++lastRevision));
            } else if (action instanceof SchedulerAction.WriteMachine put) {
                pendingEvents.add(
                        new SchedulerEvent.MachineWriteCompleted(
                                put.record().host(),
                                put.record().decommissioning(),
                                false,
                                SchedulerEvent.WriteOutcome.WRITTEN,
                                ++lastRevision));
            } else if (action instanceof SchedulerAction.RentMachines rent) {
                pendingEvents.add(
                        new SchedulerEvent.ScaleOutCompleted(
                                rent.requestName(),
                                SchedulerEvent.ScaleOutOutcome.NO_CAPACITY,
                                List.of()));
            }
        }
        return took;
    }

    /** Samples the stack of the measured thread every millisecond. */
    private static final class Sampler extends Thread {
        private final Thread measured;
        private final Map<String, Integer> samplesByComponent = new TreeMap<>();
        private final Map<String, Integer> samplesByMethod = new TreeMap<>();
        private int samples;
        volatile boolean stopped;

        Sampler(Thread measured) {
            this.measured = measured;
            setDaemon(true);
        }

        @Override
        public void run() {
            while (!stopped) {
                StackTraceElement[] stack = measured.getStackTrace();
                String innermost = null;
                String caller = null;
                for (StackTraceElement frame : stack) {
                    if (!frame.getClassName().startsWith("org.woadloom.")) {
                        continue;
                    }
                    String name =
                            frame.getClassName()
                                            .substring(frame.getClassName().lastIndexOf('.') + 1)
                                    + "."
                                    + frame.getMethodName();
                    innermost = innermost == null ? name : innermost;
                    if (name.equals("LeaderTerm.runPass") || name.equals("Scheduler.step")) {
                        samples++;
                        samplesByComponent.merge(
                                name + " > " + (caller == null ? "itself" : caller),
                                1,
                                Integer::sum);
                        samplesByMethod.merge(innermost, 1, Integer::sum);
                        break;
                    }
                    caller = name;
                }
                try {
                    Thread.sleep(1);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        void print() {
            print(samplesByComponent, 10);
            print(samplesByMethod, 12);
        }

        private void print(Map<String, Integer> counts, int maxEntries) {
            Iterator<Map.Entry<String, Integer>> sorted =
                    counts.entrySet().stream()
                            .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                            .limit(maxEntries)
                            .iterator();
            while (sorted.hasNext()) {
                Map.Entry<String, Integer> entry = sorted.next();
                System.out.printf(
                        "    %4.1f %% %s%n", 100.0 * entry.getValue() / samples, entry.getKey());
            }
        }
    }
}
