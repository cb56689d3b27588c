/**
 * The client of the store, a consensus-backed key-value store, and all that is kept in it: the keys
 * ({@link org.woadloom.store.StoreKeys}) and the records of jobs, machines and rollouts with their
 * stored names.
 *
 * <p>{@link org.woadloom.store.StoreClient} is where to begin. Only {@code net}, {@code protocol}
 * and {@code settings} are used from here. Stored names and forms never change; a new form is a
 * feature that is rolled out.
 */
package org.woadloom.store;
