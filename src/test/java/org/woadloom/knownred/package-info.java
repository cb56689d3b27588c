/**
 * Lets CI ignore the known test failures listed in KNOWN-RED.txt, and no others. The entry point is
 * {@link org.woadloom.knownred.KnownRedExtension}.
 */
package org.woadloom.knownred;
