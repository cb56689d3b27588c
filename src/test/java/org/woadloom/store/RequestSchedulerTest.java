package org.woadloom.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadloom.store.StoreClient.RequestPriority;

/** Tests the order of requests at rates of 100 requests and 40 changes per second. */
class RequestSchedulerTest {
    private static final long SECOND = 1_000_000;

    private final RequestScheduler<RequestPriority> scheduler = new RequestScheduler<>();
    private long now;

    RequestSchedulerTest() {
        scheduler.setRates(now, 100, 40);
        now += SECOND;
    }

    private void add(RequestPriority priority, int count, int changes) {
        for (int i = 0; i < count; i++) {
            assertTrue(scheduler.add(priority, priority, changes));
        }
    }

    /** Returns the requests sent within the given time. */
    private List<RequestPriority> sentWithin(long micros) {
        List<RequestPriority> sent = new ArrayList<>();
        long until = now + micros;
        while (now < until) {
            RequestScheduler.Decision<RequestPriority> turn = scheduler.next(now, false, 0);
            if (turn.request() != null) {
                sent.add(turn.request());
            } else {
                now += Math.min(turn.waitMicros(), until - now);
            }
        }
        return sent;
    }

    private static Map<RequestPriority, Integer> counts(List<RequestPriority> sent) {
        Map<RequestPriority, Integer> counts = new EnumMap<>(RequestPriority.class);
        sent.forEach(priority -> counts.merge(priority, 1, Integer::sum));
        return counts;
    }

    @Test
    void controlRequestsAreSentFirstWhenTheRateIsExhausted() {
        add(RequestPriority.USER, 4_000, 1);
        sentWithin(5 * SECOND);
        add(RequestPriority.CONTROL, 1, 2);
        add(RequestPriority.CONTROL, 1, 0);
        RequestScheduler.Decision<RequestPriority> first = scheduler.next(now, true, SECOND);
        RequestScheduler.Decision<RequestPriority> second = scheduler.next(now, true, SECOND);
        assertEquals(
                List.of(RequestPriority.CONTROL, RequestPriority.CONTROL),
                List.of(first.request(), second.request()));
    }

    /**
     * The reserve is bounded: even a bug that submits control requests without end must stay within
     * the store's rate.
     */
    @Test
    void backloggedControlRequestsExceedRateByAtMostTheirReserve() {
        add(RequestPriority.CONTROL, 1_000, 1);
        int sent = sentWithin(5 * SECOND).size();
        assertTrue(sent >= 5 * 40 && sent <= 6 * 40 + 5, sent + " were sent");
    }

    @Test
    void fewUserRequestsAreSentBeforeABacklogOfUrgentOnes() {
        add(RequestPriority.URGENT, 500, 1);
        sentWithin(3 * SECOND);
        add(RequestPriority.USER, 10, 1);
        assertEquals(
                Map.of(RequestPriority.USER, 10), counts(sentWithin(SECOND / 2).subList(0, 10)));
    }

    @Test
    void backloggedSharesDivideTheRateByWeight() {
        add(RequestPriority.USER, 4_000, 1);
        add(RequestPriority.URGENT, 4_000, 1);
        add(RequestPriority.NORMAL, 4_000, 1);
        add(RequestPriority.BACKGROUND, 4_000, 1);
        sentWithin(5 * SECOND);
        Map<RequestPriority, Integer> sent = counts(sentWithin(100 * SECOND));
        assertEquals(4_000 * 8 / 19.0, sent.get(RequestPriority.USER), 20);
        assertEquals(4_000 * 8 / 19.0, sent.get(RequestPriority.URGENT), 20);
        assertEquals(4_000 * 2 / 19.0, sent.get(RequestPriority.NORMAL), 20);
        assertEquals(4_000 / 19.0, sent.get(RequestPriority.BACKGROUND), 20);
    }

    @Test
    void singleActiveShareGetsTheWholeRate() {
        add(RequestPriority.BACKGROUND, 4_000, 1);
        int sent = sentWithin(10 * SECOND).size();
        assertTrue(sent >= 10 * 40, sent + " were sent");
    }

    /**
     * Reads must not wait behind changes that wait for their rate, and a large change must not be
     * overtaken by small ones indefinitely.
     */
    @Test
    void largeChangeLetsReadsPassButIsNotStarvedBySmallChanges() {
        add(RequestPriority.URGENT, 10, 40);
        sentWithin(1_000);
        add(RequestPriority.NORMAL, 1, 0);
        assertEquals(List.of(RequestPriority.NORMAL), sentWithin(1_000));
        add(RequestPriority.NORMAL, 1_000, 1);
        assertTrue(counts(sentWithin(10 * SECOND)).get(RequestPriority.URGENT) >= 7);
    }

    /** Cancellations go first because they free resources that other users wait for. */
    @Test
    void cancellationsAreSentBeforeOtherUserRequests() {
        add(RequestPriority.USER, 1_000, 1);
        sentWithin(SECOND);
        add(RequestPriority.CANCELLATION, 10, 1);
        assertEquals(
                Map.of(RequestPriority.CANCELLATION, 10),
                counts(sentWithin(SECOND).subList(0, 10)));
    }

    @Test
    void estimatedWaitMatchesTheActualWait() {
        add(RequestPriority.URGENT, 4_000, 1);
        add(RequestPriority.USER, 100, 1);
        sentWithin(2 * SECOND);
        add(RequestPriority.USER, 60, 1);
        long estimated = scheduler.estimatedWaitMicros(now, RequestPriority.USER, 1);
        assertTrue(estimated > scheduler.estimatedWaitMicros(now, RequestPriority.CANCELLATION, 1));
        add(RequestPriority.USER, 1, 1);
        long from = now;
        while (scheduler.estimatedWaitMicros(now, RequestPriority.USER, 1) > 60_000
                && now - from < 20 * SECOND) {
            sentWithin(10_000);
        }
        assertEquals(estimated, now - from, 0.2 * estimated);
    }

    @Test
    void removedRequestsAreNotSent() {
        add(RequestPriority.USER, 3, 1);
        assertTrue(scheduler.remove(RequestPriority.USER, RequestPriority.USER, 1));
        assertEquals(List.of(), sentWithin(SECOND));
    }

    /** A full queue must refuse further requests of its share without affecting other shares. */
    @Test
    void fullQueueRefusesOnlyItsOwnShare() {
        int added = 0;
        while (added < 100_000
                && scheduler.add(RequestPriority.NORMAL, RequestPriority.NORMAL, 0)) {
            added++;
        }
        assertTrue(added >= 4_000 && added < 100_000, added + " were taken");
        add(RequestPriority.USER, 1, 0);
        add(RequestPriority.CONTROL, 1, 0);
        assertEquals(
                List.of(RequestPriority.CONTROL, RequestPriority.USER),
                sentWithin(SECOND).subList(0, 2));
    }
}
