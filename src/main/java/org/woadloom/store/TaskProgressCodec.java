package org.woadloom.store;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import org.woadloom.protocol.MalformedMessageException;

/**
 * What is done and what is placed, as short text: a job of hundreds of tasks on as many machines
 * must fit one value of 2 KiB. After a leading version: the number of tasks at the front that are
 * done; the attempts; the machines' names, as stems with differences of their numbers; per machine
 * and attempt a group; then one symbol of a few bits for each task up to the last that is not
 * pending: pending, done, or its group. Last, the tasks that are done and still somewhere.
 */
public final class TaskProgressCodec {
    private static final int VERSION = 1;
    private static final int PENDING = 0;
    private static final int DONE = 1;
    private static final int FIRST_GROUP = 2;
    private static final int MOST_DIGITS = 17;

    private TaskProgressCodec() {}

    record Decoded(BitSet done, List<JobRecord.RecordedAttempt> placed) {}

    /**
     * A machine's name in two parts: names that a cloud counts up differ in their numbers alone.
     */
    private record Name(String stem, int digits, long number) implements Comparable<Name> {
        static Name of(String host) {
            int from = host.length();
            while (from > 0
                    && host.length() - from < MOST_DIGITS
                    && Character.digit(host.charAt(from - 1), 10) >= 0
                    && host.charAt(from - 1) < 128) {
                from--;
            }
            return new Name(
                    host.substring(0, from),
                    host.length() - from,
                    from == host.length() ? 0 : Long.parseLong(host.substring(from)));
        }

        String host() {
            if (digits == 0) {
                return stem;
            }
            String number = Long.toString(this.number);
            return stem + "0".repeat(digits - number.length()) + number;
        }

        boolean sameStem(Name other) {
            return other != null && stem.equals(other.stem) && digits == other.digits;
        }

        @Override
        public int compareTo(Name other) {
            return Comparator.comparing(Name::stem)
                    .thenComparingInt(Name::digits)
                    .thenComparingLong(Name::number)
                    .compare(this, other);
        }
    }

    private record Group(Name name, long attempt, BitSet tasks) {}

    static String encode(BitSet done, List<JobRecord.RecordedAttempt> placed) {
        List<Group> groups = new ArrayList<>();
        TreeSet<Long> attempts = new TreeSet<>();
        int end = done.length();
        for (JobRecord.RecordedAttempt p : placed) {
            groups.add(new Group(Name.of(p.host()), p.attempt(), p.tasks()));
            attempts.add(p.attempt());
            end = Math.max(end, p.tasks().length());
        }
        groups.sort(Comparator.comparing(Group::name).thenComparingLong(Group::attempt));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        number(out, VERSION);
        int front = done.nextClearBit(0);
        for (Group group : groups) {
            // What is done and still somewhere needs its symbol.
            int first = group.tasks.nextSetBit(0);
            front = first < 0 ? front : Math.min(front, first);
        }
        number(out, front);
        number(out, attempts.size());
        List<Long> order = new ArrayList<>(attempts);
        long last = 0;
        for (long attempt : order) {
            number(out, attempt - last);
            last = attempt;
        }
        number(out, groups.size());
        Name before = null;
        for (Group group : groups) {
            // A difference of 0 begins a new stem; the same machine again counts as 1.
            if (group.name.sameStem(before)) {
                number(out, group.name.number - before.number + 1);
            } else {
                number(out, 0);
                text(out, group.name.stem);
                number(out, group.name.digits);
                number(out, group.name.number);
            }
            before = group.name;
            if (order.size() > 1) {
                number(out, order.indexOf(group.attempt));
            }
        }
        TreeMap<Integer, Integer> both = new TreeMap<>();
        int[] symbols = new int[Math.max(0, end - front)];
        for (int i = 0; i < symbols.length; i++) {
            symbols[i] = done.get(front + i) ? DONE : PENDING;
        }
        for (int g = 0; g < groups.size(); g++) {
            BitSet tasks = groups.get(g).tasks;
            for (int i = tasks.nextSetBit(0); i >= 0; i = tasks.nextSetBit(i + 1)) {
                if (symbols[i - front] >= FIRST_GROUP) {
                    throw new IllegalArgumentException("task " + i + " is placed twice");
                }
                if (symbols[i - front] == DONE) {
                    both.put(i, g);
                }
                symbols[i - front] = FIRST_GROUP + g;
            }
        }
        number(out, symbols.length);
        pack(out, symbols, bits(groups.size()));
        number(out, both.size());
        int at = 0;
        for (int i : both.keySet()) {
            number(out, i - at);
            at = i;
        }
        return Base64.getEncoder().withoutPadding().encodeToString(out.toByteArray());
    }

    /** How many bits a task's symbol takes beside so many groups. */
    public static int bits(int groups) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(FIRST_GROUP + groups - 1);
    }

    private static void number(ByteArrayOutputStream out, long value) {
        long rest = value;
        while ((rest & ~0x7fL) != 0) {
            out.write((int) (rest & 0x7f | 0x80));
            rest >>>= 7;
        }
        out.write((int) rest);
    }

    private static void text(ByteArrayOutputStream out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        number(out, bytes.length);
        out.writeBytes(bytes);
    }

    private static void pack(ByteArrayOutputStream out, int[] symbols, int bits) {
        BitSet packed = new BitSet();
        for (int i = 0; i < symbols.length; i++) {
            for (int b = 0; b < bits; b++) {
                packed.set(i * bits + b, (symbols[i] >> b & 1) == 1);
            }
        }
        byte[] bytes = Arrays.copyOf(packed.toByteArray(), (symbols.length * bits + 7) / 8);
        out.writeBytes(bytes);
    }

    static Decoded decode(String text, int shards) throws MalformedMessageException {
        Input in;
        try {
            in = new Input(Base64.getDecoder().decode(text));
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("progress: not Base64");
        }
        if (in.number() != VERSION) {
            throw new MalformedMessageException("progress: a version that is not known");
        }
        int front = in.count(shards);
        long[] attempts = new long[in.count(shards)];
        long attempt = 0;
        for (int i = 0; i < attempts.length; i++) {
            attempt += in.number();
            attempts[i] = attempt;
        }
        List<JobRecord.RecordedAttempt> placed = new ArrayList<>();
        int groups = in.count(shards);
        Name name = null;
        for (int g = 0; g < groups; g++) {
            long difference = in.number();
            if (difference == 0) {
                name = new Name(in.text(), in.count(MOST_DIGITS), in.number());
            } else if (name != null) {
                name = new Name(name.stem, name.digits, name.number + difference - 1);
            }
            if (name == null || Long.toString(name.number).length() > Math.max(1, name.digits)) {
                throw new MalformedMessageException("progress: a machine without a name");
            }
            placed.add(
                    new JobRecord.RecordedAttempt(
                            name.host(),
                            attempts[
                                    attempts.length > 1
                                            ? in.count(attempts.length - 1)
                                            : in.first(attempts.length)],
                            new BitSet()));
        }
        BitSet done = new BitSet();
        done.set(0, front);
        int bits = bits(groups);
        int symbols = in.count(shards - front);
        BitSet packed = in.packed(symbols * bits);
        for (int i = 0; i < symbols; i++) {
            int symbol = 0;
            for (int b = 0; b < bits; b++) {
                symbol |= packed.get(i * bits + b) ? 1 << b : 0;
            }
            if (symbol == DONE) {
                done.set(front + i);
            } else if (symbol >= FIRST_GROUP + groups) {
                throw new MalformedMessageException("progress: a group that is not there");
            } else if (symbol >= FIRST_GROUP) {
                placed.get(symbol - FIRST_GROUP).tasks().set(front + i);
            }
        }
        int at = 0;
        for (int left = in.count(shards); left > 0; left--) {
            at += in.count(shards - 1 - at);
            done.set(at);
        }
        return new Decoded(done, placed);
    }

    /** Reads what {@link #encode} wrote, refusing whatever it could not have written. */
    private static final class Input {
        private final byte[] bytes;
        private int at;

        Input(byte[] bytes) {
            this.bytes = bytes;
        }

        long number() throws MalformedMessageException {
            long value = 0;
            for (int shift = 0; shift < Long.SIZE - 1; shift += 7) {
                byte b = next();
                value |= (long) (b & 0x7f) << shift;
                if (b >= 0) {
                    return value;
                }
            }
            throw new MalformedMessageException("progress: a number that is too large");
        }

        int count(int most) throws MalformedMessageException {
            long value = number();
            if (value > most) {
                throw new MalformedMessageException("progress: a number that is too large");
            }
            return (int) value;
        }

        int first(int size) throws MalformedMessageException {
            if (size == 0) {
                throw new MalformedMessageException("progress: a group without an attempt");
            }
            return 0;
        }

        String text() throws MalformedMessageException {
            byte[] part = part(count(bytes.length));
            return new String(part, StandardCharsets.UTF_8);
        }

        BitSet packed(int bits) throws MalformedMessageException {
            return BitSet.valueOf(part((bits + 7) / 8));
        }

        private byte[] part(int length) throws MalformedMessageException {
            if (length > bytes.length - at) {
                throw new MalformedMessageException("progress: cut short");
            }
            at += length;
            return Arrays.copyOfRange(bytes, at - length, at);
        }

        private byte next() throws MalformedMessageException {
            if (at >= bytes.length) {
                throw new MalformedMessageException("progress: cut short");
            }
            return bytes[at++];
        }
    }
}
