package org.ragworthook.gateway.route;

/**
 * What may be done with the requests of a route.
 */
public enum RouteKind {

	/** May be run any number of times. */
	IDEMPOTENT,

	/** May be run once at most. */
	AT_MOST_ONCE,

	/** Answered by a series of events. */
	STREAM,

	/** Takes batch jobs, which are run later. */
	BATCH

}
