package org.ragworthook.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectKey;

/**
 * The stored record of an uploaded file. It is written before the first chunk, so that
 * the chunks of an interrupted upload can be found, and again when all chunks are stored.
 * The JSON keys are the component names in snake case.
 *
 * @param hex the 32 hexadecimal digits of the file's identifier
 * @param account the account that owns the file
 * @param state the state of the upload
 * @param input the common name prefix of the chunks, unique to one upload attempt
 * @param abandoned the name prefixes of earlier upload attempts, whose chunks are to be
 * deleted
 * @param purpose the purpose that the account gave
 * @param filename the file name that the account gave
 * @param chunks the number of chunks
 * @param items the number of items, one a line
 * @param bytes the size of the uploaded content, in bytes
 * @param sha256 the SHA-256 hash of the uploaded content, in hexadecimal
 * @param models the models that the items name, up to a limit
 * @param endpoint the request path of all items
 * @param createdMillis when the upload was started, in milliseconds of Unix time
 * @param expiresMillis when the file expires, in milliseconds of Unix time
 */
public record FileRecord(String hex, String account, State state, String input, List<String> abandoned, String purpose,
		String filename, int chunks, int items, long bytes, String sha256, List<String> models, String endpoint,
		long createdMillis, long expiresMillis) {

	/**
	 * Copies the lists and replaces components that are missing in the stored record by
	 * empty ones.
	 */
	public FileRecord {
		Objects.requireNonNull(hex, "hex is null");
		Objects.requireNonNull(account, "account is null");
		Objects.requireNonNull(state, "state is null");
		Objects.requireNonNull(input, "input is null");
		abandoned = (abandoned != null) ? List.copyOf(abandoned) : List.of();
		purpose = Objects.requireNonNullElse(purpose, "");
		filename = Objects.requireNonNullElse(filename, "");
		sha256 = Objects.requireNonNullElse(sha256, "");
		models = (models != null) ? List.copyOf(models) : List.of();
		endpoint = Objects.requireNonNullElse(endpoint, "");
	}

	static FileRecord parse(String text) {
		return JobJson.read(text, FileRecord.class);
	}

	static FileRecord uploading(FileId id, FileSpec spec, String input, long now, long expires) {
		return new FileRecord(id.hex(), spec.account(), State.UPLOADING, input, List.of(), spec.purpose(),
				spec.filename(), 0, 0, 0, "", List.of(), "", now, expires);
	}

	String text() {
		return JobJson.write(this);
	}

	FileRecord restarted(String next) {
		List<String> abandonedInputs = new ArrayList<>(this.abandoned);
		abandonedInputs.add(this.input);
		return new FileRecord(this.hex, this.account, this.state, next, abandonedInputs, this.purpose, this.filename, 0,
				0, 0, "", List.of(), "", this.createdMillis, this.expiresMillis);
	}

	FileRecord stored(UploadSummary summary) {
		return new FileRecord(this.hex, this.account, State.STORED, this.input, this.abandoned, this.purpose,
				this.filename, summary.chunks(), summary.items(), summary.bytes(), summary.sha256(), summary.models(),
				summary.endpoint(), this.createdMillis, this.expiresMillis);
	}

	FileRecord withoutAbandoned() {
		return with(this.state, List.of());
	}

	FileRecord deleting() {
		return with(State.DELETING, this.abandoned);
	}

	FileRecord undeleted() {
		return with(State.STORED, this.abandoned);
	}

	private FileRecord with(State next, List<String> abandonedInputs) {
		return new FileRecord(this.hex, this.account, next, this.input, abandonedInputs, this.purpose, this.filename,
				this.chunks, this.items, this.bytes, this.sha256, this.models, this.endpoint, this.createdMillis,
				this.expiresMillis);
	}

	/**
	 * Returns the identifier of the file.
	 * @return the identifier
	 */
	public FileId id() {
		return new FileId(this.hex, FileId.Content.UPLOAD);
	}

	/**
	 * Returns whether the file can be used.
	 * @return whether all chunks are stored and the file is not being deleted
	 */
	public boolean ready() {
		return this.state == State.STORED;
	}

	/**
	 * Returns the key of a chunk.
	 * @param input the common name prefix of the chunks
	 * @param chunk the number of the chunk, from 0
	 * @return the key in the object store
	 */
	public static ObjectKey chunkKey(String input, int chunk) {
		return ObjectKey.of(Kind.CHUNK, input + "-" + chunk);
	}

	Labels labels(int shards) {
		return Labels.of("account", Digests.name("account", this.account))
			.with("shard", Integer.toString(Digests.shard(this.hex, shards)));
	}

	/**
	 * The state of a file.
	 */
	public enum State {

		/** Chunks are being stored. */
		UPLOADING,

		/** All chunks are stored. */
		STORED,

		/** The file is being deleted. */
		DELETING

	}

}
