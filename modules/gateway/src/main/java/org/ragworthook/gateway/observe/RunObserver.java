package org.ragworthook.gateway.observe;

/**
 * Receives what is observed of one attempt at an upstream. Used on the event loop.
 */
public interface RunObserver {

	/**
	 * Called when the request is about to be written to a connection.
	 * @param resumed whether the upstream is asked to resume a stream; it then computes
	 * the earlier tokens first
	 */
	void sent(boolean resumed);

	/** Called when an event has been received. */
	void event();

	/**
	 * Called when reading of the response is paused or resumed, so that the time until
	 * the next event says nothing about the upstream.
	 */
	void readingChanged();

	/**
	 * Called when the attempt has ended other than by being cancelled.
	 * @param end how it ended
	 */
	void ended(End end);

	/**
	 * Returns an observer that keeps nothing.
	 * @return the observer
	 */
	static RunObserver none() {
		return new RunObserver() {

			@Override
			public void sent(boolean resumed) {
			}

			@Override
			public void event() {
			}

			@Override
			public void readingChanged() {
			}

			@Override
			public void ended(End end) {
			}

		};
	}

	/**
	 * How an attempt ended.
	 */
	enum End {

		/** With a complete response. */
		COMPLETE,

		/** With a server error, without a complete response, or without a connection. */
		FAILED,

		/** The upstream stated that it did not execute the request. */
		REJECTED

	}

}
