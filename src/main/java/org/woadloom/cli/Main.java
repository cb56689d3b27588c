package org.woadloom.cli;

import java.nio.file.Path;
import org.woadloom.node.Server;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.ServiceSettingsFile;
import org.woadloom.settings.SettingsException;

/** The program's entry. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws Exception {
        Logging.configure(System.getenv("LOG_LEVEL"));
        try {
            ServiceSettings settings = ServiceSettingsFile.read(Path.of(args[args.length - 1]));
            Server.start(settings, OperatorSettings.defaults());
        } catch (SettingsException e) {
            System.err.println("woadloom: " + e.getMessage());
            System.exit(2);
        }
    }
}
