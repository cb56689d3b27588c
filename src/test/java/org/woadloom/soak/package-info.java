/**
 * A soak test of real controller processes over loopback under randomized faults. {@link
 * org.woadloom.soak.SoakRun} plays one seed: the processes, a proxy on each link between them and
 * to the store and the cloud, simulated store, cloud, agents and users inside the driver, a seeded
 * schedule of faults, and checkers that know only what can be seen from outside. {@link
 * org.woadloom.soak.SoakCommand} plays several by hand, {@code SoakTest} a short one.
 */
package org.woadloom.soak;
