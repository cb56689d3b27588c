package org.woadloom.cli;

/** Configures logging to standard error. Must run before the first logger is created. */
final class Logging {
    private Logging() {}

    /** Sets the log level: error, info or debug; any other value, and null, mean info. */
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
