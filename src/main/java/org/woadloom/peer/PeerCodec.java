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
 * Messages between nodes as Kryo writes them; only the registered classes can be read. Used by one
 * thread.
 */
public final class PeerCodec {
    static final int MAX_FRAME = 256 * 1024;

    /** One report or record: a body has 64 KiB at most, whatever the fleet. */
    private static final int MAX_BYTES = 128 * 1024;

    private static final int MAX_TEXTS = 100;

    /**
     * Twice what ToldCancellations sends at most; with the longest ids a frame still holds that.
     */
    private static final int MAX_JOBS = 4_000;

    private final Kryo kryo = new Kryo();

    public PeerCodec() {
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        register(
                PeerMessage.Hello.class,
                10,
                (out, m) -> out.writeString(m.label()),
                in -> new PeerMessage.Hello(in.readString()));
        register(
                PeerMessage.Ping.class,
                11,
                (out, m) -> {
                    out.writeLong(m.term());
                    out.writeString(m.leader());
                    if (m.rollout() != null) {
                        out.writeLong(m.rollout().number());
                        writeTexts(out, m.rollout().on());
                        writeTexts(out, m.rollout().requires());
                        writeTexts(out, m.rollout().reads());
                    }
                },
                in -> {
                    long term = in.readLong();
                    String leader = in.readString();
                    return new PeerMessage.Ping(
                            term,
                            leader,
                            in.position() == in.limit()
                                    ? null
                                    : new PeerMessage.RolloutView(
                                            in.readLong(),
                                            readTexts(in, MAX_TEXTS),
                                            readTexts(in, MAX_TEXTS),
                                            readTexts(in, MAX_TEXTS)));
                });
        register(
                PeerMessage.JobChangeNotification.class,
                13,
                (out, m) -> {
                    out.writeLong(m.revision());
                    writeBytes(out, m.record());
                },
                in -> {
                    long revision = in.readLong();
                    return new PeerMessage.JobChangeNotification(readBytes(in), revision);
                });
        register(
                PeerMessage.ForwardHeartbeat.class,
                14,
                (out, m) -> {
                    out.writeLong(m.id());
                    writeBytes(out, m.heartbeat());
                },
                in -> {
                    long id = in.readLong();
                    return new PeerMessage.ForwardHeartbeat(id, readBytes(in));
                });
        register(
                PeerMessage.ForwardedAnswer.class,
                15,
                (out, m) -> {
                    out.writeLong(m.id());
                    out.writeInt(m.status());
                    writeBytes(out, m.answer());
                },
                in -> {
                    long id = in.readLong();
                    int status = in.readInt();
                    return new PeerMessage.ForwardedAnswer(id, status, readBytes(in));
                });
        register(
                PeerMessage.StatusReport.class,
                16,
                (out, m) -> {
                    PeerStatus s = m.status();
                    writeLongs(
                            out,
                            s.processId(),
                            s.uptimeMicros(),
                            s.sentMicros(),
                            s.term(),
                            s.echoedLeaderClockMicros(),
                            s.noRenewalForMicros(),
                            s.sinceLastRenewalMicros(),
                            s.storeSilentMicros());
                },
                in ->
                        new PeerMessage.StatusReport(
                                new PeerStatus(
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong())));
        register(
                PeerMessage.Delegation.class,
                17,
                (out, m) -> {
                    LeaseDelegation w = m.delegation();
                    writeLongs(
                            out,
                            w.term(),
                            w.statusSentMicros(),
                            w.leaderClockMicros(),
                            w.cancellationLagMicros());
                },
                in ->
                        new PeerMessage.Delegation(
                                new LeaseDelegation(
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong())));
        register(
                PeerMessage.CancellationReport.class,
                18,
                (out, m) -> {
                    WatermarkReport v = m.report();
                    writeLongs(
                            out,
                            v.term(),
                            v.processId(),
                            v.sentMicros(),
                            v.sinceMicros(),
                            v.echoedLeaderClockMicros(),
                            v.promiseMicros());
                    writeTexts(out, v.jobIds());
                },
                in ->
                        new PeerMessage.CancellationReport(
                                new WatermarkReport(
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        readTexts(in, MAX_JOBS))));
        register(
                PeerMessage.CancellationReportAck.class,
                19,
                (out, m) -> {
                    WatermarkAck t = m.ack();
                    writeLongs(
                            out,
                            t.term(),
                            t.processId(),
                            t.reportSentMicros(),
                            t.leaderClockMicros());
                },
                in ->
                        new PeerMessage.CancellationReportAck(
                                new WatermarkAck(
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong(),
                                        in.readLong())));
    }

    private <T> void register(
            Class<T> type, int id, BiConsumer<Output, T> writer, Function<Input, T> reader) {
        kryo.register(
                type,
                new Serializer<T>() {
                    @Override
                    public void write(Kryo k, Output out, T message) {
                        writer.accept(out, message);
                    }

                    @Override
                    public T read(Kryo k, Input in, Class<? extends T> c) {
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

    private static void writeTexts(Output out, List<String> texts) {
        out.writeInt(texts.size());
        texts.forEach(out::writeString);
    }

    private static List<String> readTexts(Input in, int most) {
        int count = in.readInt();
        if (count < 0 || count > most) {
            throw new KryoException("a list of " + count + " texts");
        }
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            texts.add(in.readString());
        }
        return texts;
    }

    private static void writeBytes(Output out, byte[] bytes) {
        out.writeInt(bytes.length);
        out.writeBytes(bytes);
    }

    private static byte[] readBytes(Input in) {
        int length = in.readInt();
        if (length < 0 || length > MAX_BYTES) {
            throw new KryoException("a field of " + length + " bytes");
        }
        return in.readBytes(length);
    }

    /** The message behind its length. */
    public byte[] encode(PeerMessage message) {
        Output out = new Output(256, MAX_FRAME);
        out.writeInt(0);
        kryo.writeClassAndObject(out, message);
        int length = out.position() - Integer.BYTES;
        out.setPosition(0);
        out.writeInt(length);
        out.setPosition(length + Integer.BYTES);
        return out.toBytes();
    }

    /** Reads what a frame holds behind its length. */
    public PeerMessage decode(byte[] frame) throws PeerFormatException {
        try {
            Object message = kryo.readClassAndObject(new Input(frame));
            if (message instanceof PeerMessage known) {
                return known;
            }
        } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new PeerFormatException("not a message of a peer: " + e.getMessage());
        }
        throw new PeerFormatException("not a message of a peer");
    }
}
