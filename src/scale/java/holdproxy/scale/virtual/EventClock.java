package holdproxy.scale.virtual;

import java.util.Arrays;

/**
 * A virtual clock with the event queue of a discrete-event simulation. Times are in microseconds. Events run in the
 * order of their due times; events with the same due time run in the order in which they were scheduled.
 *
 * <p>The queue is a heap with four children per entry, kept in parallel arrays.
 */
final class EventClock {

    /** The action of a scheduled event. */
    interface Event {
        void run();
    }

    private static final int CHILDREN = 4;

    private long[] dueUs = new long[1024];
    private long[] sequences = new long[1024];
    private Event[] events = new Event[1024];
    private int size;
    private long now;
    private long nextSequence;
    private long executedEvents;

    /** The current virtual time in microseconds. */
    long now() {
        return now;
    }

    /** Number of events that have run so far. */
    long executedEvents() {
        return executedEvents;
    }

    /** Number of events that are scheduled and have not run yet. */
    int pendingEvents() {
        return size;
    }

    /** Schedules an event for {@code delayUs} microseconds from now; a negative delay counts as 0. */
    void scheduleAfter(long delayUs, Event event) {
        scheduleAt(now + Math.max(0, delayUs), event);
    }

    /**
     * Schedules an event for a time of this clock.
     *
     * @throws IllegalArgumentException if that time has already passed
     */
    void scheduleAt(long timeUs, Event event) {
        if (timeUs < now) {
            throw new IllegalArgumentException(
                    "cannot schedule an event at " + timeUs + " us: the clock is already at " + now);
        }
        if (size == dueUs.length) {
            dueUs = Arrays.copyOf(dueUs, 2 * size);
            sequences = Arrays.copyOf(sequences, 2 * size);
            events = Arrays.copyOf(events, 2 * size);
        }
        int index = size++;
        long sequence = nextSequence++;
        while (index > 0) {
            int parent = (index - 1) / CHILDREN;
            if (dueUs[parent] <= timeUs) {
                break; // An entry with the same due time was scheduled earlier and stays ahead.
            }
            moveEntry(parent, index);
            index = parent;
        }
        setEntry(index, timeUs, sequence, event);
    }

    /** Runs every event due up to and including {@code endUs}, then sets the clock to {@code endUs}. */
    void runUntil(long endUs) {
        while (size > 0 && dueUs[0] <= endUs) {
            now = dueUs[0];
            Event event = events[0];
            removeFirst();
            executedEvents++;
            event.run();
        }
        now = endUs;
    }

    /** Removes the first entry: the last entry of the heap takes its place at the root and is sifted down. */
    private void removeFirst() {
        size--;
        long timeUs = dueUs[size];
        long sequence = sequences[size];
        Event event = events[size];
        events[size] = null;
        if (size == 0) {
            return;
        }
        int index = 0;
        while (true) {
            int firstChild = CHILDREN * index + 1;
            if (firstChild >= size) {
                break;
            }
            int earliest = firstChild;
            int endChild = Math.min(firstChild + CHILDREN, size);
            for (int child = firstChild + 1; child < endChild; child++) {
                if (isBefore(child, earliest)) {
                    earliest = child;
                }
            }
            if (dueUs[earliest] > timeUs || dueUs[earliest] == timeUs && sequences[earliest] > sequence) {
                break;
            }
            moveEntry(earliest, index);
            index = earliest;
        }
        setEntry(index, timeUs, sequence, event);
    }

    private boolean isBefore(int a, int b) {
        return dueUs[a] < dueUs[b] || dueUs[a] == dueUs[b] && sequences[a] < sequences[b];
    }

    private void moveEntry(int from, int to) {
        dueUs[to] = dueUs[from];
        sequences[to] = sequences[from];
        events[to] = events[from];
    }

    private void setEntry(int index, long timeUs, long sequence, Event event) {
        dueUs[index] = timeUs;
        sequences[index] = sequence;
        events[index] = event;
    }
}
