package org.woadloom.core.machines;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadloom.core.LeaderFixture;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;
import org.woadloom.protocol.Heartbeat;
import org.woadloom.protocol.TaskCommand;
import org.woadloom.protocol.TaskId;
import org.woadloom.protocol.TaskStatus;

/** An agent as the protocol describes it, which a test connects to a {@link LeaderFixture}. */
final class ProtocolAgent {
    private static final int OK = 200;
    private static final int CONFLICT = 409;

    /** One attempt to run a task. */
    record Attempt(TaskId task, long number) {
        static Attempt of(TaskCommand command) {
            return new Attempt(command.task(), command.attempt());
        }
    }

    final String host;

    /** Attempts that were started again after the agent had forgotten them. */
    final List<Attempt> startedAgain = new ArrayList<>();

    final Set<Attempt> acknowledged = new HashSet<>();

    /** While set, starts are refused for this reason. */
    TaskStatus.ExitReason refusal;

    /** While set, direct commands to this agent stay under way. */
    boolean holdsCommands;

    /** While set, it sends no heartbeats. */
    boolean silent;

    int conflicts;
    long fencingToken;

    /** Every heartbeat's answer that arrived. */
    final List<SchedulerAction.AnswerHeartbeat> answers = new ArrayList<>();

    private final Map<Attempt, TaskStatus> tasks = new LinkedHashMap<>();
    private final Set<Attempt> started = new HashSet<>();
    private final List<SchedulerAction.SendDirectCommand> executed = new ArrayList<>();
    private LeaderFixture leader;
    private int nextAction;
    private long incarnation = 1;
    private long sequence;

    ProtocolAgent(LeaderFixture leader, String host) {
        this.leader = leader;
        this.host = host;
    }

    void follow(LeaderFixture newLeader) {
        leader = newLeader;
        nextAction = 0;
    }

    /** Starts again in the next incarnation, without tasks. */
    void startNextIncarnation() {
        incarnation++;
        tasks.clear();
    }

    /** Starts again with nothing of what it knew, counting from the first incarnation. */
    void loseState() {
        incarnation = 1;
        sequence = 0;
        fencingToken = 0;
        tasks.clear();
    }

    void sendHeartbeat() {
        if (silent) {
            return;
        }
        SchedulerAction.AnswerHeartbeat answer = leader.sendHeartbeat(status());
        if (answer != null) {
            receive(answer);
        }
    }

    /** Sends a heartbeat whose answer gets lost. */
    SchedulerAction.AnswerHeartbeat sendHeartbeatWithoutAnswer() {
        return leader.sendHeartbeat(status());
    }

    void receive(SchedulerAction.AnswerHeartbeat answer) {
        if (answer.fencingToken() >= fencingToken) {
            answers.add(answer);
            fencingToken = answer.fencingToken();
            execute(answer.commands());
        }
    }

    /** Executes and answers the direct commands that the leader has sent, if they are not held. */
    void receiveCommands() {
        while (!holdsCommands && nextAction < leader.actions.size()) {
            SchedulerAction action = leader.actions.get(nextAction);
            nextAction++;
            if (action instanceof SchedulerAction.SendDirectCommand command
                    && command.host().equals(host)) {
                int status = execute(command);
                leader.step(
                        new SchedulerEvent.DirectCommandCompleted(
                                command.commandId(), host, status, status()));
            }
        }
    }

    /** All direct commands that this agent executed arrive once more. */
    void receiveCopies() {
        List.copyOf(executed).forEach(this::execute);
    }

    private int execute(SchedulerAction.SendDirectCommand command) {
        if (command.fencingToken() < fencingToken || command.incarnation() != incarnation) {
            conflicts++;
            return CONFLICT;
        }
        fencingToken = command.fencingToken();
        executed.add(command);
        execute(command.commands());
        return OK;
    }

    private void execute(List<TaskCommand> commands) {
        for (TaskCommand command : commands) {
            Attempt attempt = Attempt.of(command);
            TaskStatus status = tasks.get(attempt);
            switch (command.action()) {
                case START -> start(attempt);
                case STOP -> {
                    if (status != null && status.state() != TaskStatus.State.EXITED) {
                        exit(attempt, TaskStatus.ExitReason.STOPPED);
                    }
                }
                case ACKNOWLEDGE_EXIT -> {
                    if (status != null && status.state() == TaskStatus.State.EXITED) {
                        tasks.remove(attempt);
                        acknowledged.add(attempt);
                    }
                }
            }
        }
    }

    private void start(Attempt attempt) {
        if (tasks.containsKey(attempt)) {
            return;
        }
        if (!started.add(attempt)) {
            startedAgain.add(attempt);
        }
        if (refusal != null) {
            exit(attempt, refusal);
        } else if (running().stream().anyMatch(other -> other.task().equals(attempt.task()))) {
            exit(attempt, TaskStatus.ExitReason.ALREADY_RUNNING);
        } else {
            tasks.put(
                    attempt,
                    new TaskStatus(
                            attempt.task(),
                            attempt.number(),
                            TaskStatus.State.RUNNING,
                            null,
                            false));
        }
    }

    List<Attempt> running() {
        return tasks.entrySet().stream()
                .filter(entry -> entry.getValue().state() == TaskStatus.State.RUNNING)
                .map(Map.Entry::getKey)
                .toList();
    }

    int exitedCount() {
        return tasks.size() - running().size();
    }

    void exit(Attempt attempt, TaskStatus.ExitReason reason) {
        tasks.put(
                attempt,
                new TaskStatus(
                        attempt.task(), attempt.number(), TaskStatus.State.EXITED, reason, false));
    }

    private Heartbeat status() {
        sequence++;
        return LeaderFixture.heartbeat(
                host,
                incarnation,
                sequence,
                fencingToken,
                tasks.values().toArray(new TaskStatus[0]));
    }
}
