/**
 * A soak test of real controller processes on the loopback interface under random faults. {@link
 * org.woadloom.soak.SoakRun} runs one seed: controller processes, a proxy on each link between them
 * and to the store and the cloud, a simulated store, cloud, agents and users in the process of the
 * test, a fault schedule generated from the seed, and rule checkers that use only what can be
 * observed outside of the controllers. {@link org.woadloom.soak.SoakCommand} runs seeds from the
 * command line, {@code SoakTest} runs one short seed.
 */
package org.woadloom.soak;
