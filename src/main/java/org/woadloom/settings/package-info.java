/**
 * Settings files: the platform's ({@link org.woadloom.settings.ServiceSettingsFile}, TOML) and the
 * operators' ({@link org.woadloom.settings.OperatorSettingsFile}, HCL), read once when a process
 * starts, and checked for contradictions by {@link org.woadloom.settings.SettingsValidator}. Only
 * the readers know the keys of the files.
 *
 * <p>Depends on no other package of this project.
 */
package org.woadloom.settings;
