package org.woadloom.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadloom.golden.CanonicalJson;
import org.woadloom.golden.GoldenFile;
import org.woadloom.protocol.MalformedMessageException;

/**
 * A packed list that was recorded is read, and what is packed now is read as the same; how well it
 * is packed may change.
 */
class CompressedListGoldenTest {
    private static final String FILE = "packed-letter.txt";

    private static List<Object> reports() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("host", "host-000231");
        report.put("tick", 17L);
        report.put("shards", List.of());
        return List.of(List.of(42L, report), List.of(43L, report));
    }

    @Test
    void packedReportsAreReadAsRecorded() throws MalformedMessageException, IOException {
        if (Boolean.getBoolean("goldenRecord")) {
            GoldenFile golden = new GoldenFile();
            golden.addBytes(
                    "reports", CompressedList.pack(reports()).getBytes(StandardCharsets.US_ASCII));
            golden.check(FILE);
        }
        String recorded =
                new String(GoldenFile.readBytes(FILE, "reports"), StandardCharsets.US_ASCII);
        assertEquals(
                CanonicalJson.of(reports()), CanonicalJson.of(CompressedList.unpack(recorded)));
        assertEquals(
                CanonicalJson.of(reports()),
                CanonicalJson.of(CompressedList.unpack(CompressedList.pack(reports()))));
    }
}
