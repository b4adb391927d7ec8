package org.ragworthook.core.job;

import java.util.Objects;
import java.util.Optional;

/**
 * The description of a file that an account uploads.
 *
 * @param account the account
 * @param idempotencyKey the account's idempotency key of the upload, or empty if it sent
 * none
 * @param purpose the purpose of the file, as the OpenAI API names it
 * @param filename the file name that the account gave
 */
public record FileSpec(String account, Optional<String> idempotencyKey, String purpose, String filename) {

	/** The purpose of a file that contains the items of a batch job. */
	public static final String BATCH = "batch";

	/**
	 * Checks that no component is null.
	 */
	public FileSpec {
		Objects.requireNonNull(account, "account is null");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey is null");
		Objects.requireNonNull(purpose, "purpose is null");
		Objects.requireNonNull(filename, "filename is null");
	}

}
