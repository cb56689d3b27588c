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
    record Decoded(BitSet completedTasks, List<JobRecord.RecordedAttempt> attempts) {}

    /**
     * A machine's name in two parts: names that a cloud counts up differ in their numbers alone.
     */
    private record MachineName(String stem, int digitCount, long number)
            implements Comparable<MachineName> {
        static MachineName of(String host) {
            int numberStart = host.length();
            while (numberStart > 0
                    && host.length() - numberStart < MAX_DIGITS
                    && Character.digit(host.charAt(numberStart - 1), 10) >= 0
                    && host.charAt(numberStart - 1) < 128) {
                numberStart--;
            }
            return new MachineName(
                    host.substring(0, numberStart),
                    host.length() - numberStart,
                    numberStart == host.length() ? 0 : Long.parseLong(host.substring(numberStart)));
        }

        String host() {
            if (digitCount == 0) {
                return stem;
            }
            String number = Long.toString(this.number);
            return stem + "0".repeat(digitCount - number.length()) + number;
        }

        boolean hasSameStem(MachineName other) {
            return other != null && stem.equals(other.stem) && digitCount == other.digitCount;
        }

        @Override
        public int compareTo(MachineName other) {
            return Comparator.comparing(MachineName::stem)
                    .thenComparingInt(MachineName::digitCount)
                    .thenComparingLong(MachineName::number)
                    .compare(this, other);
        }
    }

    private record Group(MachineName machine, long attempt, BitSet tasks) {}

    static String encode(BitSet completedTasks, List<JobRecord.RecordedAttempt> recordedAttempts) {
        List<Group> groups = sortedGroups(recordedAttempts);
        TreeSet<Long> attemptNumbers = new TreeSet<>();
        int end = completedTasks.length();
        int leadingDone = completedTasks.nextClearBit(0);
        for (Group group : groups) {
            attemptNumbers.add(group.attempt);
            end = Math.max(end, group.tasks.length());
            // A task that is done and still on a machine needs its symbol.
            int first = group.tasks.nextSetBit(0);
            leadingDone = first < 0 ? leadingDone : Math.min(leadingDone, first);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writeVarint(out, VERSION);
        writeVarint(out, leadingDone);
        List<Long> sortedAttemptNumbers = new ArrayList<>(attemptNumbers);
        writeAttempts(out, sortedAttemptNumbers);
        writeGroups(out, groups, sortedAttemptNumbers);
        TreeSet<Integer> doneOnMachine = new TreeSet<>();
        int[] symbols = symbols(completedTasks, groups, leadingDone, end, doneOnMachine);
        writeVarint(out, symbols.length);
        writeSymbols(out, symbols, bitsPerTask(groups.size()));
        writeTasks(out, doneOnMachine);
        return Base64.getEncoder().withoutPadding().encodeToString(out.toByteArray());
    }

    private static List<Group> sortedGroups(List<JobRecord.RecordedAttempt> recordedAttempts) {
        List<Group> groups = new ArrayList<>();
        for (JobRecord.RecordedAttempt recorded : recordedAttempts) {
            groups.add(
                    new Group(
                            MachineName.of(recorded.host()), recorded.attempt(), recorded.tasks()));
        }
        groups.sort(Comparator.comparing(Group::machine).thenComparingLong(Group::attempt));
        return groups;
    }

    private static void writeAttempts(ByteArrayOutputStream out, List<Long> attemptNumbers) {
        writeVarint(out, attemptNumbers.size());
        long previous = 0;
        for (long attempt : attemptNumbers) {
            writeVarint(out, attempt - previous);
            previous = attempt;
        }
    }

    private static void writeGroups(
            ByteArrayOutputStream out, List<Group> groups, List<Long> attemptNumbers) {
        writeVarint(out, groups.size());
        MachineName previous = null;
        for (Group group : groups) {
            // A difference of 0 starts a new stem, so the same machine counts as 1.
            if (group.machine.hasSameStem(previous)) {
                writeVarint(out, group.machine.number - previous.number + 1);
            } else {
                writeVarint(out, 0);
                writeString(out, group.machine.stem);
                writeVarint(out, group.machine.digitCount);
                writeVarint(out, group.machine.number);
            }
            previous = group.machine;
            if (attemptNumbers.size() > 1) {
                writeVarint(out, attemptNumbers.indexOf(group.attempt));
            }
        }
    }

    /**
     * The symbols of the tasks from front to end.
     *
     * @param doneOnMachine receives the tasks that are done and in a group
     */
    private static int[] symbols(
            BitSet completedTasks,
            List<Group> groups,
            int firstTask,
            int end,
            SortedSet<Integer> doneOnMachine) {
        int[] symbols = new int[Math.max(0, end - firstTask)];
        for (int i = 0; i < symbols.length; i++) {
            symbols[i] = completedTasks.get(firstTask + i) ? DONE : PENDING;
        }
        for (int g = 0; g < groups.size(); g++) {
            BitSet tasks = groups.get(g).tasks;
            for (int task = tasks.nextSetBit(0); task >= 0; task = tasks.nextSetBit(task + 1)) {
                int symbol = symbols[task - firstTask];
                if (symbol >= FIRST_GROUP) {
                    throw new IllegalArgumentException("task " + task + " is placed twice");
                }
                if (symbol == DONE) {
                    doneOnMachine.add(task);
                }
                symbols[task - firstTask] = FIRST_GROUP + g;
            }
        }
        return symbols;
    }

    private static void writeTasks(ByteArrayOutputStream out, SortedSet<Integer> tasks) {
        writeVarint(out, tasks.size());
        int previous = 0;
        for (int task : tasks) {
            writeVarint(out, task - previous);
            previous = task;
        }
    }

    /** How many bits a task's symbol takes where there are so many groups. */
    public static int bitsPerTask(int groupCount) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(FIRST_GROUP + groupCount - 1);
    }

    private static void writeVarint(ByteArrayOutputStream out, long value) {
        long remaining = value;
        while ((remaining & ~0x7fL) != 0) {
            out.write((int) ((remaining & 0x7f) | 0x80));
            remaining >>>= 7;
        }
        out.write((int) remaining);
    }

    private static void writeString(ByteArrayOutputStream out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        writeVarint(out, bytes.length);
        out.writeBytes(bytes);
    }

    private static void writeSymbols(ByteArrayOutputStream out, int[] symbols, int bitsPerSymbol) {
        BitSet packed = new BitSet();
        for (int i = 0; i < symbols.length; i++) {
            for (int b = 0; b < bitsPerSymbol; b++) {
                packed.set(i * bitsPerSymbol + b, (symbols[i] >> b & 1) == 1);
            }
        }
        byte[] bytes =
                Arrays.copyOf(packed.toByteArray(), (symbols.length * bitsPerSymbol + 7) / 8);
        out.writeBytes(bytes);
    }

    static Decoded decode(String text, int taskCount) throws MalformedMessageException {
        Input in;
        try {
            in = new Input(Base64.getDecoder().decode(text));
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("progress: not Base64");
        }
        if (in.readVarint() != VERSION) {
            throw new MalformedMessageException("progress: a version that is not known");
        }
        int leadingDone = in.readCount(taskCount);
        long[] attemptNumbers = readAttempts(in, taskCount);
        List<JobRecord.RecordedAttempt> recordedAttempts =
                readGroups(in, taskCount, attemptNumbers);
        BitSet completedTasks = new BitSet();
        completedTasks.set(0, leadingDone);
        readSymbols(in, leadingDone, taskCount, completedTasks, recordedAttempts);
        int task = 0;
        for (int remaining = in.readCount(taskCount); remaining > 0; remaining--) {
            task += in.readCount(taskCount - 1 - task);
            completedTasks.set(task);
        }
        return new Decoded(completedTasks, recordedAttempts);
    }

    private static long[] readAttempts(Input in, int taskCount) throws MalformedMessageException {
        long[] attemptNumbers = new long[in.readCount(taskCount)];
        long attempt = 0;
        for (int i = 0; i < attemptNumbers.length; i++) {
            attempt += in.readVarint();
            attemptNumbers[i] = attempt;
        }
        return attemptNumbers;
    }

    private static List<JobRecord.RecordedAttempt> readGroups(
            Input in, int taskCount, long[] attemptNumbers) throws MalformedMessageException {
        List<JobRecord.RecordedAttempt> recordedAttempts = new ArrayList<>();
        int groupCount = in.readCount(taskCount);
        MachineName name = null;
        for (int g = 0; g < groupCount; g++) {
            name = readName(in, name);
            int attemptIndex =
                    attemptNumbers.length > 1
                            ? in.readCount(attemptNumbers.length - 1)
                            : in.readOnlyIndex(attemptNumbers.length);
            recordedAttempts.add(
                    new JobRecord.RecordedAttempt(
                            name.host(), attemptNumbers[attemptIndex], new BitSet()));
        }
        return recordedAttempts;
    }

    /**
     * @param previous the name before, null for the first
     */
    private static MachineName readName(Input in, MachineName previous)
            throws MalformedMessageException {
        long delta = in.readVarint();
        MachineName name = null;
        if (delta == 0) {
            name = new MachineName(in.readString(), in.readCount(MAX_DIGITS), in.readVarint());
        } else if (previous != null) {
            name = new MachineName(previous.stem, previous.digitCount, previous.number + delta - 1);
        }
        if (name == null || Long.toString(name.number).length() > Math.max(1, name.digitCount)) {
            throw new MalformedMessageException("progress: a machine without a name");
        }
        return name;
    }

    private static void readSymbols(
            Input in,
            int firstTask,
            int taskCount,
            BitSet completedTasks,
            List<JobRecord.RecordedAttempt> recordedAttempts)
            throws MalformedMessageException {
        int groupCount = recordedAttempts.size();
        int bitsPerSymbol = bitsPerTask(groupCount);
        int symbolCount = in.readCount(taskCount - firstTask);
        BitSet packed = in.readBits(symbolCount * bitsPerSymbol);
        for (int i = 0; i < symbolCount; i++) {
            int symbol = 0;
            for (int b = 0; b < bitsPerSymbol; b++) {
                symbol |= packed.get(i * bitsPerSymbol + b) ? 1 << b : 0;
            }
            if (symbol == DONE) {
                completedTasks.set(firstTask + i);
            } else if (symbol >= FIRST_GROUP + groupCount) {
                throw new MalformedMessageException("progress: a group that is not there");
            } else if (symbol >= FIRST_GROUP) {
                recordedAttempts.get(symbol - FIRST_GROUP).tasks().set(firstTask + i);
            }
        }
    }

    /** Reads what {@link #encode} wrote, refusing whatever it could not have written. */
    private static final class Input {
        private final byte[] bytes;
        private int position;

        Input(byte[] bytes) {
            this.bytes = bytes;
        }

        long readVarint() throws MalformedMessageException {
            long value = 0;
            for (int shift = 0; shift < Long.SIZE - 1; shift += 7) {
                byte b = readByte();
                value |= (long) (b & 0x7f) << shift;
                if (b >= 0) {
                    return value;
                }
            }
            throw new MalformedMessageException("progress: a number that is too large");
        }

        int readCount(int max) throws MalformedMessageException {
            long value = readVarint();
            if (value > max) {
                throw new MalformedMessageException("progress: a number that is too large");
            }
            return (int) value;
        }

        int readOnlyIndex(int size) throws MalformedMessageException {
            if (size == 0) {
                throw new MalformedMessageException("progress: a group without an attempt");
            }
            return 0;
        }

        String readString() throws MalformedMessageException {
            byte[] part = readBytes(readCount(bytes.length));
            return new String(part, StandardCharsets.UTF_8);
        }

        BitSet readBits(int bitCount) throws MalformedMessageException {
            return BitSet.valueOf(readBytes((bitCount + 7) / 8));
        }

        private byte[] readBytes(int length) throws MalformedMessageException {
            if (length > bytes.length - position) {
                throw new MalformedMessageException("progress: cut short");
            }
            position += length;
            return Arrays.copyOfRange(bytes, position - length, position);
        }

        private byte readByte() throws MalformedMessageException {
            if (position >= bytes.length) {
                throw new MalformedMessageException("progress: cut short");
            }
            return bytes[position++];
        }
    }
}
