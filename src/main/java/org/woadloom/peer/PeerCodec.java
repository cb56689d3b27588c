package org.woadloom.peer;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.woadloom.core.cancellation.WatermarkAck;
import org.woadloom.core.cancellation.WatermarkReport;
import org.woadloom.core.delegation.LeaseDelegation;
import org.woadloom.core.delegation.PeerStatus;

/**
 * Encodes and decodes messages between nodes with Kryo. Only registered classes can be decoded. Not
 * thread-safe.
 */
public final class PeerCodec {
    /** Maximum frame size without the length prefix; a longer frame closes the connection. */
    static final int MAX_FRAME_BYTES = 256 * 1024;

    /**
     * Maximum size of one heartbeat or record. The body of a request has 64 KiB at most, regardless
     * of the fleet size.
     */
    private static final int MAX_BYTE_ARRAY_LENGTH = 128 * 1024;

    /** Maximum number of features in a list, far more than any release has. */
    private static final int MAX_FEATURES = 100;

    /**
     * Maximum number of job ids in a report: twice what {@code ConfirmedCancellations} sends. With
     * the longest ids such a report still fits into a frame.
     */
    private static final int MAX_JOB_IDS = 4_000;

    /** Initial size of the buffer for encoding a message. */
    private static final int BUFFER_BYTES = 256;

    // Class ids in frames. They never change, and ids of removed messages are never reused.
    private static final int HELLO_ID = 10;
    private static final int PING_ID = 11;
    private static final int JOB_CHANGE_ID = 13;
    private static final int FORWARD_HEARTBEAT_ID = 14;
    private static final int FORWARDED_ANSWER_ID = 15;
    private static final int STATUS_REPORT_ID = 16;
    private static final int DELEGATION_ID = 17;
    private static final int CANCELLATION_REPORT_ID = 18;
    private static final int CANCELLATION_REPORT_ACK_ID = 19;

    private final Kryo kryo = new Kryo();

    /** Creates a codec for all messages of {@link PeerMessage}. */
    public PeerCodec() {
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        register(PeerMessage.Hello.class, HELLO_ID, PeerCodec::writeHello, PeerCodec::readHello);
        register(PeerMessage.Ping.class, PING_ID, PeerCodec::writePing, PeerCodec::readPing);
        register(
                PeerMessage.JobChangeNotification.class,
                JOB_CHANGE_ID,
                PeerCodec::writeJobChange,
                PeerCodec::readJobChange);
        register(
                PeerMessage.ForwardedHeartbeat.class,
                FORWARD_HEARTBEAT_ID,
                PeerCodec::writeForwardHeartbeat,
                PeerCodec::readForwardHeartbeat);
        register(
                PeerMessage.ForwardedAnswer.class,
                FORWARDED_ANSWER_ID,
                PeerCodec::writeForwardedAnswer,
                PeerCodec::readForwardedAnswer);
        register(
                PeerMessage.StatusReport.class,
                STATUS_REPORT_ID,
                PeerCodec::writeStatusReport,
                PeerCodec::readStatusReport);
        register(
                PeerMessage.Delegation.class,
                DELEGATION_ID,
                PeerCodec::writeDelegation,
                PeerCodec::readDelegation);
        register(
                PeerMessage.CancellationReport.class,
                CANCELLATION_REPORT_ID,
                PeerCodec::writeCancellationReport,
                PeerCodec::readCancellationReport);
        register(
                PeerMessage.CancellationReportAck.class,
                CANCELLATION_REPORT_ACK_ID,
                PeerCodec::writeCancellationReportAck,
                PeerCodec::readCancellationReportAck);
    }

    private static void writeHello(Output out, PeerMessage.Hello message) {
        out.writeString(message.label());
    }

    private static PeerMessage.Hello readHello(Input in) {
        return new PeerMessage.Hello(in.readString());
    }

    private static void writePing(Output out, PeerMessage.Ping message) {
        out.writeLong(message.term());
        out.writeString(message.leader());
        PeerMessage.RolloutView view = message.rollout();
        if (view != null) {
            out.writeLong(view.recordNumber());
            writeStrings(out, view.enabledFeatures());
            writeStrings(out, view.requiredFeatures());
            writeStrings(out, view.supportedFeatures());
        }
    }

    private static PeerMessage.Ping readPing(Input in) {
        long term = in.readLong();
        String leader = in.readString();
        // Releases up to 3 do not send the rollout view.
        boolean isAtEnd = in.position() == in.limit();
        return new PeerMessage.Ping(term, leader, isAtEnd ? null : readRolloutView(in));
    }

    private static PeerMessage.RolloutView readRolloutView(Input in) {
        return new PeerMessage.RolloutView(
                in.readLong(),
                readStrings(in, MAX_FEATURES),
                readStrings(in, MAX_FEATURES),
                readStrings(in, MAX_FEATURES));
    }

    private static void writeJobChange(Output out, PeerMessage.JobChangeNotification message) {
        out.writeLong(message.revision());
        writeBytes(out, message.record());
    }

    private static PeerMessage.JobChangeNotification readJobChange(Input in) {
        long revision = in.readLong();
        return new PeerMessage.JobChangeNotification(readBytes(in), revision);
    }

    private static void writeForwardHeartbeat(Output out, PeerMessage.ForwardedHeartbeat message) {
        out.writeLong(message.id());
        writeBytes(out, message.heartbeat());
    }

    private static PeerMessage.ForwardedHeartbeat readForwardHeartbeat(Input in) {
        return new PeerMessage.ForwardedHeartbeat(in.readLong(), readBytes(in));
    }

    private static void writeForwardedAnswer(Output out, PeerMessage.ForwardedAnswer message) {
        out.writeLong(message.id());
        out.writeInt(message.status());
        writeBytes(out, message.answer());
    }

    private static PeerMessage.ForwardedAnswer readForwardedAnswer(Input in) {
        return new PeerMessage.ForwardedAnswer(in.readLong(), in.readInt(), readBytes(in));
    }

    private static void writeStatusReport(Output out, PeerMessage.StatusReport message) {
        PeerStatus status = message.status();
        writeLongs(
                out,
                status.processId(),
                status.uptimeMicros(),
                status.sentMicros(),
                status.term(),
                status.echoedLeaderClockMicros(),
                status.noRenewalForMicros(),
                status.sinceLastRenewalMicros(),
                status.storeSilentMicros());
    }

    private static PeerMessage.StatusReport readStatusReport(Input in) {
        return new PeerMessage.StatusReport(
                new PeerStatus(
                        in.readLong(),
                        in.readLong(),
                        in.readLong(),
                        in.readLong(),
                        in.readLong(),
                        in.readLong(),
                        in.readLong(),
                        in.readLong()));
    }

    private static void writeDelegation(Output out, PeerMessage.Delegation message) {
        LeaseDelegation delegation = message.delegation();
        writeLongs(
                out,
                delegation.term(),
                delegation.statusSentMicros(),
                delegation.leaderClockMicros(),
                delegation.cancellationLagMicros());
    }

    private static PeerMessage.Delegation readDelegation(Input in) {
        return new PeerMessage.Delegation(
                new LeaseDelegation(in.readLong(), in.readLong(), in.readLong(), in.readLong()));
    }

    private static void writeCancellationReport(
            Output out, PeerMessage.CancellationReport message) {
        WatermarkReport report = message.report();
        writeLongs(
                out,
                report.term(),
                report.processId(),
                report.sentMicros(),
                report.completeSinceMicros(),
                report.echoedLeaderClockMicros(),
                report.promiseMicros());
        writeStrings(out, report.jobIds());
    }

    private static PeerMessage.CancellationReport readCancellationReport(Input in) {
        return new PeerMessage.CancellationReport(
                new WatermarkReport(
                        in.readLong(),
                        in.readLong(),
                        in.readLong(),
                        in.readLong(),
                        in.readLong(),
                        in.readLong(),
                        readStrings(in, MAX_JOB_IDS)));
    }

    private static void writeCancellationReportAck(
            Output out, PeerMessage.CancellationReportAck message) {
        WatermarkAck ack = message.ack();
        writeLongs(
                out, ack.term(), ack.processId(), ack.reportSentMicros(), ack.leaderClockMicros());
    }

    private static PeerMessage.CancellationReportAck readCancellationReportAck(Input in) {
        return new PeerMessage.CancellationReportAck(
                new WatermarkAck(in.readLong(), in.readLong(), in.readLong(), in.readLong()));
    }

    private <T> void register(
            Class<T> type, int id, BiConsumer<Output, T> writer, Function<Input, T> reader) {
        kryo.register(
                type,
                new Serializer<T>() {
                    @Override
                    public void write(Kryo ignored, Output out, T message) {
                        writer.accept(out, message);
                    }

                    @Override
                    public T read(Kryo ignored, Input in, Class<? extends T> exactType) {
                        return reader.apply(in);
                    }
                },
                id);
    }

    private static void writeLongs(Output out, long... values) {
        for (long value : values) {
            out.writeLong(value);
        }
    }

    private static void writeStrings(Output out, List<String> strings) {
        out.writeInt(strings.size());
        strings.forEach(out::writeString);
    }

    private static List<String> readStrings(Input in, int maxCount) {
        int count = in.readInt();
        if (count < 0 || count > maxCount) {
            throw new KryoException(
                    "string list of length " + count + ", expected 0 to " + maxCount);
        }
        List<String> strings = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            strings.add(in.readString());
        }
        return strings;
    }

    private static void writeBytes(Output out, byte[] bytes) {
        out.writeInt(bytes.length);
        out.writeBytes(bytes);
    }

    private static byte[] readBytes(Input in) {
        int length = in.readInt();
        if (length < 0 || length > MAX_BYTE_ARRAY_LENGTH) {
            throw new KryoException(
                    "byte array of length " + length + ", expected 0 to " + MAX_BYTE_ARRAY_LENGTH);
        }
        return in.readBytes(length);
    }

    /** Encodes a message as a frame: its length, then the Kryo encoding. */
    public byte[] encode(PeerMessage message) {
        Output out = new Output(BUFFER_BYTES, MAX_FRAME_BYTES);
        out.writeInt(0);
        kryo.writeClassAndObject(out, message);
        int length = out.position() - Integer.BYTES;
        out.setPosition(0);
        out.writeInt(length);
        out.setPosition(length + Integer.BYTES);
        return out.toBytes();
    }

    /** Decodes the message in a frame without its length prefix. */
    public PeerMessage decode(byte[] frame) throws PeerFormatException {
        try {
            Object message = kryo.readClassAndObject(new Input(frame));
            if (message instanceof PeerMessage known) {
                return known;
            }
        } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new PeerFormatException("cannot decode peer message: " + e.getMessage());
        }
        throw new PeerFormatException("frame of " + frame.length + " bytes is not a peer message");
    }
}
