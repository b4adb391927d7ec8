package org.ragworthook.cli.explain;

/**
 * Why a request was not answered in time. Of several causes the one that came first in
 * the request's life counts.
 */
enum Cause {

	/** The entry had started less than three seconds before. */
	JUST_STARTED("entry had just started"),

	/** An upstream could not be reached, broke off or sent what is no answer. */
	ATTEMPT_FAILED("upstream failed"),

	/** An upstream said that it had not run the request. */
	NOT_RUN("upstream turned it away"),

	/** Nothing came from an upstream, and the request was moved to another. */
	MOVED("upstream silent, moved"),

	/** The dispatcher refused it, since its account was above its share of the slots. */
	OVER_SHARE("refused, account above its share"),

	/** It waited for a slot before it was sent. */
	WAITED("waited for a slot"),

	/** It was sent to an upstream that was known to be full. */
	KNOWN_FULL("sent to an upstream known to be full"),

	/** It was sent to an upstream that was believed to have a slot free. */
	BELIEVED_FREE("sent where a slot was believed free"),

	/** It was never sent, and not refused either. */
	NOT_SENT("never sent, nor asked for a slot");

	private final String words;

	Cause(String words) {
		this.words = words;
	}

	/**
	 * Returns the cause in words.
	 * @return the words
	 */
	String words() {
		return this.words;
	}

}
