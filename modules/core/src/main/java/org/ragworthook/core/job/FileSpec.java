package org.ragworthook.core.job;

import java.util.Objects;
import java.util.Optional;

/**
 * What an account says about a file that it uploads.
 *
 * @param account the account
 * @param idempotencyKey the account's key of this upload, or empty if it gave none
 * @param purpose what it is for, as the OpenAI API names it
 * @param filename the name at the account's side
 */
public record FileSpec(String account, Optional<String> idempotencyKey, String purpose, String filename) {

	/** The purpose of a file with the items of a job. */
	public static final String BATCH = "batch";

	/**
	 * Checks that all parts are there.
	 */
	public FileSpec {
		Objects.requireNonNull(account, "account is null");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey is null");
		Objects.requireNonNull(purpose, "purpose is null");
		Objects.requireNonNull(filename, "filename is null");
	}

}
