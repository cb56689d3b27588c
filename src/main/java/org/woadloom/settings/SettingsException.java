package org.woadloom.settings;

/** A settings file that can't be used; the text names file, key and what was expected. */
public final class SettingsException extends Exception {
    public SettingsException(String message) {
        super(message);
    }
}
