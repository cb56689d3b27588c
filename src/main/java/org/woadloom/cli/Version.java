package org.woadloom.cli;

/** The version of the program, which the build writes into the manifest of the jar. */
final class Version {
    private Version() {}

    static String text() {
        String version = Main.class.getPackage().getImplementationVersion();
        return "woadloom " + (version == null ? "(not packaged)" : version);
    }
}
