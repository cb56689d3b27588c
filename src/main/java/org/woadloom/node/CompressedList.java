package org.woadloom.node;

import com.google.common.io.ByteStreams;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Encodes lists as deflated CBOR in Base64. Heartbeats are repetitive and compress well, and the
 * values of a store may be small.
 */
final class CompressedList {
    private static final String ITEMS = "items";

    /**
     * The largest list that is read, in bytes before compression: far more than any stored value
     * holds, but bounded so that no corrupt value can fill the memory.
     */
    static final int MAX_UNCOMPRESSED_BYTES = 512 * 1024;

    private CompressedList() {}

    static String compress(List<Object> items) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(out)) {
            deflater.write(Cbor.encode(Map.of(ITEMS, items)));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return Base64.getEncoder().withoutPadding().encodeToString(out.toByteArray());
    }

    static List<?> decompress(String text) throws MalformedMessageException {
        try (InflaterInputStream in =
                new InflaterInputStream(
                        new ByteArrayInputStream(Base64.getDecoder().decode(text)))) {
            byte[] bytes = ByteStreams.limit(in, MAX_UNCOMPRESSED_BYTES).readAllBytes();
            return new Fields(Cbor.decodeMap(bytes)).list(ITEMS);
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedMessageException("expected a list as Base64 of deflated CBOR");
        }
    }
}
