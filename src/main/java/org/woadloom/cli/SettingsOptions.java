package org.woadloom.cli;

import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.OperatorSettingsFile;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.ServiceSettingsFile;
import org.woadloom.settings.SettingsException;

/** Command-line options for the two settings files, shared by several commands. */
final class SettingsOptions {
    private SettingsOptions() {}

    static Options options() {
        return new Options()
                .addOption(
                        Option.builder()
                                .longOpt("config")
                                .hasArg()
                                .argName("FILE")
                                .required()
                                .desc("settings file of the platform (TOML)")
                                .build())
                .addOption(
                        Option.builder()
                                .longOpt("operator")
                                .hasArg()
                                .argName("FILE")
                                .desc(
                                        "settings file of the operators (HCL); without it, defaults"
                                                + " apply")
                                .build());
    }

    static ServiceSettings readServiceSettings(CommandLine line) throws SettingsException {
        return ServiceSettingsFile.read(Path.of(line.getOptionValue("config")));
    }

    static OperatorSettings readOperatorSettings(CommandLine line) throws SettingsException {
        String path = line.getOptionValue("operator");
        return path == null
                ? OperatorSettings.defaults()
                : OperatorSettingsFile.read(Path.of(path));
    }
}
