import java.util.List;

/** The numbers of a small deployment, as its site file and settings give them. */
final class Site {
    record Type(
            String name,
            double cpus,
            double ramGb,
            double rate,
            double marketPrice,
            double cacheGb,
            double pullGbPerS,
            double readyS,
            List<String> zones) {}

    record Team(String name, double cpus, double cpusMax) {}

    List<String> nodeZones;
    List<String> zones;
    List<Type> types;
    List<Team> teams;
    double clockOffMs;
    double reportS;
    double leaseS;
    double cancelS;
    double gangWaitS;
    double gangPeerS;
    double stateRps;
    double stateWriteRps;
    double stateValueKb;
    int stateTxnOps;
    double cloudRps;
    double listLagS;
    double cpuShare;
    double ramMb;
    int fdLimit;

    Type type(String name) {
        return types.stream().filter(type -> type.name.equals(name)).findFirst().orElseThrow();
    }

    /** Site file sites/whitlock-macon.toml. */
    static Site whitlock() {
        Site site = new Site();
        site.nodeZones = List.of("savannah", "macon", "savannah");
        site.zones = List.of("savannah", "macon");
        site.types =
                List.of(
                        new Type("branch-box", 4, 32, 0.17, 0.05, 40, 1.0, 35, List.of("macon")),
                        new Type("office-rack", 16, 32, 0.51, 0.14, 40, 0.4, 15, site.zones));
        site.teams =
                List.of(
                        new Team("quote-office-0", 16, 48),
                        new Team("quote-office-1", 16, 48));
        site.clockOffMs = 1000;
        site.reportS = 3;
        site.leaseS = 22;
        site.cancelS = 52;
        site.gangWaitS = 45;
        site.gangPeerS = 8;
        site.stateRps = 150;
        site.stateWriteRps = 60;
        site.stateValueKb = 8;
        site.stateTxnOps = 12;
        site.cloudRps = 10;
        site.listLagS = 4;
        site.cpuShare = 0.44;
        site.ramMb = 320;
        site.fdLimit = 1800;
        return site;
    }

    /** Site file more/fleet/whitlock-macon-fleet.toml, whose machines are more. */
    static Site whitlockFleet() {
        Site site = whitlock();
        site.teams =
                List.of(
                        new Team("quote-office-0", 300, 700),
                        new Team("quote-office-1", 300, 700));
        site.reportS = 4;
        site.cpuShare = 0.34;
        site.ramMb = 360;
        return site;
    }

    /** Site file sites/adfp-brasov.toml. */
    static Site brasov() {
        Site site = new Site();
        site.nodeZones = List.of("brasov", "constanta", "brasov");
        site.zones = List.of("brasov", "constanta");
        site.types =
                List.of(
                        new Type("nod-curte", 16, 64, 0.69, 0.17, 70, 0.25, 30, site.zones),
                        new Type("nod-central", 64, 256, 2.88, 0.72, 80, 0.4, 50, site.zones));
        site.teams =
                List.of(
                        new Team("echipa-depozit", 496, 744),
                        new Team("echipa-calitate", 328, 496));
        site.clockOffMs = 250;
        site.reportS = 1.5;
        site.leaseS = 10;
        site.cancelS = 40;
        site.gangWaitS = 35;
        site.gangPeerS = 8;
        site.stateRps = 250;
        site.stateWriteRps = 100;
        site.stateValueKb = 16;
        site.stateTxnOps = 16;
        site.cloudRps = 4;
        site.listLagS = 6;
        site.cpuShare = 0.22;
        site.ramMb = 205;
        site.fdLimit = 1000;
        return site;
    }
}
