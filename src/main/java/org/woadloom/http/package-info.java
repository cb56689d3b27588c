/**
 * The HTTP interface of a node. {@link org.woadloom.http.ApiServer} listens and limits the number
 * of connections ({@link org.woadloom.http.ConnectionLimiter}), {@link org.woadloom.http.Router}
 * picks the handler by method and path, and {@link org.woadloom.http.JobApi} answers users.
 * Submissions, polls and cancellations each have their own handler, which answers with a {@code
 * JobAnswer}; only that type maps answers to HTTP responses.
 *
 * <p>Depends on {@code reads}, {@code store}, {@code net}, {@code protocol}, {@code settings} and
 * {@code metrics}; the node implements the interfaces that this package declares for what it needs
 * of the node.
 */
package org.woadloom.http;
