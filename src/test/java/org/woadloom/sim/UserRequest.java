package org.woadloom.sim;

import java.util.Locale;

/** Kind of a user's request to a node. */
enum UserRequest {
    SUBMIT,
    POLL,
    CANCEL;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
