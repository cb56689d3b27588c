package org.woadloom.http;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.reads.JobReader;
import org.woadloom.reads.Looked;
import org.woadloom.reads.SharedReads;
import org.woadloom.reads.Unanswered;
import org.woadloom.settings.ServiceSettings;
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
    /** Users wait 5 s for an answer, and 2 s for that to a poll. */
    private static final long PATIENCE_MICROS = 4_300_000;
    private static final long POLL_PATIENCE_MICROS = 1_600_000;

    /** Hears of jobs that this node made durable. */
    public interface Hint {
        void changed(JobRecord record, long stamp);
    }

    /** Whether a user may be told of a cancellation that is in the store, as soon as that is known. */
    public interface Confirmation {
        /** The answer is false where that was not known in time: the user asks again. */
        void mayTell(String uid, long patienceMicros, Consumer<Boolean> answer);
    }

    /** Where the machine types come from. */
    public interface Types {
        /** As they were last read, empty while they are unknown. */
        List<MachineType> types();

        /** Reads them from the cloud; false if that does not answer. */
        void readAnew(Consumer<Boolean> answered);
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
    private final Storage storage;
    private final Hint hint;
    private final Confirmation confirmation;
    private final JobReader reader;
    private final SharedReads shared;
    private final Admission admission;
    private final UserWrites writes;
    private final SharedAnswers<JobDescription> submissions = new SharedAnswers<>();
    private final SharedAnswers<String> cancellations = new SharedAnswers<>();
    private final Unanswered unanswered;

    public JobApi(Loop loop, StateClient state, ServiceSettings settings, Storage storage, Types types, Hint hint,
            Confirmation confirmation) {
        this.loop = loop;
        this.state = state;
        this.storage = storage;
        this.hint = hint;
        this.confirmation = confirmation;
        reader = new JobReader(state, storage::seen);
        unanswered = new Unanswered(loop);
        int nodes = settings.peers().size() + 1;
        shared = new SharedReads(loop, state, reader, settings.state(), nodes);
        admission = new Admission(loop, settings, types);
        writes = new UserWrites(loop, state, settings.state().rps(), nodes);
    }

    /** Logs what its user had to wait for. */
    private Consumer<Response> timed(String what, Consumer<Response> answer) {
        long from = loop.nowMicros();
        return response -> {
            long took = loop.nowMicros() - from;
            if (took > SLOW_MICROS) {
                LOG.info("event=slow_answer request={} status={} took_ms={}", what, response.status(), took / 1000);
            }
            answer.accept(response);
        };
    }

    public void submit(byte[] body, Consumer<Response> unhurried) {
        Consumer<Response> answer = timed("submit", unhurried);
        long until = loop.nowMicros() + PATIENCE_MICROS;
        Map<String, Object> map;
        try {
            map = Cbor.decodeMap(body);
        } catch (WireException e) {
            answer.accept(Response.error(400, e.getMessage()));
            return;
        }
        JobDescription job;
        try {
            job = JobDescription.submitted(map);
        } catch (WireException e) {
            refuseUnlessKnown(map.get("uid"), Response.error(400, e.getMessage()), until, answer);
            return;
        }
        admission.judge(job, refusal -> {
            if (refusal != null) {
                refuseUnlessKnown(job.uid(), refusal, until, answer);
            } else if (job.awaits().isEmpty()) {
                create(job, until, answer);
            } else {
                createAfter(job, until, answer);
            }
        });
    }

    /** A job that was accepted stays accepted, whatever a repeated request looks like. */
    private void refuseUnlessKnown(Object uid, Response refusal, long until, Consumer<Response> answer) {
        if (!(uid instanceof String text) || !JobDescription.isUid(text)) {
            answer.accept(refusal);
            return;
        }
        reader.look(text, until, looked -> {
            if (looked == null) {
                answer.accept(Response.unavailable("the state service does not answer"));
            } else if (looked.status() != null) {
                tellAccepted(looked, until, answer);
            } else {
                answer.accept(refusal);
            }
        });
    }

    private void tellAccepted(Looked looked, long until, Consumer<Response> answer) {
        tell(SharedReads.Shown.of(looked), until - loop.nowMicros(),
                () -> answer.accept(Response.of(200, looked.status().toMap())), answer);
    }

    /**
     * A job that waits for others is accepted once the store has told of each of them, as users submit it right after the
     * answer for the ones before. Until every node is known to run this version it can't be: version 1 would start it.
     */
    private void createAfter(JobDescription job, long until, Consumer<Response> answer) {
        for (String before : job.awaits()) {
            if (!JobDescription.isUid(before) || before.equals(job.uid())) {
                refuseUnlessKnown(job.uid(), Response.error(422, "awaits: " + before + " can't be waited for"), until, answer);
                return;
            }
        }
        if (storage.format() != RecordFormat.COMPACT) {
            refuseUnlessKnown(job.uid(), Response.unavailable("awaits: not before all nodes run this version"), until, answer);
            return;
        }
        Response[] refusal = {null};
        int[] missing = {job.awaits().size()};
        for (String before : job.awaits()) {
            lookFor(before, until, (looked, service) -> {
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
                    create(job, until, answer);
                } else {
                    refuseUnlessKnown(job.uid(), refusal[0], until, answer);
                }
            });
        }
    }

    private interface Finding {
        /** Whether the store told, and then whether the job is a service; null for one that is not there. */
        void found(boolean looked, Boolean service);
    }

    private void lookFor(String uid, long until, Finding finding) {
        Boolean service = reader.acceptedService(uid);
        if (service != null) {
            finding.found(true, service);
            return;
        }
        reader.look(uid, until, looked -> finding.found(looked != null,
                looked == null || looked.status() == null ? null : (Boolean) looked.service()));
    }

    /** Users who try again while the first write is queued or under way share it. */
    private void create(JobDescription job, long until, Consumer<Response> answer) {
        submissions.share(job, loop.nowMicros(), until, answer, early -> createdBefore(job.uid(), early, until, answer),
                whole -> createOnce(job, until, whole));
    }

    /** What was told of another's submission may be out of date: the job may be cancelled since. It is read again. */
    private void createdBefore(String uid, Response early, long until, Consumer<Response> answer) {
        if (early.status() == 503) {
            answer.accept(early);
        } else {
            boolean accepted = early.status() / 100 == 2;
            refuseUnlessKnown(uid, accepted ? Response.unavailable("the job changed meanwhile") : early, until, answer);
        }
    }

    private void createOnce(JobDescription job, long until, Consumer<Response> answer) {
        if (reader.acceptedService(job.uid()) != null) {
            // A transaction that can only fail would count as a change all the same, and those are scarce.
            refuseUnlessKnown(job.uid(), Response.unavailable("the job changed meanwhile"), until, answer);
            return;
        }
        JobRecord record = JobRecord.accepted(job, loop.wallMicros());
        RecordFormat format = storage.format();
        Map<String, Object> value = record.toMap(format);
        int spare = format == RecordFormat.COMPACT ? PROGRESS_BYTES : 0;
        if (Cbor.jsonSize(value) + spare > storage.valueBytes()) {
            refuseUnlessKnown(job.uid(), Response.error(400, "the job's description is too long"), until, answer);
            return;
        }
        writes.write(Urgency.USER, until, job.uid(),
                List.of(new Condition(Keys.job(job.uid()), 0), new Condition(Keys.finalState(job.uid()), 0)),
                Change.put(Keys.job(job.uid()), value), reader::lookForRecord, found -> true,
                (result, generation, found) -> {
                    boolean ours = found != null && record.equals(found.record());
                    if (result == Result.OK || ours) {
                        reader.accepted(job.uid(), job.service());
                        hint.changed(record, ours ? found.stamp() : generation);
                        answer.accept(Response.of(201, new JobStatus(job.uid(), "queued", -1, 0).toMap()));
                    } else if (found != null) {
                        tellAccepted(found, until, answer);
                    } else if (result == Result.CONFLICT) {
                        refuseUnlessKnown(job.uid(), Response.unavailable("the job changed meanwhile"), until, answer);
                    } else if (result == Result.BAD) {
                        refuseUnlessKnown(job.uid(), Response.error(400, "the job's description is too long"), until, answer);
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
        Consumer<SharedReads.Shown> told = shown -> {
            if (shown == null) {
                unanswered.refused(uid, !state.refuses());
                answer.accept(Response.unavailable("the state service does not answer"));
                return;
            }
            if (shown.status() == null) {
                unanswered.answered(uid);
                answer.accept(Response.error(404, "no such job"));
            } else {
                tell(shown, POLL_PATIENCE_MICROS, () -> {
                    unanswered.answered(uid);
                    answer.accept(Response.of(200, shownMap(shown)));
                }, refused -> {
                    unanswered.refused(uid, !state.refuses());
                    answer.accept(refused);
                });
            }
        };
        if (unanswered.goesFirst(uid)) {
            reader.look(Urgency.USER, uid, looked -> told.accept(looked == null ? null : SharedReads.Shown.of(looked)));
        } else {
            shared.ask(uid, told);
        }
    }

    /** For how long the job was asked about in vain for which that is longest, while others were answered. */
    public long longestUnansweredMicros() {
        return unanswered.longestMicros();
    }

    /** A job's status, with the jobs that it waits for. */
    private static Map<String, Object> shownMap(SharedReads.Shown shown) {
        Map<String, Object> map = shown.status().toMap();
        if (!shown.awaits().isEmpty()) {
            map.put("awaits", shown.awaits());
        }
        return map;
    }

    public void cancel(String uid, Consumer<Response> answer) {
        if (!JobDescription.isUid(uid)) {
            answer.accept(Response.error(404, "no such job"));
            return;
        }
        long until = loop.nowMicros() + PATIENCE_MICROS;
        Consumer<Response> told = timed("cancel", answer);
        cancellations.share(uid, loop.nowMicros(), until, told, early -> cancelledBefore(uid, early, until, told),
                whole -> cancel(uid, MAX_CANCEL_TRIES, until, whole));
    }

    /** That it is over is true for ever; that it is unknown may not be true any more. */
    private void cancelledBefore(String uid, Response early, long until, Consumer<Response> answer) {
        if (early.status() == 200 || early.status() == 503) {
            answer.accept(early);
        } else {
            cancel(uid, MAX_CANCEL_TRIES, until, answer);
        }
    }

    /**
     * Tells a user of a job's status: of a cancellation not before that is safe, and of a job that waits for others not if
     * one of them is cancelled. Its own cancellation is the leader's to write, which may have been without the state service
     * for long, or there may have been none.
     */
    private void tell(SharedReads.Shown shown, long patienceMicros, Runnable told, Consumer<Response> refused) {
        if (shown.status().status().equals("cancelled")) {
            confirmation.mayTell(shown.status().uid(), patienceMicros, may -> {
                if (may) {
                    told.run();
                } else {
                    refused.accept(Response.unavailable("the cancellation can't be confirmed yet"));
                }
            });
        } else {
            noneCancelled(shown.awaits(), none -> {
                if (none) {
                    told.run();
                } else {
                    refused.accept(Response.unavailable("a job before it is cancelled, and so it will be"));
                }
            });
        }
    }

    /** Whether the store says of each of these jobs, and of those before them, that it is not cancelled. */
    private void noneCancelled(List<String> uids, Consumer<Boolean> answer) {
        if (uids.isEmpty()) {
            answer.accept(true);
            return;
        }
        int[] missing = {uids.size()};
        boolean[] none = {true};
        Consumer<Boolean> one = good -> {
            none[0] &= good;
            if (--missing[0] == 0) {
                answer.accept(none[0]);
            }
        };
        for (String uid : uids) {
            shared.ask(uid, shown -> {
                if (shown == null || shown.status() != null && shown.status().status().equals("cancelled")) {
                    one.accept(false);
                } else {
                    noneCancelled(shown.awaits(), one);
                }
            });
        }
    }

    private void tellEnd(JobStatus status, long until, Consumer<Response> answer) {
        tell(new SharedReads.Shown(status, List.of()), until - loop.nowMicros(),
                () -> answer.accept(Response.of(200, status.toMap())), answer);
    }

    /** Nothing of a record that can't be read can be kept: the final state takes its place. */
    private void cancelUnread(Looked looked, long until, Consumer<Response> answer) {
        String uid = looked.unread().uid();
        Consumer<Boolean> end = cancelled -> {
            if (cancelled) {
                tellEnd(new JobStatus(uid, "cancelled", -1, 0), until, answer);
            } else {
                answer.accept(Response.unavailable("the job could not be cancelled now"));
            }
        };
        if (looked.unread().status().equals("cancelled")) {
            end.accept(true);
            return;
        }
        FinalRecord record = new FinalRecord(uid, true, 0, loop.wallMicros(), false);
        state.txn(Urgency.CANCELLATION, until, List.of(new Condition(Keys.job(uid), looked.stamp())),
                List.of(Change.put(Keys.finalState(uid), record.toMap(storage.format())), Change.drop(Keys.job(uid))),
                (result, generation, failed) -> end.accept(result == Result.OK));
    }

    private void cancel(String uid, int tries, long until, Consumer<Response> answer) {
        reader.look(uid, until, looked -> cancel(uid, looked, tries, until, answer));
    }

    private void cancel(String uid, Looked looked, int tries, long until, Consumer<Response> answer) {
        if (looked == null) {
            answer.accept(Response.unavailable("the job could not be cancelled now"));
        } else if (looked.status() == null) {
            answer.accept(Response.error(404, "no such job"));
        } else if (looked.unread() != null) {
            cancelUnread(looked, until, answer);
        } else if (looked.finalState() != null || looked.record().cancelled() || looked.record().allDone()) {
            tellEnd(new JobStatus(uid, looked.status().status(), -1, 0), until, answer);
        } else if (tries == 0) {
            answer.accept(Response.unavailable("the job could not be cancelled now"));
        } else {
            JobRecord cancelled = looked.record().asCancelled();
            RecordFormat format = looked.format() == RecordFormat.COMPACT ? looked.format() : storage.format();
            // Once the record has another stamp, the write was carried out or never will be.
            writes.write(Urgency.CANCELLATION, until, uid, List.of(new Condition(Keys.job(uid), looked.stamp())),
                    Change.put(Keys.job(uid), cancelled.toMap(format)), reader::look,
                    found -> found.status() != null && found.stamp() != looked.stamp(), (result, generation, found) -> {
                        if (result == Result.OK) {
                            hint.changed(cancelled, generation);
                            tellEnd(new JobStatus(uid, "cancelled", -1, 0), until, answer);
                        } else if (found != null) {
                            if (found.record() != null && found.record().cancelled()) {
                                hint.changed(found.record(), found.stamp());
                            }
                            cancel(uid, found, tries - 1, until, answer);
                        } else if (result == Result.CONFLICT) {
                            cancel(uid, tries - 1, until, answer);
                        } else {
                            answer.accept(Response.unavailable("the job could not be cancelled now"));
                        }
                    });
        }
    }
}
