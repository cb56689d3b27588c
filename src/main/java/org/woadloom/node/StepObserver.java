package org.woadloom.node;

import java.util.List;
import org.woadloom.core.SchedulerAction;
import org.woadloom.core.SchedulerEvent;

/**
 * Observes each step of a node's scheduler, on the node's event loop. Tests use it to compare the
 * decisions of two versions of the code.
 */
public interface StepObserver {
    /** Ignores all steps. */
    StepObserver NONE = (nowMicros, commands, actions) -> {};

    /**
     * Called after a step and before its actions are carried out.
     *
     * @param nowMicros the time that was passed to the scheduler, by the node's loop
     */
    void onStep(long nowMicros, List<SchedulerEvent> events, List<SchedulerAction> actions);
}
