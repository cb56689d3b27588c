package org.woadloom.soak;

import java.util.Map;

/** One rule of the protocol, checked by what can be seen from outside of the controllers. */
abstract class RuleChecker {
    /** Receives what breaks a rule. */
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

    /** How often the rule was held against something. */
    final long checks() {
        return checks;
    }

    protected final void check(boolean holds, String text) {
        checks++;
        if (!holds) {
            violations.add(rule, text);
        }
    }

    /** A user got an answer; the job's own facts are as they were before it. */
    void onResponse(UserResponse response) {}

    /** A task has its image and begins on a machine. */
    void onTaskStarted(TaskStart start) {}

    /** A task is not on its machine any more. */
    void onTaskStopped(String machine, String taskId) {}

    /** Time has passed. */
    void onTick(long nowMicros) {}
}
