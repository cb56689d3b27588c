package org.woadloom.core.jobs;

/** How a job's durable record stands against what the core knows. */
public final class Recording {
    /** What a change needs: the more urgent a change, the sooner it is written. */
    public enum Need { NONE, PHASE, OUTCOME, LAUNCH }

    /** The record's stamp as far as known. */
    public long stamp;
    /** Versions up to this one are durable. */
    public long durable;
    /** The version that is being written, 0 for none. */
    public long writing;
    private long next = 1;
    public Need need = Need.NONE;
    /** The answer to a write was lost or it met a conflict: the record must be read before the next write. */
    public boolean reading;
    public boolean readSent;
    public long lastWriteMicros = Long.MIN_VALUE / 2;
    public long retryMicros;
    /** The final state is being written or is written. */
    public boolean finishing;

    Recording(long stamp) {
        this.stamp = stamp;
    }

    /** The version that the next write will have; a change made now is durable with it. */
    public long nextVersion() {
        return next;
    }

    public void needs(Need at) {
        if (at.compareTo(need) > 0) {
            need = at;
        }
    }

    public long begin(long nowMicros) {
        writing = next++;
        need = Need.NONE;
        lastWriteMicros = nowMicros;
        return writing;
    }

    public void confirmed(long version, long newStamp) {
        durable = Math.max(durable, version);
        stamp = Math.max(stamp, newStamp);
        if (writing == version) {
            writing = 0;
            reading = false;
        }
    }
}
