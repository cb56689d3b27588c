package org.woadloom.cli;

/** The version that the build wrote into the jar's manifest. */
final class Version {
    private Version() {}

    static String text() {
        String version = Main.class.getPackage().getImplementationVersion();
        return "woadloom " + (version == null ? "(not packaged)" : version);
    }
}
