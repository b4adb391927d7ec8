package org.ragworthook.gateway.route;

/** How the requests of a route may be run. */
public enum RouteKind {

	/** Requests may be run any number of times. */
	IDEMPOTENT,

	/** Requests must be run at most once. */
	AT_MOST_ONCE,

	/** Requests are answered by a stream of events. */
	STREAM,

	/** Requests submit batch jobs, whose items are run later. */
	BATCH

}
