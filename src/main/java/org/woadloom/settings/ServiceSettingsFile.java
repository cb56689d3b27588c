package org.woadloom.settings;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the TOML file that the platform hands over. Unknown fields are ignored: the platform may
 * add some.
 */
public final class ServiceSettingsFile {
    private ServiceSettingsFile() {}

    public static ServiceSettings read(Path path) throws SettingsException {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException | SecurityException e) {
            throw new SettingsException(path + ": cannot be read: " + e.getMessage());
        }
        return parse(path.toString(), text);
    }

    /**
     * The limits in force, and those announced in {@code next}, where what is not named stays as it
     * is.
     */
    private static ServiceSettings.Store stateLimits(Section state) throws SettingsException {
        double rps = state.number("rps", 1);
        double writeRps = state.number("write_rps", 1);
        double valueKb = state.number("value_kb", 1);
        double txnOps = state.number("txn_ops", 2);
        ServiceSettings.Store next = null;
        if (state.has("next")) {
            Section later = state.table("next");
            next =
                    new ServiceSettings.Store(
                            later.numberOr("rps", 1, rps),
                            later.numberOr("write_rps", 1, writeRps),
                            (int) (later.numberOr("value_kb", 1, valueKb) * 1024),
                            (int) later.numberOr("txn_ops", 2, txnOps),
                            null);
        }
        return new ServiceSettings.Store(rps, writeRps, (int) (valueKb * 1024), (int) txnOps, next);
    }

    public static ServiceSettings parse(String file, String text) throws SettingsException {
        Config config;
        try {
            config = new TomlParser().parse(text);
        } catch (ParsingException e) {
            throw new SettingsException(file + ": not TOML: " + e.getMessage());
        }
        Section root = new Section(file, "", config);
        List<Peer> peers = new ArrayList<>();
        for (Section s : root.tables("peers")) {
            peers.add(new Peer(s.text("label"), s.text("area"), s.address("address")));
        }
        Section outside = root.table("outside");
        Section deployment = root.table("deployment");
        List<Team> teams = new ArrayList<>();
        for (Section s : deployment.tables("teams")) {
            teams.add(
                    new Team(
                            s.text("name"),
                            s.numberOr("cpus", 0, 0),
                            s.numberOr("cpus_max", 0, 0),
                            s.numberOr("gpus", 0, 0),
                            s.numberOr("gpus_max", 0, 0)));
        }
        List<Objective> objectives = new ArrayList<>();
        for (Section s : deployment.tables("objectives")) {
            objectives.add(
                    new Objective(
                            s.textOr("kind", ""),
                            s.textOr("class", ""),
                            s.numberOr("within_s", 0, 0),
                            s.numberOr("share", 0, 0),
                            s.numberOr("times", 1, 0)));
        }
        Section agents = deployment.table("workers");
        Section state = deployment.table("state");
        Section cloud = deployment.table("cloud");
        Section resources = deployment.table("resources");
        return new ServiceSettings(
                root.text("label"),
                root.text("area"),
                root.address("bind"),
                root.address("peer_bind"),
                List.copyOf(peers),
                outside.address("cloud"),
                outside.address("state"),
                List.copyOf(deployment.texts("zones")),
                List.copyOf(teams),
                List.copyOf(objectives),
                new ServiceSettings.Agents(
                        agents.micros("report_s", 0.01),
                        agents.micros("lease_s", 0.1),
                        agents.micros("cancel_s", 0.1)),
                stateLimits(state),
                new ServiceSettings.Cloud(cloud.number("rps", 0.01), cloud.micros("list_lag_s", 0)),
                new ServiceSettings.Resources(
                        resources.number("cpu_share", 0.001),
                        resources.number("ram_mb", 1),
                        (int) resources.number("fd_limit", 16)));
    }
}
