/**
 * The settings files: the platform's ({@link org.woadloom.settings.ServiceSettingsFile}, TOML) and
 * the operators' own ({@link org.woadloom.settings.OperatorSettingsFile}, HCL), read once when a
 * process starts, and checked against each other by {@link
 * org.woadloom.settings.SettingsValidator}. The keys of the files stand in the readers alone.
 *
 * <p>Depends on no other package of the program.
 */
package org.woadloom.settings;
