package org.woadloom.cli;

/** Sets up logging to standard error before the first logger is made. */
final class Logging {
    private Logging() {}

    static void configure(String level) {
        String simpleLoggerLevel =
                level == null
                        ? "info"
                        : switch (level) {
                            case "error", "info", "debug" -> level;
                            default -> "info";
                        };
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.setProperty("org.slf4j.simpleLogger.logFile", "System.err");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
        System.setProperty("org.slf4j.simpleLogger.log.org.woadloom", simpleLoggerLevel);
    }
}
