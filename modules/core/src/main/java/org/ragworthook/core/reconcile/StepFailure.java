package org.ragworthook.core.reconcile;

import java.util.Objects;

/**
 * A step that has failed repeatedly.
 *
 * @param upstream the upstream id, or an empty string if the step fails on several
 * upstreams
 * @param subject the model or adapter to load or unload
 * @param count the number of consecutive failures
 * @param detail the last error
 * @param retryNanos the ticker's reading at which the step is retried
 */
public record StepFailure(String upstream, String subject, int count, String detail, long retryNanos) {

	/**
	 * Checks that no component is null.
	 */
	public StepFailure {
		Objects.requireNonNull(upstream, "upstream is null");
		Objects.requireNonNull(subject, "subject is null");
		Objects.requireNonNull(detail, "detail is null");
	}

}
