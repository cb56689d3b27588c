package org.woadloom.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The process of one controller node: started, killed, paused and continued by its id. */
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

    /** Whether it was started and not killed since. */
    boolean isStarted() {
        return process != null;
    }

    /** Ends the process without a signal that it could handle. */
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

    /** How often the process was found to have ended by itself. */
    int unexpectedExits() {
        return unexpectedExits + (process != null && !process.isAlive() ? 1 : 0);
    }

    /** How many lines of its log contain the text. */
    long countLogLines(String text) throws IOException {
        if (!Files.exists(log)) {
            return 0;
        }
        try (var lines = Files.lines(log)) {
            return lines.filter(line -> line.contains(text)).count();
        }
    }
}
