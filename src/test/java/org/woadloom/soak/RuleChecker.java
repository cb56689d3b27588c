package org.woadloom.soak;

import java.util.Map;

/** Checks one rule of the protocol, from what can be observed outside of the controllers. */
abstract class RuleChecker {
    /** Records rule violations. */
    interface ViolationLog {
        void add(String rule, String text);
    }

    private final String rule;
    private final ViolationLog violations;
    protected final Map<String, SoakJob> jobs;
    private long checks;

    RuleChecker(String rule, Map<String, SoakJob> jobs, ViolationLog violations) {
        this.rule = rule;
        this.jobs = jobs;
        this.violations = violations;
    }

    final String rule() {
        return rule;
    }

    /** How many times the rule was evaluated. */
    final long checks() {
        return checks;
    }

    protected final void check(boolean holds, String text) {
        checks++;
        if (!holds) {
            violations.add(rule, text);
        }
    }

    /**
     * Called for each response to a user, before the response is recorded in its {@link SoakJob}.
     */
    void onResponse(UserResponse response) {}

    /** Called when an agent executes the start command of an attempt that it does not list. */
    void onAttemptStarted(AttemptStart start) {}

    /** Called when a machine has fetched the image of a task and starts it. */
    void onTaskStarted(TaskStart start) {}

    /** Called when a task no longer runs on the machine. */
    void onTaskStopped(String machine, String taskId) {}

    /** Called periodically. */
    void onTick(long nowMicros) {}
}
