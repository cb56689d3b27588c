/**
 * Client of the store, a consensus-backed key-value store, and the definitions of everything kept
 * in it: the keys ({@link org.woadloom.store.StoreKeys}) and the records of jobs, machines and
 * rollouts with their stored field names.
 *
 * <p>Start reading at {@link org.woadloom.store.StoreClient}. Depends only on {@code net}, {@code
 * protocol} and {@code settings}. Stored names and formats never change; a new format is introduced
 * as a feature with a rollout of its own.
 */
package org.woadloom.store;
