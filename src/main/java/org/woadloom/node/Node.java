package org.woadloom.node;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.woadloom.cloud.CloudClient;
import org.woadloom.core.Command;
import org.woadloom.core.Core;
import org.woadloom.core.CoreSettings;
import org.woadloom.core.Effect;
import org.woadloom.http.JobApi;
import org.woadloom.http.Response;
import org.woadloom.http.Router;
import org.woadloom.leader.Election;
import org.woadloom.net.HttpTransport;
import org.woadloom.net.Loop;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.state.JobRecord;
import org.woadloom.state.Keys;
import org.woadloom.state.StateClient;
import org.woadloom.state.StateClient.Change;
import org.woadloom.state.StateClient.Result;
import org.woadloom.state.StateClient.Urgency;
import org.woadloom.wire.Cbor;
import org.woadloom.wire.MachineType;
import org.woadloom.wire.WireException;
import org.woadloom.wire.WorkerReport;
import org.woadloom.worker.WorkerClient;

/** One controller node, apart from its sockets: everything in it runs on one loop. */
public final class Node {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final long TYPES_RETRY_MICROS = 1_000_000;

    private final Loop loop;
    private final ServiceSettings settings;
    private final StateClient state;
    private final CloudClient cloud;
    private final Election election;
    private final LeaderDuties duties;
    private final CommandQueue queue;
    private final Router router;
    private List<MachineType> types = List.of();

    public Node(Loop loop, HttpTransport transport, ServiceSettings settings, OperatorSettings operator, Random random) {
        this.loop = loop;
        this.settings = settings;
        state = new StateClient(loop, transport, settings, random);
        cloud = new CloudClient(loop, transport, settings);
        duties = new LeaderDuties(loop, state, cloud, new WorkerClient(transport), settings, this::abdicate);
        queue = new CommandQueue(loop, new Core(CoreSettings.of(settings, operator)), duties::execute);
        duties.attach(queue);
        election = new Election(loop, state, settings.label(), random, new Election.Listener() {
            @Override
            public void elected(long term, long leaderStamp) {
                duties.begin(term, leaderStamp);
            }

            @Override
            public void deposed(String reason) {
                duties.end();
            }
        });
        router = new Router(new JobApi(loop, state, settings, () -> types, this::changed), this::report,
                () -> "");
    }

    public Router router() {
        return router;
    }

    public void start() {
        LOG.info("node {} in {} starts", settings.label(), settings.area());
        election.start();
        readTypes();
    }

    private void abdicate(String reason) {
        election.stepDown(reason);
    }

    private void changed(JobRecord record, long stamp) {
        if (duties.ready()) {
            queue.offer(new Command.JobSeen(record, stamp));
        }
    }

    /** The machine types, from the cloud or, while that does not answer, as another node stored them. */
    private void readTypes() {
        cloud.types(found -> {
            if (found != null && !found.isEmpty()) {
                typesSeen(found);
                storeTypes(found);
                return;
            }
            state.get(Urgency.NORMAL, Keys.TYPES, (result, entry, generation) -> {
                if (result == Result.OK && types.isEmpty()) {
                    try {
                        typesSeen(MachineType.parseAll(entry.value()));
                    } catch (WireException e) {
                        LOG.error("the stored machine types can't be read: {}", e.getMessage());
                    }
                }
                loop.schedule(TYPES_RETRY_MICROS, this::readTypes);
            });
        });
    }

    private void typesSeen(List<MachineType> found) {
        types = List.copyOf(found);
        queue.offer(new Command.TypesSeen(types));
    }

    private void storeTypes(List<MachineType> found) {
        List<Object> list = new ArrayList<>();
        for (MachineType type : found) {
            list.add(type.toMap());
        }
        state.txn(Urgency.BACKGROUND, List.of(), List.of(Change.put(Keys.TYPES, ImmutableMap.of("hosttypes", list))),
                (result, generation, failed) -> {
                });
    }

    private void report(byte[] body, Consumer<Response> answer) {
        if (!election.leads() || !duties.ready()) {
            String leader = election.leader();
            Map<String, Object> map = new LinkedHashMap<>();
            if (leader != null && !leader.equals(settings.label())) {
                map.put("overseer", leader);
            }
            answer.accept(Response.of(421, map));
            return;
        }
        WorkerReport report;
        try {
            report = WorkerReport.parse(Cbor.decodeMap(body));
        } catch (WireException e) {
            answer.accept(Response.error(400, e.getMessage()));
            return;
        }
        duties.report(report, decided -> answer.accept(decided == null ? Response.unavailable("overloaded")
                : reply(decided)));
    }

    private static Response reply(Effect.Answer answer) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("epoch", answer.epoch());
        map.put("orders", WorkerClient.orders(answer.orders()));
        return Response.of(200, map);
    }
}
