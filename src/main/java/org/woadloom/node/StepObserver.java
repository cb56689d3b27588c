package org.woadloom.node;

import java.util.List;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;

/**
 * Is shown each step of a node's scheduler, on the node's loop; tests compare by it what two
 * versions of the code decide.
 */
public interface StepObserver {
    /** Ignores all steps. */
    StepObserver NONE = (nowMicros, commands, actions) -> {};

    /**
     * One step is over, and its actions are about to be executed.
     *
     * @param nowMicros the time that the scheduler was given, by the node's loop
     */
    void onStep(long nowMicros, List<SchedulerEvent> events, List<SchedulerAction> actions);
}
