package org.woadloom.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class WriteBudgetTest {
    private static final double RATE = 30;
    private static final int SECONDS = 200;

    /**
     * Whatever is wanted, no more is asked for than the rate allows, and neither kind holds up the
     * other.
     */
    @Test
    void theRateIsKeptAndEachKindHasItsPart() {
        Random random = new Random(4);
        for (double machinesWanted : new double[] {0, 0.2, 1}) {
            for (double jobsWanted : new double[] {0, 0.2, 1}) {
                WriteBudget budget = new WriteBudget();
                budget.setRate(RATE);
                int jobs = 0;
                int machines = 0;
                for (int step = 0; step < SECONDS * 100; step++) {
                    budget.refill(step * 10_000L);
                    if (random.nextDouble() < machinesWanted && budget.allowsMachineWrite()) {
                        budget.consumeMachineToken();
                        machines++;
                    }
                    if (random.nextDouble() < jobsWanted && budget.allowsJobWrite()) {
                        budget.consumeJobTokens(1);
                        jobs++;
                    }
                }
                assertTrue(
                        jobs + machines <= RATE * SECONDS * 1.02 + 40, jobs + " and " + machines);
                if (jobsWanted > 0) {
                    assertTrue(
                            jobs >= Math.min(jobsWanted * 100, RATE * 0.55) * SECONDS,
                            jobs + " of jobs");
                }
                if (machinesWanted > 0) {
                    assertTrue(
                            machines >= Math.min(machinesWanted * 100, RATE * 0.35) * SECONDS,
                            machines + " of machines");
                }
            }
        }
    }

    /** A cascade of cancellations goes ahead of launches, but not without bound. */
    @Test
    void endsGoAheadOfLaunches() {
        WriteBudget budget = new WriteBudget();
        budget.setRate(RATE);
        budget.refill(0);
        int ends = 0;
        while (budget.allowsFinalStateWrite() && ends < 10_000) {
            budget.consumeJobTokens(2);
            ends++;
        }
        assertTrue(ends > 20 && ends < 100, ends + " ends at once");
        assertTrue(!budget.allowsJobWrite());
    }
}
