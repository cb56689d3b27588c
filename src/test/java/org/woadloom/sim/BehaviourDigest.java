package org.woadloom.sim;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A chained hash over the steps of a simulation: each step is hashed together with the hash of the
 * previous one. Six bits of each hash are kept as a mark, which locates the first step at which two
 * simulations differ.
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
     * @param expectedMarks marks of the simulation to compare with, or null
     * @param dump receives the text of all steps, or null
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

    /** Adds the text of the next step. */
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
                            + " or, with a probability of 1/64, an earlier one is the first that"
                            + " differs; the previous and the current step are:\n"
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
     * Describes the first step that differs from the expected ones. If all marks are equal, only
     * the numbers of steps and the last step are known.
     */
    String difference() {
        return difference != null
                ? difference
                : "expected "
                        + expectedMarks.length()
                        + " steps, but there are "
                        + steps
                        + "; the last is:\n"
                        + lastStep;
    }

    /** The hash over all steps so far. */
    String hash() {
        return HexFormat.of().formatHex(hash).substring(0, HASH_HEX_DIGITS);
    }

    /** The marks of all steps so far, one character each. */
    String marks() {
        return marks.toString();
    }
}
