package org.woadloom.sim;

import java.util.Locale;

/** What a user asked of a node. */
enum UserRequest {
    SUBMIT,
    POLL,
    CANCEL;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
