/**
 * The client of the cloud that offers machines; {@link org.woadloom.cloud.CloudClient} is the entry
 * type. It keeps to the rate that the settings allow.
 */
package org.woadloom.cloud;
