package holdproxy.scale.virtual;

import java.util.Arrays;

/** Virtual time in microseconds: what is due next runs next; at the same time, in the order of asking. */
final class EventClock {

    interface Event {
        void run();
    }

    private static final int CHILDREN = 4;

    private long[] due = new long[1024];
    private long[] order = new long[1024];
    private Event[] events = new Event[1024];
    private int size;
    private long now;
    private long asked;
    private long ran;

    long now() {
        return now;
    }

    /** Events that have run so far. */
    long ran() {
        return ran;
    }

    int pending() {
        return size;
    }

    void after(long delayUs, Event event) {
        at(now + Math.max(0, delayUs), event);
    }

    void at(long timeUs, Event event) {
        if (timeUs < now) {
            throw new IllegalArgumentException("an event at " + timeUs + " us, before now, " + now);
        }
        if (size == due.length) {
            due = Arrays.copyOf(due, 2 * size);
            order = Arrays.copyOf(order, 2 * size);
            events = Arrays.copyOf(events, 2 * size);
        }
        int i = size++;
        long mine = asked++;
        while (i > 0) {
            int parent = (i - 1) / CHILDREN;
            if (due[parent] <= timeUs) {
                break; // asked for earlier, so first at the same time too
            }
            move(parent, i);
            i = parent;
        }
        set(i, timeUs, mine, event);
    }

    /** Runs all that is due up to this time and leaves the clock there. */
    void runUntil(long endUs) {
        while (size > 0 && due[0] <= endUs) {
            now = due[0];
            Event event = events[0];
            removeFirst();
            ran++;
            event.run();
        }
        now = endUs;
    }

    private void removeFirst() {
        size--;
        long time = due[size];
        long mine = order[size];
        Event event = events[size];
        events[size] = null;
        if (size == 0) {
            return;
        }
        int i = 0;
        while (true) {
            int first = CHILDREN * i + 1;
            if (first >= size) {
                break;
            }
            int least = first;
            int last = Math.min(first + CHILDREN, size);
            for (int c = first + 1; c < last; c++) {
                if (before(c, least)) {
                    least = c;
                }
            }
            if (due[least] > time || due[least] == time && order[least] > mine) {
                break;
            }
            move(least, i);
            i = least;
        }
        set(i, time, mine, event);
    }

    private boolean before(int a, int b) {
        return due[a] < due[b] || due[a] == due[b] && order[a] < order[b];
    }

    private void move(int from, int to) {
        due[to] = due[from];
        order[to] = order[from];
        events[to] = events[from];
    }

    private void set(int i, long timeUs, long mine, Event event) {
        due[i] = timeUs;
        order[i] = mine;
        events[i] = event;
    }
}
