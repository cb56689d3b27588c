/**
 * Passes over the test cases that KNOWN-RED.txt lists, and over nothing else. Starts with {@link
 * org.woadloom.knownred.KnownRedExtension}.
 */
package org.woadloom.knownred;
