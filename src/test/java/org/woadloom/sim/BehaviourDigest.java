package org.woadloom.sim;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A hash over the steps of a simulated day: that of each step goes over its text and the hash of
 * the step before. A mark of six bits for each step tells later where two days part.
 */
final class BehaviourDigest {
    private static final int HASH_HEX_DIGITS = 32;
    private static final String MARK_ALPHABET =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    private final MessageDigest sha = sha256();
    private final String expectedMarks;
    private final Writer dump;
    private final StringBuilder marks = new StringBuilder();
    private byte[] hash = new byte[0];
    private int steps;
    private String lastStep = "";
    private String difference;

    /**
     * @param expectedMarks the marks of the day that this one is compared with, or null for none
     * @param dump gets the text of all steps; or null
     */
    BehaviourDigest(String expectedMarks, Writer dump) {
        this.expectedMarks = expectedMarks;
        this.dump = dump;
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Takes the text of the next step. */
    void add(String step) {
        sha.update(hash);
        hash = sha.digest(step.getBytes(StandardCharsets.UTF_8));
        marks.append(MARK_ALPHABET.charAt(hash[0] & 63));
        steps++;
        dumpStep(step);
        if (difference == null
                && expectedMarks != null
                && !expectedMarks.startsWith(markOf(steps), steps - 1)) {
            difference =
                    "step "
                            + steps
                            + " or, by one chance in 64, one shortly before it, is the first that"
                            + " differs; it is now, with the one before:\n"
                            + lastStep
                            + step;
        }
        lastStep = step;
    }

    private String markOf(int step) {
        return marks.substring(step - 1, step);
    }

    private void dumpStep(String step) {
        if (dump != null) {
            try {
                dump.write(step);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /**
     * The first step that differs from those expected, with its text; or what is known of where
     * that is.
     */
    String difference() {
        return difference != null
                ? difference
                : "there are "
                        + steps
                        + " steps, and "
                        + expectedMarks.length()
                        + " were expected; the last is now:\n"
                        + lastStep;
    }

    /** The hash over all steps so far. */
    String hash() {
        return HexFormat.of().formatHex(hash).substring(0, HASH_HEX_DIGITS);
    }

    /** One character for each step. */
    String marks() {
        return marks.toString();
    }
}
