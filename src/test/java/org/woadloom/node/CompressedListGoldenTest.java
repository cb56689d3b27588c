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
 * Checks that a recorded list is still decompressed to the same items, and that a list that is
 * compressed now is read back. The compressed bytes may change.
 */
class CompressedListGoldenTest {
    private static final String FILE = "packed-letter.txt";

    private static List<Object> heartbeats() {
        Map<String, Object> heartbeat = new LinkedHashMap<>();
        heartbeat.put("host", "host-000231");
        heartbeat.put("tick", 17L);
        heartbeat.put("shards", List.of());
        return List.of(List.of(42L, heartbeat), List.of(43L, heartbeat));
    }

    @Test
    void decompressReadsRecordedList() throws MalformedMessageException, IOException {
        if (Boolean.getBoolean("goldenRecord")) {
            GoldenFile golden = new GoldenFile();
            golden.addBytes(
                    "reports",
                    CompressedList.compress(heartbeats()).getBytes(StandardCharsets.US_ASCII));
            golden.check(FILE);
        }
        String recorded =
                new String(GoldenFile.readBytes(FILE, "reports"), StandardCharsets.US_ASCII);
        assertEquals(
                CanonicalJson.of(heartbeats()),
                CanonicalJson.of(CompressedList.decompress(recorded)));
        assertEquals(
                CanonicalJson.of(heartbeats()),
                CanonicalJson.of(CompressedList.decompress(CompressedList.compress(heartbeats()))));
    }
}
