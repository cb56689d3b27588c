package org.woadloom.node;

import java.util.List;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;

/**
 * Is shown each step of a node's core, on the node's loop; tests compare by it what two versions of
 * the code decide.
 */
public interface StepObserver {
    /** Looks at nothing. */
    StepObserver NONE = (nowMicros, commands, actions) -> {};

    /**
     * One step is over, and its effects are about to be executed.
     *
     * @param nowMicros the time that the core was given, by the node's loop
     */
    void onStep(long nowMicros, List<SchedulerEvent> commands, List<SchedulerAction> actions);
}
