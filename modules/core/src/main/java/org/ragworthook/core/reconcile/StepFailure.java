package org.ragworthook.core.reconcile;

import java.util.Objects;

/**
 * A step that fails again and again.
 *
 * @param upstream the upstream, or the empty text if it fails on several
 * @param subject what was to be loaded or unloaded
 * @param count how often it failed in a row
 * @param detail how it last failed
 * @param retryNanos when it is tried again, by the ticker of the process
 */
public record StepFailure(String upstream, String subject, int count, String detail, long retryNanos) {

	/**
	 * Checks that all parts are there.
	 */
	public StepFailure {
		Objects.requireNonNull(upstream, "upstream is null");
		Objects.requireNonNull(subject, "subject is null");
		Objects.requireNonNull(detail, "detail is null");
	}

}
