/**
 * Reservations of machine resources for gangs and large tasks until these can start.
 *
 * <p>Reservations exist only in the leader's memory and are not stored. The package depends on
 * jobs, machines and placement constraints. Start reading at {@link
 * org.woadloom.core.reservation.Reservations}.
 */
package org.woadloom.core.reservation;
