package org.woadloom.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class WriteBudgetTest {
    private static final double RATE = 30;
    private static final int SECONDS = 200;

    /** Whatever the demand, the total stays within the rate, and neither kind starves the other. */
    @Test
    void writesStayWithinRateAndJobsAndMachinesGetTheirShares() {
        Random random = new Random(4);
        for (double machineWriteProbability : new double[] {0, 0.2, 1}) {
            for (double jobWriteProbability : new double[] {0, 0.2, 1}) {
                WriteBudget budget = new WriteBudget();
                budget.setRate(RATE);
                int jobs = 0;
                int machines = 0;
                for (int step = 0; step < SECONDS * 100; step++) {
                    budget.refill(step * 10_000L);
                    if (random.nextDouble() < machineWriteProbability
                            && budget.allowsMachineWrite()) {
                        budget.consumeMachineToken();
                        machines++;
                    }
                    if (random.nextDouble() < jobWriteProbability && budget.allowsJobWrite()) {
                        budget.consumeJobTokens(1);
                        jobs++;
                    }
                }
                assertTrue(
                        jobs + machines <= RATE * SECONDS * 1.02 + 40,
                        jobs + " job writes and " + machines + " machine writes");
                if (jobWriteProbability > 0) {
                    assertTrue(
                            jobs >= Math.min(jobWriteProbability * 100, RATE * 0.55) * SECONDS,
                            jobs + " job writes");
                }
                if (machineWriteProbability > 0) {
                    assertTrue(
                            machines
                                    >= Math.min(machineWriteProbability * 100, RATE * 0.35)
                                            * SECONDS,
                            machines + " machine writes");
                }
            }
        }
    }

    /** A cascade of cancellations is written before starts of tasks, but not without limit. */
    @Test
    void finalStatesMayOverdrawTheBudgetByALimitedAmount() {
        WriteBudget budget = new WriteBudget();
        budget.setRate(RATE);
        budget.refill(0);
        int finalStates = 0;
        while (budget.allowsFinalStateWrite() && finalStates < 10_000) {
            budget.consumeJobTokens(2);
            finalStates++;
        }
        assertTrue(
                finalStates > 20 && finalStates < 100,
                finalStates + " final states without a refill");
        assertTrue(!budget.allowsJobWrite());
    }
}
