package org.woadloom.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The operating system process of one controller node. */
final class NodeProcess {
    private static final long KILL_TIMEOUT_SECONDS = 10;

    private final List<String> command = new ArrayList<>();
    private final Path log;
    private Process process;
    private int unexpectedExits;

    NodeProcess(List<String> program, Path settings, Path log) {
        command.addAll(program);
        command.add(settings.toString());
        this.log = log;
    }

    void start() throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.environment().put("LOG_LEVEL", "info");
        process = builder.start();
    }

    /** Whether the process was started and has not been killed since, even if it has exited. */
    boolean isStarted() {
        return process != null;
    }

    /** Kills the process with SIGKILL, which it cannot handle. */
    void kill() throws InterruptedException {
        if (process == null) {
            return;
        }
        if (!process.isAlive()) {
            unexpectedExits++;
        }
        process.destroyForcibly();
        process.waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        process = null;
    }

    void pause() throws IOException, InterruptedException {
        sendSignal("-STOP");
    }

    void resume() throws IOException, InterruptedException {
        sendSignal("-CONT");
    }

    private void sendSignal(String name) throws IOException, InterruptedException {
        if (process != null && process.isAlive()) {
            new ProcessBuilder("kill", name, Long.toString(process.pid())).start().waitFor();
        }
    }

    /** How many times the process exited without being killed. */
    int unexpectedExits() {
        return unexpectedExits + (process != null && !process.isAlive() ? 1 : 0);
    }

    /** Counts the lines of its log that contain the text. */
    long countLogLines(String text) throws IOException {
        if (!Files.exists(log)) {
            return 0;
        }
        try (var lines = Files.lines(log)) {
            return lines.filter(line -> line.contains(text)).count();
        }
    }
}
