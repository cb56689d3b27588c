package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.woadloom.core.SchedulerAction;

/**
 * Guards the log lines of accepted, done and cancelled jobs that log-reading programs match, as
 * text or as {@code key=value}.
 */
@ExtendWith(PrintReplayCommand.class)
class JobLogLinesTest {
    private static final Pattern ACCEPTED =
            Pattern.compile(
                    "job j-\\d+ of \\S+ is accepted: \\d+ tasks"
                            + "|event=job_accepted\\b.*?job=j-\\d+\\b.*?team=\\S+.*?tasks=\\d+");
    private static final Pattern DONE =
            Pattern.compile("job j-\\d+ done|event=job_done\\b.*?job=j-\\d+");
    private static final Pattern CANCELLED =
            Pattern.compile("job j-\\d+ cancelled|event=job_cancelled\\b.*?job=j-\\d+");
    private static final long RUN_MICROS = 120_000_000;

    @Test
    void jobLogLinesMatchLogReaderPatterns() {
        ClusterSimulation cluster = new ClusterSimulation(1, Scenario.DEFAULT);
        List<String> lines = new ArrayList<>();
        cluster.stepObserver =
                (node, now, commands, actions) ->
                        actions.forEach(
                                action -> {
                                    if (action instanceof SchedulerAction.Log log) {
                                        lines.add(log.entry().toString());
                                    }
                                });
        cluster.users.submitUntil(RUN_MICROS);
        cluster.loop.run(RUN_MICROS);
        for (Pattern pattern : List.of(ACCEPTED, DONE, CANCELLED)) {
            assertTrue(
                    lines.stream().anyMatch(line -> pattern.matcher(line).find()),
                    pattern.pattern());
        }
    }
}
