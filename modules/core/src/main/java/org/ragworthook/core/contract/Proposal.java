package org.ragworthook.core.contract;

import java.util.Objects;

/**
 * A contract that an operator submits for acceptance.
 *
 * @param text the contract as JSON with comments
 * @param baseVersion the version that the operator edited, or 0 for the first contract
 * @param author the name of the operator
 * @param reason the reason given by the operator
 * @param strandJobs whether to accept the contract even if open jobs lose their model or
 * account
 */
public record Proposal(String text, long baseVersion, String author, String reason, boolean strandJobs) {

	/**
	 * Checks that no component is null.
	 */
	public Proposal {
		Objects.requireNonNull(text, "text is null");
		Objects.requireNonNull(author, "author is null");
		Objects.requireNonNull(reason, "reason is null");
	}

}
