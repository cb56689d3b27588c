package org.woadloom.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class CborTest {
    @Test
    void decodingAnEncodedMapReturnsAnEqualMap() throws MalformedMessageException {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("text", "ärger");
        map.put("list", Arrays.asList(1L, -5_000_000_000L, 2.5, true, null, List.of()));
        map.put("map", Map.of("a", Map.of("b", 1L)));
        assertEquals(map, Cbor.decodeMap(Cbor.encode(map)));
    }

    @Test
    void decodingACorruptedBodyThrowsOnlyMalformedMessageException() {
        byte[] validBody =
                Cbor.encode(Map.of("list", List.of(1L, "two", 3.0), "map", Map.of("k", "v")));
        Random random = new Random(7);
        int refused = 0;
        for (int round = 0; round < 20_000; round++) {
            byte[] body = Arrays.copyOf(validBody, random.nextInt(validBody.length + 1));
            for (int i = 0; i < body.length && i < 3; i++) {
                body[random.nextInt(body.length)] = (byte) random.nextInt(256);
            }
            try {
                Cbor.decodeMap(body);
            } catch (MalformedMessageException e) {
                refused++;
            }
        }
        assertEquals(true, refused > 5_000);
        assertThrows(MalformedMessageException.class, () -> Cbor.decodeMap(new byte[0]));
        assertThrows(MalformedMessageException.class, () -> Cbor.decodeMap(Cbor.encode(List.of())));
    }

    @Test
    void maxJsonSizeIsAtLeastTheLengthAsJson() {
        assertEquals(
                "{\"a\":[1,2.5,null]}".length()
                        <= Cbor.maxJsonSize(Map.of("a", Arrays.asList(1L, 2.5, null))),
                true);
    }
}
