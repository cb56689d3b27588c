/**
 * Resources held on machines for gangs and large tasks until they can start.
 *
 * <p>Reservations are the leader's working state and are not stored. Depends on jobs, machines and
 * placement constraints; starts with {@link org.woadloom.core.reservation.Reservations}.
 */
package org.woadloom.core.reservation;
