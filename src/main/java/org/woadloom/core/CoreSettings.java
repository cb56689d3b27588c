package org.woadloom.core;

import java.util.List;
import org.woadloom.settings.Objective;
import org.woadloom.settings.OperatorSettings;
import org.woadloom.settings.ServiceSettings;
import org.woadloom.settings.Team;

/** What the core is told of the deployment. */
public record CoreSettings(List<Team> teams, List<Objective> objectives, long reportMicros, long leaseMicros, long cancelMicros,
        long listLagMicros, OperatorSettings operator) {

    public static CoreSettings of(ServiceSettings settings, OperatorSettings operator) {
        return new CoreSettings(settings.teams(), settings.objectives(), settings.workers().reportMicros(), settings.workers().leaseMicros(),
                settings.workers().cancelMicros(),
                settings.cloud().listLagMicros(),
                operator);
    }

    /** How long after an answer a worker's lease is certainly over, with clocks that drift and timers that step. */
    public long leaseOverMicros() {
        return leaseMicros + leaseMicros / 500 + 250_000;
    }
}
