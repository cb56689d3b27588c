/**
 * The rate-limited client of the cloud API that machines are rented from; {@link
 * org.woadloom.cloud.CloudClient} is the entry point.
 */
package org.woadloom.cloud;
