package org.woadloom.http;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.Team;
import org.woadloom.state.FinalRecord;
import org.woadloom.state.JobRecord;
import org.woadloom.state.Keys;
import org.woadloom.state.RecordFormat;
import org.woadloom.state.StateClient;
import org.woadloom.state.StateClient.Change;
import org.woadloom.state.StateClient.Condition;
import org.woadloom.state.StateClient.Result;
import org.woadloom.state.StateClient.Urgency;
import org.woadloom.net.Loop;
import org.woadloom.wire.Cbor;
import org.woadloom.wire.JobDescription;
import org.woadloom.wire.JobStatus;
import org.woadloom.wire.MachineType;
import org.woadloom.wire.WireException;

/**
 * What users ask, on any node. Whatever a user is told of a job is in the state service before; only final states,
 * which never change, are answered from memory.
 */
public final class JobApi {
    private static final Logger LOG = LoggerFactory.getLogger(JobApi.class);
    private static final int MAX_CANCEL_TRIES = 6;
    private static final long SLOW_MICROS = 500_000;

    /** Hears of jobs that this node made durable. */
    public interface Hint {
        void changed(JobRecord record, long stamp);
    }

    /** Where the machine types come from; empty while they are unknown. */
    public interface Types {
        List<MachineType> types();
    }

    /** How and how large records may be now. */
    public interface Storage {
        RecordFormat format();

        int valueBytes();

        void seen(RecordFormat format);
    }

    /** Room that a record needs beside its description, so that some tasks at a time can be placed. */
    private static final int PROGRESS_BYTES = 400;

    private final Loop loop;
    private final StateClient state;
    private final ServiceSettings settings;
    private final Storage storage;
    private final Types types;
    private final Hint hint;
    private final Cache<String, FinalRecord> finals = Caffeine.newBuilder().maximumSize(20_000)
            .executor(Runnable::run).build();
    private final Map<String, List<Consumer<Looked>>> looking = new HashMap<>();

    /** Jobs that are known to be accepted, which stays true; true for services. */
    private final Cache<String, Boolean> accepted = Caffeine.newBuilder().maximumSize(20_000)
            .executor(Runnable::run).build();

    /** What the store says of a job: one of the records, or neither where it is unknown; null if it did not say. */
    private record Looked(JobRecord record, RecordFormat format, long stamp, FinalRecord finalState) {
        JobStatus status() {
            return finalState != null ? finalState.status() : record != null ? record.status() : null;
        }

        boolean service() {
            return finalState != null ? finalState.service() : record.description().service();
        }
    }

    public JobApi(Loop loop, StateClient state, ServiceSettings settings, Storage storage, Types types, Hint hint) {
        this.loop = loop;
        this.state = state;
        this.settings = settings;
        this.storage = storage;
        this.types = types;
        this.hint = hint;
    }

    /** Logs what its user had to wait for. */
    private Consumer<Response> timed(String what, Consumer<Response> answer) {
        long from = loop.nowMicros();
        return response -> {
            long took = loop.nowMicros() - from;
            if (took > SLOW_MICROS) {
                LOG.info("{} was answered {} after {} ms", what, response.status(), took / 1000);
            }
            answer.accept(response);
        };
    }

    public void submit(byte[] body, Consumer<Response> unhurried) {
        Consumer<Response> answer = timed("a submission", unhurried);
        Map<String, Object> map;
        try {
            map = Cbor.decodeMap(body);
        } catch (WireException e) {
            answer.accept(Response.error(400, e.getMessage()));
            return;
        }
        JobDescription job;
        Response refusal;
        try {
            job = JobDescription.parse(map);
            refusal = refusal(job);
        } catch (WireException e) {
            job = null;
            refusal = Response.error(400, e.getMessage());
        }
        if (refusal != null) {
            refuseUnlessKnown(map.get("uid"), refusal, answer);
        } else if (job.awaits().isEmpty()) {
            create(job, answer);
        } else {
            createAfter(job, answer);
        }
    }

    /** A job that was accepted stays accepted, whatever a repeated request looks like. */
    private void refuseUnlessKnown(Object uid, Response refusal, Consumer<Response> answer) {
        if (!(uid instanceof String text) || !JobDescription.isUid(text)) {
            answer.accept(refusal);
            return;
        }
        look(text, looked -> {
            if (looked == null) {
                answer.accept(Response.unavailable("the state service does not answer"));
            } else if (looked.status() != null) {
                answer.accept(Response.of(200, looked.status().toMap()));
            } else {
                answer.accept(refusal);
            }
        });
    }

    /** Why the job can never run, or can't be decided now; null if it can. */
    private Response refusal(JobDescription job) {
        Team team = settings.team(job.crew());
        if (team == null) {
            return Response.error(422, "crew: unknown team");
        }
        int together = job.service() || job.gang() ? job.shards() : 1;
        if (job.vcpus() * together > team.cpusMax() + 1e-9 || job.cards() * together > team.gpusMax() + 1e-9) {
            return Response.error(422, "the job needs more than the team's limit");
        }
        if (job.yard() != null && !settings.zones().contains(job.yard())) {
            return Response.error(422, "yard: unknown zone");
        }
        List<MachineType> known = types.types();
        if (known.isEmpty()) {
            return Response.unavailable("the machine types are not known yet");
        }
        for (MachineType type : known) {
            if (type.holds(job) && (job.hosttypes() == null || job.hosttypes().contains(type.name()))) {
                return null;
            }
        }
        return Response.error(422, "a task fits no allowed machine type");
    }

    /**
     * A job that waits for others is accepted once the store has told of each of them, as users submit it right after the
     * answer for the ones before. Until every node is known to run this version it can't be: version 1 would start it.
     */
    private void createAfter(JobDescription job, Consumer<Response> answer) {
        for (String before : job.awaits()) {
            if (!JobDescription.isUid(before) || before.equals(job.uid())) {
                refuseUnlessKnown(job.uid(), Response.error(422, "awaits: " + before + " can't be waited for"), answer);
                return;
            }
        }
        if (storage.format() != RecordFormat.COMPACT) {
            refuseUnlessKnown(job.uid(), Response.unavailable("awaits: not before all nodes run this version"), answer);
            return;
        }
        Response[] refusal = {null};
        int[] missing = {job.awaits().size()};
        for (String before : job.awaits()) {
            lookFor(before, (looked, service) -> {
                if (!looked && (refusal[0] == null || refusal[0].status() == 422)) {
                    refusal[0] = Response.unavailable("the state service does not answer");
                } else if (looked && refusal[0] == null && (service == null || service)) {
                    refusal[0] = Response.error(422, "awaits: " + before + (service == null ? " was never accepted"
                            : " is a service"));
                }
                if (--missing[0] > 0) {
                    return;
                }
                if (refusal[0] == null) {
                    create(job, answer);
                } else {
                    refuseUnlessKnown(job.uid(), refusal[0], answer);
                }
            });
        }
    }

    private interface Finding {
        /** Whether the store told, and then whether the job is a service; null for one that is not there. */
        void found(boolean looked, Boolean service);
    }

    private void lookFor(String uid, Finding finding) {
        Boolean service = accepted.getIfPresent(uid);
        if (service != null) {
            finding.found(true, service);
            return;
        }
        look(uid, looked -> finding.found(looked != null,
                looked == null || looked.status() == null ? null : (Boolean) looked.service()));
    }

    private void create(JobDescription job, Consumer<Response> answer) {
        JobRecord record = JobRecord.accepted(job, loop.wallMicros());
        RecordFormat format = storage.format();
        Map<String, Object> value = record.toMap(format);
        int spare = format == RecordFormat.COMPACT ? PROGRESS_BYTES : 0;
        if (Cbor.jsonSize(value) + spare > storage.valueBytes()) {
            refuseUnlessKnown(job.uid(), Response.error(400, "the job's description is too long"), answer);
            return;
        }
        state.txn(Urgency.USER,
                List.of(new Condition(Keys.job(job.uid()), 0), new Condition(Keys.finalState(job.uid()), 0)),
                List.of(Change.put(Keys.job(job.uid()), value)), (result, generation, failed) -> {
                    if (result == Result.OK) {
                        accepted.put(job.uid(), job.service());
                        hint.changed(record, generation);
                        answer.accept(Response.of(201, new JobStatus(job.uid(), "queued", -1, 0).toMap()));
                    } else if (result == Result.CONFLICT) {
                        refuseUnlessKnown(job.uid(), Response.unavailable("the job changed meanwhile"), answer);
                    } else if (result == Result.BAD) {
                        refuseUnlessKnown(job.uid(), Response.error(400, "the job's description is too long"), answer);
                    } else {
                        answer.accept(Response.unavailable("the state service does not answer"));
                    }
                });
    }

    public void show(String uid, Consumer<Response> answer) {
        if (!JobDescription.isUid(uid)) {
            answer.accept(Response.error(404, "no such job"));
            return;
        }
        look(uid, looked -> {
            if (looked == null) {
                answer.accept(Response.unavailable("the state service does not answer"));
            } else if (looked.status() == null) {
                answer.accept(Response.error(404, "no such job"));
            } else {
                answer.accept(Response.of(200, shown(looked)));
            }
        });
    }

    /** A job's status, with the jobs that it waits for. */
    private static Map<String, Object> shown(Looked looked) {
        Map<String, Object> map = looked.status().toMap();
        if (looked.record != null && !looked.record.cancelled() && !looked.record.description().awaits().isEmpty()) {
            map.put("awaits", looked.record.description().awaits());
        }
        return map;
    }

    public void cancel(String uid, Consumer<Response> answer) {
        if (!JobDescription.isUid(uid)) {
            answer.accept(Response.error(404, "no such job"));
            return;
        }
        cancel(uid, MAX_CANCEL_TRIES, timed("a cancellation", answer));
    }

    private void cancel(String uid, int tries, Consumer<Response> answer) {
        look(uid, looked -> {
            if (looked == null || tries == 0) {
                answer.accept(Response.unavailable("the job could not be cancelled now"));
            } else if (looked.status() == null) {
                answer.accept(Response.error(404, "no such job"));
            } else if (looked.finalState != null || looked.record.cancelled() || looked.record.allDone()) {
                answer.accept(Response.of(200, new JobStatus(uid, looked.status().status(), -1, 0).toMap()));
            } else {
                JobRecord cancelled = looked.record.asCancelled();
                RecordFormat format = looked.format == RecordFormat.COMPACT ? looked.format : storage.format();
                state.txn(Urgency.USER, List.of(new Condition(Keys.job(uid), looked.stamp)),
                        List.of(Change.put(Keys.job(uid), cancelled.toMap(format))), (result, generation, failed) -> {
                            if (result == Result.OK) {
                                hint.changed(cancelled, generation);
                                answer.accept(Response.of(200, new JobStatus(uid, "cancelled", -1, 0).toMap()));
                            } else if (result == Result.CONFLICT) {
                                cancel(uid, tries - 1, answer);
                            } else {
                                answer.accept(Response.unavailable("the job could not be cancelled now"));
                            }
                        });
            }
        });
    }

    /** Reads a job; simultaneous reads of one job share a request. */
    private void look(String uid, Consumer<Looked> consumer) {
        FinalRecord known = finals.getIfPresent(uid);
        if (known != null) {
            consumer.accept(new Looked(null, null, 0, known));
            return;
        }
        List<Consumer<Looked>> waiting = looking.get(uid);
        if (waiting != null) {
            // The read under way may be older than what this caller's user was told by another node, so it has its
            // own turn afterwards.
            waiting.add(consumer);
            return;
        }
        looking.put(uid, new ArrayList<>());
        read(uid, looked -> {
            List<Consumer<Looked>> later = looking.remove(uid);
            consumer.accept(looked);
            if (later.isEmpty()) {
                return;
            }
            looking.put(uid, new ArrayList<>());
            read(uid, again -> {
                List<Consumer<Looked>> rest = looking.remove(uid);
                later.forEach(c -> c.accept(again));
                rest.forEach(c -> look(uid, c));
            });
        });
    }

    private void read(String uid, Consumer<Looked> consumer) {
        state.get(Urgency.NORMAL, Keys.job(uid), (result, entry, generation) -> {
            try {
                if (result == Result.OK) {
                    RecordFormat format = JobRecord.formatOf(entry.value());
                    storage.seen(format);
                    JobRecord record = JobRecord.parse(entry.value());
                    accepted.put(uid, record.description().service());
                    consumer.accept(new Looked(record, format, entry.stamp(), null));
                } else if (result == Result.NOT_FOUND) {
                    readFinal(uid, consumer);
                } else {
                    consumer.accept(null);
                }
            } catch (WireException e) {
                consumer.accept(null);
            }
        });
    }

    /** A job moves from its record to its final state in one transaction, so this order of reading can't miss it. */
    private void readFinal(String uid, Consumer<Looked> consumer) {
        state.get(Urgency.NORMAL, Keys.finalState(uid), (result, entry, generation) -> {
            try {
                if (result == Result.OK) {
                    FinalRecord record = FinalRecord.parse(uid, entry.value());
                    finals.put(uid, record);
                    accepted.put(uid, record.service());
                    consumer.accept(new Looked(null, null, 0, record));
                } else if (result == Result.NOT_FOUND) {
                    consumer.accept(new Looked(null, null, 0, null));
                } else {
                    consumer.accept(null);
                }
            } catch (WireException e) {
                consumer.accept(null);
            }
        });
    }
}
