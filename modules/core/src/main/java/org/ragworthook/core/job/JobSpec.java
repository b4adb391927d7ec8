package org.ragworthook.core.job;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What an account asks for with a job.
 *
 * @param account the account
 * @param idempotencyKey the account's key of this job, or empty if it gave none
 * @param input the file with the items
 * @param endpoint the path that all items go to
 * @param window in which time the job is to be completed
 * @param metadata the account's own notes
 */
public record JobSpec(String account, Optional<String> idempotencyKey, FileId input, String endpoint, Duration window,
		Map<String, String> metadata) {

	/**
	 * Copies the notes.
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
	 * Returns the job's name. Without a key the job is named by what it asks for: a
	 * client that lost the answer sends the same again, and must not start the work
	 * twice.
	 * @return the name
	 */
	public JobId id() {
		return JobId.of(this.account, this.idempotencyKey.map((key) -> "key:" + key).orElseGet(() -> "body:" + ask()));
	}

	/**
	 * Returns what tells this job from another under the same key.
	 * @param file the record of the file with the items
	 * @return a hash of the content
	 */
	String fingerprint(FileRecord file) {
		return Digests.name("spec", file.sha256(), this.endpoint, this.window.toString(),
				new TreeMap<>(this.metadata).toString());
	}

	private String ask() {
		return Digests.name("ask", this.input.hex(), this.endpoint, this.window.toString(),
				new TreeMap<>(this.metadata).toString());
	}

}
