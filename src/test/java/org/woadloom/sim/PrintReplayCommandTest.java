package org.woadloom.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class PrintReplayCommandTest {
    @Test
    void commandNamesTestAndSeed() {
        assertEquals(
                "mvn test -Dtest='RandomScenariosTest#rulesHold' -Dseed=7",
                PrintReplayCommand.command("RandomScenariosTest", "rulesHold", 7));
    }

    @Test
    void seedPropertyRestrictsRunsToThatSeed() {
        String before = System.getProperty(Seeds.SEED_PROPERTY);
        try {
            System.clearProperty(Seeds.SEED_PROPERTY);
            assertArrayEquals(new long[] {1, 2, 3}, Seeds.first(3));
            System.setProperty(Seeds.SEED_PROPERTY, "7");
            assertArrayEquals(new long[] {7}, Seeds.first(3));
            assertArrayEquals(new long[] {7}, Seeds.firstOrConfigured(3));
        } finally {
            if (before == null) {
                System.clearProperty(Seeds.SEED_PROPERTY);
            } else {
                System.setProperty(Seeds.SEED_PROPERTY, before);
            }
        }
    }
}
