package org.woadloom.store;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import org.woadloom.protocol.MalformedMessageException;

/**
 * Completed tasks and recorded attempts as short text: a job of hundreds of tasks on as many
 * machines must fit one value of 2 KiB. The text is Base64 of, in this order:
 *
 * <ol>
 *   <li>the version of the format;
 *   <li>how many tasks at the front are done and on no machine;
 *   <li>the distinct attempt numbers, ascending, as differences;
 *   <li>the groups, one for each machine and attempt, sorted: the machine's name, as a stem and
 *       differences of the number behind it, and the index of the attempt where there are several;
 *   <li>a symbol of a few bits for each task up to the last that is not pending: pending, done, or
 *       its group;
 *   <li>the tasks that are done and still on a machine, as differences.
 * </ol>
 *
 * Numbers are of variable length, seven bits a byte, the lowest first.
 */
public final class TaskProgressCodec {
    private static final int VERSION = 1;

    // Symbols of tasks.
    private static final int PENDING = 0;
    private static final int DONE = 1;
    private static final int FIRST_GROUP = 2;

    /** Digits at a name's end that are taken as its number: as many as surely fit a long. */
    private static final int MAX_DIGITS = 17;

    private TaskProgressCodec() {}

    /** What a text holds. */
    record Decoded(BitSet done, List<JobRecord.RecordedAttempt> placed) {}

    /**
     * A machine's name in two parts: names that a cloud counts up differ in their numbers alone.
     */
    private record Name(String stem, int digits, long number) implements Comparable<Name> {
        static Name of(String host) {
            int from = host.length();
            while (from > 0
                    && host.length() - from < MAX_DIGITS
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
        List<Group> groups = sortedGroups(placed);
        TreeSet<Long> attempts = new TreeSet<>();
        int end = done.length();
        int front = done.nextClearBit(0);
        for (Group group : groups) {
            attempts.add(group.attempt);
            end = Math.max(end, group.tasks.length());
            // A task that is done and still on a machine needs its symbol.
            int first = group.tasks.nextSetBit(0);
            front = first < 0 ? front : Math.min(front, first);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writeNumber(out, VERSION);
        writeNumber(out, front);
        List<Long> attemptOrder = new ArrayList<>(attempts);
        writeAttempts(out, attemptOrder);
        writeGroups(out, groups, attemptOrder);
        TreeSet<Integer> doneOnMachine = new TreeSet<>();
        int[] symbols = symbols(done, groups, front, end, doneOnMachine);
        writeNumber(out, symbols.length);
        writeSymbols(out, symbols, bitsPerTask(groups.size()));
        writeTasks(out, doneOnMachine);
        return Base64.getEncoder().withoutPadding().encodeToString(out.toByteArray());
    }

    private static List<Group> sortedGroups(List<JobRecord.RecordedAttempt> placed) {
        List<Group> groups = new ArrayList<>();
        for (JobRecord.RecordedAttempt recorded : placed) {
            groups.add(new Group(Name.of(recorded.host()), recorded.attempt(), recorded.tasks()));
        }
        groups.sort(Comparator.comparing(Group::name).thenComparingLong(Group::attempt));
        return groups;
    }

    private static void writeAttempts(ByteArrayOutputStream out, List<Long> attempts) {
        writeNumber(out, attempts.size());
        long last = 0;
        for (long attempt : attempts) {
            writeNumber(out, attempt - last);
            last = attempt;
        }
    }

    private static void writeGroups(
            ByteArrayOutputStream out, List<Group> groups, List<Long> attempts) {
        writeNumber(out, groups.size());
        Name last = null;
        for (Group group : groups) {
            // A difference of 0 starts a new stem, so the same machine counts as 1.
            if (group.name.sameStem(last)) {
                writeNumber(out, group.name.number - last.number + 1);
            } else {
                writeNumber(out, 0);
                writeText(out, group.name.stem);
                writeNumber(out, group.name.digits);
                writeNumber(out, group.name.number);
            }
            last = group.name;
            if (attempts.size() > 1) {
                writeNumber(out, attempts.indexOf(group.attempt));
            }
        }
    }

    /**
     * The symbols of the tasks from front to end.
     *
     * @param doneOnMachine receives the tasks that are done and in a group
     */
    private static int[] symbols(
            BitSet done, List<Group> groups, int front, int end, SortedSet<Integer> doneOnMachine) {
        int[] symbols = new int[Math.max(0, end - front)];
        for (int i = 0; i < symbols.length; i++) {
            symbols[i] = done.get(front + i) ? DONE : PENDING;
        }
        for (int g = 0; g < groups.size(); g++) {
            BitSet tasks = groups.get(g).tasks;
            for (int task = tasks.nextSetBit(0); task >= 0; task = tasks.nextSetBit(task + 1)) {
                int symbol = symbols[task - front];
                if (symbol >= FIRST_GROUP) {
                    throw new IllegalArgumentException("task " + task + " is placed twice");
                }
                if (symbol == DONE) {
                    doneOnMachine.add(task);
                }
                symbols[task - front] = FIRST_GROUP + g;
            }
        }
        return symbols;
    }

    private static void writeTasks(ByteArrayOutputStream out, SortedSet<Integer> tasks) {
        writeNumber(out, tasks.size());
        int last = 0;
        for (int task : tasks) {
            writeNumber(out, task - last);
            last = task;
        }
    }

    /** How many bits a task's symbol takes where there are so many groups. */
    public static int bitsPerTask(int groups) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(FIRST_GROUP + groups - 1);
    }

    private static void writeNumber(ByteArrayOutputStream out, long value) {
        long rest = value;
        while ((rest & ~0x7fL) != 0) {
            out.write((int) ((rest & 0x7f) | 0x80));
            rest >>>= 7;
        }
        out.write((int) rest);
    }

    private static void writeText(ByteArrayOutputStream out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        writeNumber(out, bytes.length);
        out.writeBytes(bytes);
    }

    private static void writeSymbols(ByteArrayOutputStream out, int[] symbols, int bits) {
        BitSet packed = new BitSet();
        for (int i = 0; i < symbols.length; i++) {
            for (int b = 0; b < bits; b++) {
                packed.set(i * bits + b, (symbols[i] >> b & 1) == 1);
            }
        }
        byte[] bytes = Arrays.copyOf(packed.toByteArray(), (symbols.length * bits + 7) / 8);
        out.writeBytes(bytes);
    }

    static Decoded decode(String text, int taskCount) throws MalformedMessageException {
        Input in;
        try {
            in = new Input(Base64.getDecoder().decode(text));
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("progress: not Base64");
        }
        if (in.number() != VERSION) {
            throw new MalformedMessageException("progress: a version that is not known");
        }
        int front = in.count(taskCount);
        long[] attempts = readAttempts(in, taskCount);
        List<JobRecord.RecordedAttempt> placed = readGroups(in, taskCount, attempts);
        BitSet done = new BitSet();
        done.set(0, front);
        readSymbols(in, front, taskCount, done, placed);
        int task = 0;
        for (int left = in.count(taskCount); left > 0; left--) {
            task += in.count(taskCount - 1 - task);
            done.set(task);
        }
        return new Decoded(done, placed);
    }

    private static long[] readAttempts(Input in, int taskCount) throws MalformedMessageException {
        long[] attempts = new long[in.count(taskCount)];
        long attempt = 0;
        for (int i = 0; i < attempts.length; i++) {
            attempt += in.number();
            attempts[i] = attempt;
        }
        return attempts;
    }

    private static List<JobRecord.RecordedAttempt> readGroups(
            Input in, int taskCount, long[] attempts) throws MalformedMessageException {
        List<JobRecord.RecordedAttempt> placed = new ArrayList<>();
        int groups = in.count(taskCount);
        Name name = null;
        for (int g = 0; g < groups; g++) {
            name = readName(in, name);
            int attempt =
                    attempts.length > 1 ? in.count(attempts.length - 1) : in.first(attempts.length);
            placed.add(new JobRecord.RecordedAttempt(name.host(), attempts[attempt], new BitSet()));
        }
        return placed;
    }

    /**
     * @param last the name before, null for the first
     */
    private static Name readName(Input in, Name last) throws MalformedMessageException {
        long difference = in.number();
        Name name = null;
        if (difference == 0) {
            name = new Name(in.text(), in.count(MAX_DIGITS), in.number());
        } else if (last != null) {
            name = new Name(last.stem, last.digits, last.number + difference - 1);
        }
        if (name == null || Long.toString(name.number).length() > Math.max(1, name.digits)) {
            throw new MalformedMessageException("progress: a machine without a name");
        }
        return name;
    }

    private static void readSymbols(
            Input in, int front, int taskCount, BitSet done, List<JobRecord.RecordedAttempt> placed)
            throws MalformedMessageException {
        int groups = placed.size();
        int bits = bitsPerTask(groups);
        int symbols = in.count(taskCount - front);
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

        int count(int max) throws MalformedMessageException {
            long value = number();
            if (value > max) {
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
