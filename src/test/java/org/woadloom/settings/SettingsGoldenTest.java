package org.woadloom.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.woadloom.golden.GoldenFile;

/**
 * Guards against a settings key that is read into the wrong field or not at all: every key of the
 * golden files has a distinct value.
 */
class SettingsGoldenTest {
    private static final Path DIRECTORY = Path.of("src/test/resources/golden");

    private static String read(String file) throws IOException {
        return Files.readString(DIRECTORY.resolve(file));
    }

    @Test
    void serviceSettingsMatchGoldenFile() throws IOException, SettingsException {
        ServiceSettings s = ServiceSettingsFile.parse("settings.toml", read("settings.toml"));
        GoldenFile golden = new GoldenFile();
        golden.addText("label", s.label());
        golden.addText("area", s.zone());
        golden.addText("bind", s.bind());
        golden.addText("peer_bind", s.peerBind());
        for (Peer peer : s.peers()) {
            golden.addText("peers " + peer.label(), peer.zone() + " " + peer.address());
        }
        golden.addText("outside.cloud", s.cloudAddress());
        golden.addText("outside.state", s.storeAddress());
        golden.addText("deployment.zones", String.join(" ", s.zones()));
        for (Team team : s.teams()) {
            golden.addText(
                    "deployment.teams " + team.name(),
                    "cpus "
                            + team.cpus()
                            + " cpus_max "
                            + team.cpusMax()
                            + " gpus "
                            + team.gpus()
                            + " gpus_max "
                            + team.gpusMax());
        }
        for (Objective o : s.objectives()) {
            golden.addText(
                    "deployment.objectives " + o.kind(),
                    "class "
                            + o.jobClass()
                            + " within_s "
                            + o.withinSeconds()
                            + " share "
                            + o.share()
                            + " times "
                            + o.deadlineMultiple());
        }
        golden.addText(
                "deployment.workers",
                "report "
                        + s.agents().heartbeatMicros()
                        + " lease "
                        + s.agents().leaseMicros()
                        + " cancel "
                        + s.agents().cancelMicros());
        golden.addText("deployment.state", storeLimits(s.store()));
        golden.addText("deployment.state.next", storeLimits(s.store().next()));
        golden.addText(
                "deployment.cloud",
                "rps " + s.cloud().rps() + " list_lag " + s.cloud().listLagMicros());
        golden.addText(
                "deployment.resources",
                "cpu_share "
                        + s.resources().cpuShare()
                        + " ram_mb "
                        + s.resources().ramMb()
                        + " fd_limit "
                        + s.resources().fdLimit());
        golden.check("settings.txt");
    }

    private static String storeLimits(ServiceSettings.Store limits) {
        return "rps "
                + limits.rps()
                + " write_rps "
                + limits.writeRps()
                + " value_bytes "
                + limits.valueBytes()
                + " txn_ops "
                + limits.txnOps();
    }

    @Test
    void operatorSettingsMatchGoldenFile() throws IOException, SettingsException {
        GoldenFile golden = new GoldenFile();
        golden.addText("defaults", OperatorSettings.defaults().describe());
        golden.addText(
                "all set",
                OperatorSettingsFile.parse("operator.hcl", read("operator.hcl")).describe());
        golden.check("operator.txt");
    }
}
