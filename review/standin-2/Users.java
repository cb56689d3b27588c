import java.util.List;
import java.util.Map;

/** Users, who reach the nodes one after the other as through the load balancer. */
final class Users {
    private final List<String> nodes;
    private int next;
    private String avoided;

    Users(List<String> nodes) {
        this.nodes = nodes;
    }

    private synchronized String node() {
        String node = nodes.get(next++ % nodes.size());
        return node.equals(avoided) ? node() : node;
    }

    /** Submits with the retries of the page; the last status. */
    int submit(Job job) throws InterruptedException {
        double start = Rec.now();
        while (true) {
            Http.Reply reply =
                    Http.send(node(), "POST", "/v1/jobs", job.fields, 5).join();
            Rec.log("user submits %s: %d %s", job.uid(), reply.status(), reply.body());
            int status = reply.status();
            if (status == 200 || status == 201 || status == 400 || status == 422) {
                return status;
            }
            if (Rec.now() - start > 60) {
                return status;
            }
            Thread.sleep(1000);
        }
    }

    /** One poll: the status text, "404", or "-" without an answer. */
    String poll(String uid) {
        Http.Reply reply = Http.send(node(), "GET", "/v1/jobs/" + uid, null, 2).join();
        Map<String, Object> body = reply.body();
        Rec.log("user polls %s: %d %s", uid, reply.status(), body);
        return reply.status() == 200
                ? String.valueOf(body.get("status"))
                : reply.status() == 404 ? "404" : "-";
    }

    /** The load balancer sends no more users to this node. */
    void avoid(String address) {
        avoided = address;
    }

    String cancel(String uid) throws InterruptedException {
        double start = Rec.now();
        while (Rec.now() - start < 60) {
            double asked = Rec.now();
            Http.Reply reply =
                    Http.send(node(), "POST", "/v1/jobs/" + uid + "/cancel", null, 5).join();
            Rec.log(
                    "user cancels %s (asked at %.3f): %d %s",
                    uid, asked, reply.status(), reply.body());
            if (reply.status() == 200) {
                return String.valueOf(reply.body().get("status"));
            }
            Thread.sleep(1000);
        }
        return "-";
    }
}
