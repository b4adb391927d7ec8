package org.ragworthook.core.job;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A job as an account submits it.
 *
 * @param account the account
 * @param idempotencyKey the account's idempotency key, or empty if it sent none
 * @param input the input file
 * @param endpoint the request path of all items
 * @param window the completion window
 * @param metadata the key-value pairs that the account attached
 */
public record JobSpec(String account, Optional<String> idempotencyKey, FileId input, String endpoint, Duration window,
		Map<String, String> metadata) {

	/**
	 * Copies the metadata.
	 */
	public JobSpec {
		Objects.requireNonNull(account, "account is null");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey is null");
		Objects.requireNonNull(input, "input is null");
		Objects.requireNonNull(endpoint, "endpoint is null");
		Objects.requireNonNull(window, "window is null");
		metadata = Map.copyOf(metadata);
	}

	/**
	 * Returns the identifier of the job. Without an idempotency key it is derived from
	 * the content of the request: a client that lost the answer repeats the same request,
	 * and must not start the work twice.
	 * @return the identifier
	 */
	public JobId id() {
		return JobId.of(this.account,
				this.idempotencyKey.map((key) -> "key:" + key).orElseGet(() -> "body:" + contentHash()));
	}

	/**
	 * Returns a hash that differs between two jobs with the same key and different
	 * content.
	 * @param file the record of the input file
	 * @return the hash
	 */
	String fingerprint(FileRecord file) {
		return Digests.name("spec", file.sha256(), this.endpoint, this.window.toString(),
				new TreeMap<>(this.metadata).toString());
	}

	private String contentHash() {
		return Digests.name("ask", this.input.hex(), this.endpoint, this.window.toString(),
				new TreeMap<>(this.metadata).toString());
	}

}
