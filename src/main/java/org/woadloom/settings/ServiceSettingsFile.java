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
 * Reads the TOML settings file that the platform provides. Unknown keys are ignored, because the
 * platform may add some.
 */
public final class ServiceSettingsFile {
    private static final int BYTES_PER_KB = 1024;

    private ServiceSettingsFile() {}

    public static ServiceSettings read(Path path) throws SettingsException {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException | SecurityException e) {
            throw SettingsException.unreadable(path, e);
        }
        return parse(path.toString(), text);
    }

    /**
     * Reads the limits in force and the announced ones in {@code next}. A limit that {@code next}
     * omits stays unchanged.
     */
    private static ServiceSettings.Store storeLimits(TomlTable store) throws SettingsException {
        double rps = store.number("rps", 1);
        double writeRps = store.number("write_rps", 1);
        double valueKb = store.number("value_kb", 1);
        double txnOps = store.number("txn_ops", 2);
        ServiceSettings.Store next = null;
        if (store.has("next")) {
            TomlTable nextTable = store.table("next");
            next =
                    new ServiceSettings.Store(
                            nextTable.numberOr("rps", 1, rps),
                            nextTable.numberOr("write_rps", 1, writeRps),
                            (int) (nextTable.numberOr("value_kb", 1, valueKb) * BYTES_PER_KB),
                            (int) nextTable.numberOr("txn_ops", 2, txnOps),
                            null);
        }
        return new ServiceSettings.Store(
                rps, writeRps, (int) (valueKb * BYTES_PER_KB), (int) txnOps, next);
    }

    private static Config parseToml(String file, String text) throws SettingsException {
        try {
            return new TomlParser().parse(text);
        } catch (ParsingException e) {
            throw new SettingsException(file + ": invalid TOML: " + e.getMessage());
        }
    }

    private static List<Peer> peers(TomlTable root) throws SettingsException {
        List<Peer> peers = new ArrayList<>();
        for (TomlTable peer : root.tables("peers")) {
            peers.add(new Peer(peer.text("label"), peer.text("area"), peer.address("address")));
        }
        return List.copyOf(peers);
    }

    private static List<Team> teams(TomlTable deployment) throws SettingsException {
        List<Team> teams = new ArrayList<>();
        for (TomlTable team : deployment.tables("teams")) {
            teams.add(
                    new Team(
                            team.text("name"),
                            team.numberOr("cpus", 0, 0),
                            team.numberOr("cpus_max", 0, 0),
                            team.numberOr("gpus", 0, 0),
                            team.numberOr("gpus_max", 0, 0)));
        }
        return List.copyOf(teams);
    }

    private static List<Objective> objectives(TomlTable deployment) throws SettingsException {
        List<Objective> objectives = new ArrayList<>();
        for (TomlTable objective : deployment.tables("objectives")) {
            objectives.add(
                    new Objective(
                            objective.textOr("kind", ""),
                            objective.textOr("class", ""),
                            objective.numberOr("within_s", 0, 0),
                            objective.numberOr("share", 0, 0),
                            objective.numberOr("times", 1, 0)));
        }
        return List.copyOf(objectives);
    }

    /**
     * Parses the text of the file.
     *
     * @param file the name of the file, for error messages
     */
    public static ServiceSettings parse(String file, String text) throws SettingsException {
        TomlTable root = new TomlTable(file, "", parseToml(file, text));
        List<Peer> peers = peers(root);
        TomlTable endpoints = root.table("outside");
        TomlTable deployment = root.table("deployment");
        List<Team> teams = teams(deployment);
        List<Objective> objectives = objectives(deployment);
        TomlTable agents = deployment.table("workers");
        TomlTable store = deployment.table("state");
        TomlTable cloud = deployment.table("cloud");
        TomlTable resources = deployment.table("resources");
        return new ServiceSettings(
                root.text("label"),
                root.text("area"),
                root.address("bind"),
                root.address("peer_bind"),
                peers,
                endpoints.address("cloud"),
                endpoints.address("state"),
                List.copyOf(deployment.strings("zones")),
                teams,
                objectives,
                new ServiceSettings.Agents(
                        agents.secondsAsMicros("report_s", 0.01),
                        agents.secondsAsMicros("lease_s", 0.1),
                        agents.secondsAsMicros("cancel_s", 0.1)),
                storeLimits(store),
                new ServiceSettings.Cloud(
                        cloud.number("rps", 0.01), cloud.secondsAsMicros("list_lag_s", 0)),
                new ServiceSettings.Resources(
                        resources.number("cpu_share", 0.001),
                        resources.number("ram_mb", 1),
                        (int) resources.number("fd_limit", 16)));
    }
}
