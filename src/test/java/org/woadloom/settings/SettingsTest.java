package org.woadloom.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.woadloom.node.FleetSizeEstimate;

class SettingsTest {
    private static String validSettings() throws Exception {
        return Files.readString(Path.of("src/build/rehearsal.toml"));
    }

    @Test
    void serviceSettingsIgnoreUnknownFields() throws Exception {
        ServiceSettings settings =
                ServiceSettingsFile.parse("f.toml", "novel = 1\n" + validSettings());
        assertEquals("rehearsal", settings.label());
        assertEquals(1_000_000, settings.agents().heartbeatMicros());
        assertEquals(8192, settings.store().valueBytes());
        assertEquals("127.0.0.1:18933", settings.peer("other").address());
    }

    @ParameterizedTest
    @CsvSource({
        "label = \"rehearsal\",label = 3,label: expected text",
        "bind = \"127.0.0.1:18931\",bind = \"nowhere\",bind: expected an address",
        "report_s = 1.0,report_s = \"soon\",deployment.workers.report_s: expected a number",
        "lease_s = 10.0,lease_s = -1.0,deployment.workers.lease_s: expected a number",
        "area = \"b\",area = true,peers[0].area: expected text"
    })
    void invalidValueIsReportedWithFileKeyAndExpectedType(
            String original, String replacement, String expected) throws Exception {
        String text = validSettings().replace(original, replacement);
        SettingsException e =
                assertThrows(
                        SettingsException.class, () -> ServiceSettingsFile.parse("f.toml", text));
        assertTrue(e.getMessage().startsWith("f.toml: " + expected), e.getMessage());
    }

    @ParameterizedTest
    @CsvSource({
        "lease_s = 10.0,lease_s = 1.5,deployment.workers.lease_s = 1.5: shorter than two reports"
                + " (report_s = 1.0)",
        "cancel_s = 30.0,cancel_s = 9.0,deployment.workers.cancel_s = 9.0: no longer than a lease"
                + " (lease_s = 10.0)",
        "area = \"b\",area = \"moon\",area of peer other = moon: not one of deployment.zones"
    })
    void validatorReportsConflictingSettings(String original, String replacement, String expected)
            throws Exception {
        assertEquals(
                List.of(),
                SettingsValidator.problems(ServiceSettingsFile.parse("f.toml", validSettings())));
        assertTrue(validSettings().contains(original));
        List<String> problems =
                SettingsValidator.problems(
                        ServiceSettingsFile.parse(
                                "f.toml", validSettings().replace(original, replacement)));
        assertEquals(1, problems.size(), problems.toString());
        assertTrue(problems.get(0).startsWith(expected), problems.toString());
    }

    @Test
    void fleetSizeIsLimitedBySocketsOrCpu() throws Exception {
        ServiceSettings small = ServiceSettingsFile.parse("f.toml", validSettings());
        assertEquals(
                60,
                FleetSizeEstimate.of(small).maxAgents(),
                "limited by 200 sockets, half of them for agents and users");
        ServiceSettings large =
                ServiceSettingsFile.parse(
                        "f.toml", validSettings().replace("fd_limit = 200", "fd_limit = 9000"));
        assertEquals(
                1_000,
                FleetSizeEstimate.of(large).maxAgents(),
                "limited by one core, with one heartbeat per second and agent");
    }

    @Test
    void operatorSettingsHaveDefaultsAndRejectInvalidKeysAndValues() throws Exception {
        assertEquals(OperatorSettings.defaults(), OperatorSettingsFile.parse("o.hcl", ""));
        OperatorSettings set =
                OperatorSettingsFile.parse(
                        "o.hcl",
                        "reservation {\n"
                                + " ttl_s = 30\n"
                                + " renew_s = 7.5\n"
                                + "}\n"
                                + "capacity {\n"
                                + " headroom = 1\n"
                                + "}\n");
        assertEquals(30_000_000, set.reservationTtlMicros());
        assertEquals(7_500_000, set.reservationRenewMicros());
        assertEquals(1.0, set.headroom());
        assertTrue(set.leaseDelegation());
        assertFalse(
                OperatorSettingsFile.parse("o.hcl", "zones {\n care = false\n}\n")
                        .leaseDelegation());
        SettingsException unknown =
                assertThrows(
                        SettingsException.class,
                        () ->
                                OperatorSettingsFile.parse(
                                        "o.hcl", "capacity {\n haedroom = 1\n}\n"));
        assertEquals("o.hcl: capacity.haedroom: no such setting", unknown.getMessage());
        SettingsException range =
                assertThrows(
                        SettingsException.class,
                        () ->
                                OperatorSettingsFile.parse(
                                        "o.hcl", "reservation {\n ttl_s = 5\n}\n"));
        assertEquals(
                "o.hcl: reservation.renew_s: expected less than reservation.ttl_s",
                range.getMessage());
    }
}
