package org.woadloom.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.woadloom.settings.Peer;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.Team;

/** Settings for tests that use only some of them; the others have arbitrary values. */
final class NodeSettings {
    private NodeSettings() {}

    static ServiceSettings of(
            String label,
            List<Peer> peers,
            List<String> zones,
            List<Team> teams,
            ServiceSettings.Store limits) {
        return new ServiceSettings(
                label,
                "a",
                "0:1",
                "0:2",
                peers,
                "cloud",
                "state",
                zones,
                teams,
                List.of(),
                new ServiceSettings.Agents(1, 1, 1),
                limits,
                new ServiceSettings.Cloud(1, 1),
                new ServiceSettings.Resources(1, 1, 1));
    }

    /** The peers of a node in a cluster of {@code nodes} nodes named {@code node-0} and so on. */
    static List<Peer> peersOf(int index, int nodes, IntFunction<String> address) {
        List<Peer> peers = new ArrayList<>();
        for (int other = 0; other < nodes; other++) {
            if (other != index) {
                peers.add(new Peer("node-" + other, "a", address.apply(other)));
            }
        }
        return peers;
    }
}
