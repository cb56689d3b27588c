/**
 * The HTTP interface of a node. {@link org.woadloom.http.ApiServer} listens and bounds the
 * connections ({@link org.woadloom.http.ConnectionLimiter}), {@link org.woadloom.http.Router} picks
 * the handler by method and path, and {@link org.woadloom.http.JobApi} answers users: a submission,
 * a poll and a cancellation each have a handler of their own, which answers with a {@code
 * JobAnswer} that is mapped to HTTP once.
 *
 * <p>Depends on {@code reads}, {@code store}, {@code net}, {@code protocol}, {@code settings} and
 * {@code metrics}; what it needs of the node stands in interfaces that the node implements.
 */
package org.woadloom.http;
