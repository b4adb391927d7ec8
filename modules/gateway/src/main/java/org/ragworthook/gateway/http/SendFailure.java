package org.ragworthook.gateway.http;

/**
 * What is known of a request that got no complete answer.
 */
public enum SendFailure {

	/** No byte of it was sent. */
	NOT_SENT,

	/** It was sent; it may have run. */
	BROKEN,

	/** It was sent and bytes came back that are no answer to it; it may have run. */
	MALFORMED

}
