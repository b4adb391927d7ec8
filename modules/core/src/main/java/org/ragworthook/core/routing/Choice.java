package org.ragworthook.core.routing;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * An upstream chosen for one attempt. The attempt is counted at the upstream until the
 * choice is released.
 */
public final class Choice {

	private final Router router;

	private final Upstream upstream;

	private final Reason reason;

	private final AtomicBoolean released = new AtomicBoolean();

	Choice(Router router, Upstream upstream, Reason reason) {
		this.router = router;
		this.upstream = Objects.requireNonNull(upstream, "upstream is null");
		this.reason = Objects.requireNonNull(reason, "reason is null");
	}

	/**
	 * Returns the upstream.
	 * @return the upstream that was chosen
	 */
	public Upstream upstream() {
		return this.upstream;
	}

	/**
	 * Returns what the choice was made by.
	 * @return the reason
	 */
	public Reason reason() {
		return this.reason;
	}

	/**
	 * Ends the attempt. Further calls have no effect.
	 * @param fared how the upstream fared
	 */
	public void release(Outcome fared) {
		Objects.requireNonNull(fared, "fared is null");
		if (this.released.compareAndSet(false, true)) {
			this.router.released(this.upstream, fared);
		}
	}

	/**
	 * What a choice was made by.
	 */
	public enum Reason {

		/** The beginning of the prompt is likely to be in its cache. */
		PREFIX,

		/** It has the least to do. */
		LEAST_LOADED,

		/** The own failure domain is short, and it has the least to do elsewhere. */
		OTHER_DOMAIN

	}

	/**
	 * How an upstream fared with an attempt.
	 */
	public enum Outcome {

		/** It answered. */
		SUCCESS,

		/** It failed, was lost, or did not take the request. */
		FAILURE,

		/** The attempt says nothing about it. */
		UNKNOWN

	}

}
