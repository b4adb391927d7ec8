package org.ragworthook.core.routing;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The upstream selected for one attempt. The attempt counts towards the upstream's
 * outstanding requests until {@link #release} is called.
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
	 * Returns the selected upstream.
	 * @return the upstream
	 */
	public Upstream upstream() {
		return this.upstream;
	}

	/**
	 * Returns why the upstream was selected.
	 * @return the reason
	 */
	public Reason reason() {
		return this.reason;
	}

	/**
	 * Ends the attempt and reports its outcome to the outlier detector. Further calls
	 * have no effect.
	 * @param outcome how the attempt ended for the upstream
	 */
	public void release(Outcome outcome) {
		Objects.requireNonNull(outcome, "outcome is null");
		if (this.released.compareAndSet(false, true)) {
			this.router.released(this.upstream, outcome);
		}
	}

	/**
	 * Why an upstream was selected.
	 */
	public enum Reason {

		/** The upstream is likely to have the beginning of the prompt in its cache. */
		PREFIX,

		/** The upstream has the lowest load in the entry's own failure domain. */
		LEAST_LOADED,

		/**
		 * The entry's own failure domain has no free capacity, and the upstream has the
		 * lowest load in the others.
		 */
		OTHER_DOMAIN

	}

	/**
	 * The outcome of an attempt as evidence about the health of the upstream.
	 */
	public enum Outcome {

		/** The upstream answered. */
		SUCCESS,

		/** The upstream failed, was disconnected, or did not accept the request. */
		FAILURE,

		/** The attempt says nothing about the health of the upstream. */
		UNKNOWN

	}

}
