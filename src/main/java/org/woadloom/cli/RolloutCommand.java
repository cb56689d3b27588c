package org.woadloom.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.woadloom.core.rollout.Feature;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.Fields;
import org.woadloom.protocol.MalformedMessageException;
import org.woadloom.store.NodeAnnouncement;
import org.woadloom.store.RolloutRecord;
import org.woadloom.store.RolloutRecord.FeatureState;
import org.woadloom.store.RolloutRecord.Step;
import org.woadloom.store.RolloutRequest;
import org.woadloom.store.RolloutRequest.Verb;
import org.woadloom.store.StoreKeys;

/**
 * Shows the rollout state of each feature, or stores an operator's request for one. Accesses the
 * state service directly, without a controller node.
 */
final class RolloutCommand implements Subcommand {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String SHOW = "show";

    @Override
    public String name() {
        return "rollout";
    }

    @Override
    public String arguments() {
        return "show|auto|hold|go|back";
    }

    @Override
    public String description() {
        return "Shows the rollout of features, or lets one advance (auto), pause (hold), skip"
                + " waiting periods (go) or roll back (back).";
    }

    @Override
    public Options options() {
        return SettingsOptions.options()
                .addOption(
                        Option.builder()
                                .longOpt("feature")
                                .hasArg()
                                .argName("NAME")
                                .desc(
                                        "the feature to which the request applies: "
                                                + String.join(", ", Feature.allKeys()))
                                .build())
                .addOption(
                        Option.builder()
                                .longOpt("by")
                                .hasArg()
                                .argName("WHO")
                                .desc("name of the operator to record (default: the current user)")
                                .build());
    }

    @Override
    public int run(CommandLine line) throws Exception {
        String address = SettingsOptions.readServiceSettings(line).storeAddress();
        String action = line.getArgList().get(0);
        if (action.equals(SHOW)) {
            show(address);
            return SUCCESS;
        }
        Verb verb = Verb.of(action);
        if (verb == null) {
            throw new UsageException(action + ": expected one of " + arguments());
        }
        return writeRequest(
                address,
                verb,
                findFeature(line.getOptionValue("feature")),
                line.getOptionValue("by", System.getProperty("user.name")));
    }

    private static Feature findFeature(String key) throws UsageException {
        String features = String.join(", ", Feature.allKeys());
        for (Feature feature : Feature.values()) {
            if (feature.key().equals(key)) {
                return feature;
            }
        }
        throw new UsageException(
                key == null
                        ? "--feature is missing: expected one of " + features
                        : "--feature " + key + ": expected one of " + features);
    }

    /**
     * Stores the request for the leader. A rollback that is no longer possible is refused here, so
     * that the operator sees it; the leader refuses it as well.
     */
    private static int writeRequest(String address, Verb verb, Feature feature, String operator)
            throws IOException, InterruptedException, MalformedMessageException {
        FeatureState current = rolloutRecord(readRolloutEntries(address)).stateOf(feature.key());
        if (verb == Verb.BACK
                && (current.step() == Step.SETTLED
                        || (current.isOn() && !feature.canBeRolledBack()))) {
            System.err.println(
                    "woadloom: "
                            + feature.key()
                            + " is "
                            + current.step().text()
                            + " and can no longer be rolled back");
            return FAILED;
        }
        RolloutRequest request =
                new RolloutRequest(verb, operator, Instant.now().toEpochMilli() * 1000);
        Map<String, Object> put =
                Map.of(
                        "put",
                        StoreKeys.ROLLOUT_REQUEST_PREFIX + feature.key(),
                        "value",
                        request.toMap());
        send(
                address,
                HttpRequest.newBuilder(URI.create("http://" + address + "/txn"))
                        .POST(
                                HttpRequest.BodyPublishers.ofByteArray(
                                        Cbor.encode(
                                                Map.of("if", List.of(), "then", List.of(put))))));
        System.out.println(
                feature.key()
                        + ": "
                        + verb.text()
                        + " requested; the current step is "
                        + current.step().text());
        return SUCCESS;
    }

    private static void show(String address)
            throws IOException, InterruptedException, MalformedMessageException {
        Map<String, Object> entries = readRolloutEntries(address);
        RolloutRecord record = rolloutRecord(entries);
        System.out.printf("%-16s %-10s %-20s %s%n", "feature", "step", "since (UTC)", "allowed by");
        for (Feature feature : Feature.values()) {
            FeatureState state = record.stateOf(feature.key());
            RolloutRequest request =
                    entries.get(StoreKeys.ROLLOUT_REQUEST_PREFIX + feature.key())
                                    instanceof Map<?, ?> stored
                            ? RolloutRequest.parse(asMap(stored))
                            : RolloutRequest.AUTO;
            System.out.printf(
                    "%-16s %-10s %-20s %s%s%s%s%n",
                    feature.key(),
                    state.step().text(),
                    state.sinceWallMicros() == 0
                            ? "-"
                            : Instant.ofEpochSecond(state.sinceWallMicros() / 1_000_000),
                    state.changedBy().isEmpty() ? "-" : state.changedBy(),
                    state.isRollingBack() ? "; rolling back" : "",
                    state.isHeld() ? "; held because nodes kept crashing" : "",
                    request.verb() == Verb.AUTO
                            ? ""
                            : "; " + request.verb().text() + " requested by " + request.operator());
        }
        for (Feature feature : Feature.values()) {
            System.out.printf(
                    "%s writes %s; readable by %s and later%n",
                    feature.key(), feature.writtenFormat(), feature.earliestReader());
        }
        Set<String> unknownFeatures = record.requiredFeatures();
        unknownFeatures.removeAll(Feature.allKeys());
        if (!unknownFeatures.isEmpty()) {
            System.out.println(
                    "required but unknown to this version: " + String.join(", ", unknownFeatures));
        }
        for (Map.Entry<String, Object> entry : entries.entrySet()) {
            if (entry.getKey().startsWith(StoreKeys.ROLLOUT_NODE_PREFIX)) {
                NodeAnnouncement announcement = NodeAnnouncement.parse(asMap(entry.getValue()));
                System.out.printf(
                        "node %s: reads %s, can use %s, members %s, consecutive starts %d%n",
                        entry.getKey().substring(StoreKeys.ROLLOUT_NODE_PREFIX.length()),
                        announcement.supportedFeatures(),
                        announcement.usableFeatures(),
                        announcement.members(),
                        announcement.consecutiveStarts());
            }
        }
    }

    private static RolloutRecord rolloutRecord(Map<String, Object> entries)
            throws MalformedMessageException {
        Object stored = entries.get(StoreKeys.ROLLOUT_STATE);
        return stored == null ? RolloutRecord.NONE : RolloutRecord.parse(asMap(stored));
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> asMap(Object value) throws MalformedMessageException {
        Fields.of(value, "value");
        return (Map<String, Object>) value;
    }

    /**
     * Reads all keys below the rollout prefix: a few records, and one for each node, so that one
     * page holds them all.
     */
    private static Map<String, Object> readRolloutEntries(String address)
            throws IOException, InterruptedException, MalformedMessageException {
        byte[] body =
                send(
                        address,
                        HttpRequest.newBuilder(
                                URI.create(
                                        "http://"
                                                + address
                                                + "/keys?prefix="
                                                + StoreKeys.ROLLOUT_PREFIX
                                                + "&most=1000")));
        Map<String, Object> entries = new TreeMap<>();
        for (Object item : new Fields(Cbor.decodeMap(body)).list("items")) {
            Fields entry = Fields.of(item, "items");
            entries.put(entry.text("path"), entry.raw("value"));
        }
        return entries;
    }

    /**
     * Creates the HTTP client only when needed: loading its classes would make every start of a
     * node a third slower.
     */
    private static byte[] send(String address, HttpRequest.Builder request)
            throws IOException, InterruptedException {
        HttpResponse<byte[]> response;
        try {
            response =
                    HttpClient.newBuilder()
                            .version(HttpClient.Version.HTTP_1_1)
                            .build()
                            .send(
                                    request.timeout(TIMEOUT).build(),
                                    HttpResponse.BodyHandlers.ofByteArray());
        } catch (IOException e) {
            throw new IOException(
                    "no answer from the state service at " + address + ": " + Main.messageOf(e), e);
        }
        if (response.statusCode() != 200) {
            throw new IOException(
                    "the state service at "
                            + address
                            + " answered with status "
                            + response.statusCode());
        }
        return response.body();
    }
}
