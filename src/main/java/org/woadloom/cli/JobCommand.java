package org.woadloom.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.woadloom.protocol.Cbor;
import org.woadloom.protocol.JobDescription;
import org.woadloom.protocol.MalformedMessageException;

/** Sends a request about a job to a controller node and prints the answer. */
final class JobCommand implements Subcommand {
    private static final String DEFAULT_NODE = "127.0.0.1:8080";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final String verb;
    private final String arguments;
    private final String description;
    private final RequestFactory requestFactory;

    private interface RequestFactory {
        HttpRequest.Builder create(String node, String argument) throws Exception;
    }

    private JobCommand(
            String verb, String arguments, String description, RequestFactory requestFactory) {
        this.verb = verb;
        this.arguments = arguments;
        this.description = description;
        this.requestFactory = requestFactory;
    }

    static Subcommand submit() {
        return new JobCommand(
                "submit",
                "FILE",
                "Submits the job described in a JSON file; submitting it again changes nothing.",
                (node, file) -> {
                    JobDescription job;
                    try {
                        job =
                                JobDescription.parse(
                                        Cbor.decodeJsonMap(Files.readAllBytes(Path.of(file))));
                    } catch (NoSuchFileException e) {
                        throw new UsageException(file + ": no such file");
                    } catch (MalformedMessageException e) {
                        throw new UsageException(file + ": " + e.getMessage());
                    } catch (AccessDeniedException e) {
                        throw new IOException(file + ": cannot be read: permission denied", e);
                    } catch (IOException e) {
                        throw new IOException(file + ": cannot be read: " + Main.messageOf(e), e);
                    }
                    return post(node, "/v1/jobs", Cbor.encode(job.toMap()));
                });
    }

    static Subcommand show() {
        return new JobCommand(
                "show",
                "JOB",
                "Shows the state of a job, given its id, such as j-000412.",
                (node, jobId) ->
                        HttpRequest.newBuilder(uri(node, "/v1/jobs/" + requireJobId(jobId))));
    }

    static Subcommand cancel() {
        return new JobCommand(
                "cancel",
                "JOB",
                "Cancels a job, given its id.",
                (node, jobId) ->
                        post(node, "/v1/jobs/" + requireJobId(jobId) + "/cancel", new byte[0]));
    }

    private static HttpRequest.Builder post(String node, String path, byte[] body)
            throws UsageException {
        return HttpRequest.newBuilder(uri(node, path))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body));
    }

    private static URI uri(String node, String path) throws UsageException {
        try {
            return URI.create("http://" + node + path);
        } catch (IllegalArgumentException e) {
            throw new UsageException(
                    "--node " + node + ": expected an address such as " + DEFAULT_NODE);
        }
    }

    private static String requireJobId(String jobId) throws UsageException {
        if (!JobDescription.isJobId(jobId)) {
            throw new UsageException(jobId + ": expected a job id such as j-000412");
        }
        return jobId;
    }

    @Override
    public String name() {
        return "job " + verb;
    }

    @Override
    public String arguments() {
        return arguments;
    }

    @Override
    public String description() {
        return description;
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        Option.builder()
                                .longOpt("node")
                                .hasArg()
                                .argName("HOST:PORT")
                                .desc(
                                        "address of a controller node or of the load balancer"
                                                + " (default: "
                                                + DEFAULT_NODE
                                                + ")")
                                .build());
    }

    @Override
    public int run(CommandLine line) throws Exception {
        String node = line.getOptionValue("node", DEFAULT_NODE);
        HttpRequest.Builder builder = requestFactory.create(node, line.getArgList().get(0));
        HttpResponse<byte[]> response;
        try {
            response =
                    HttpClient.newBuilder()
                            .version(HttpClient.Version.HTTP_1_1)
                            .build()
                            .send(
                                    builder.timeout(TIMEOUT).build(),
                                    HttpResponse.BodyHandlers.ofByteArray());
        } catch (IOException e) {
            throw new IOException("no answer from node " + node + ": " + Main.messageOf(e), e);
        }
        String text;
        try {
            text = Cbor.toJson(Cbor.decode(response.body()));
        } catch (MalformedMessageException e) {
            throw new IOException(
                    "unreadable answer from node "
                            + node
                            + " (status "
                            + response.statusCode()
                            + "): "
                            + e.getMessage(),
                    e);
        }
        if (response.statusCode() / 100 == 2) {
            System.out.println(text);
            return SUCCESS;
        }
        System.err.println("woadloom: " + response.statusCode() + " " + text);
        return FAILED;
    }
}
