package org.ragworthook.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectKey;

/**
 * An uploaded file, as recorded at the platform. It is written before the first chunk, so
 * that the chunks of an upload that broke off can be found, and again once all chunks are
 * stored. JSON keys: the components in snake case.
 *
 * @param hex the file's name
 * @param account the account that owns it
 * @param state whether all chunks are stored
 * @param input the common part of the names of its chunks, unique to one try at the
 * upload
 * @param abandoned the common parts of earlier tries, whose chunks are to be collected
 * @param purpose what the account said it is for
 * @param filename the name that the account gave
 * @param chunks how many chunks there are
 * @param items how many lines there are
 * @param bytes how many bytes were sent
 * @param sha256 the hash of the bytes sent
 * @param models the models that its items name, up to a bound
 * @param endpoint the path that all its items go to
 * @param createdMillis when the upload began, Unix time
 * @param expiresMillis until when it is kept, Unix time
 */
public record FileRecord(String hex, String account, State state, String input, List<String> abandoned, String purpose,
		String filename, int chunks, int items, long bytes, String sha256, List<String> models, String endpoint,
		long createdMillis, long expiresMillis) {

	/**
	 * Copies the lists; a part that the record lacks is empty.
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

	static FileRecord begun(FileId id, FileSpec spec, String input, long now, long expires) {
		return new FileRecord(id.hex(), spec.account(), State.UPLOADING, input, List.of(), spec.purpose(),
				spec.filename(), 0, 0, 0, "", List.of(), "", now, expires);
	}

	String text() {
		return JobJson.write(this);
	}

	FileRecord begunAgain(String next) {
		List<String> tries = new ArrayList<>(this.abandoned);
		tries.add(this.input);
		return new FileRecord(this.hex, this.account, this.state, next, tries, this.purpose, this.filename, 0, 0, 0, "",
				List.of(), "", this.createdMillis, this.expiresMillis);
	}

	FileRecord stored(UploadSummary size) {
		return new FileRecord(this.hex, this.account, State.STORED, this.input, this.abandoned, this.purpose,
				this.filename, size.chunks(), size.items(), size.bytes(), size.sha256(), size.models(), size.endpoint(),
				this.createdMillis, this.expiresMillis);
	}

	FileRecord withoutAbandoned() {
		return with(this.state, List.of());
	}

	FileRecord deleting() {
		return with(State.DELETING, this.abandoned);
	}

	FileRecord kept() {
		return with(State.STORED, this.abandoned);
	}

	private FileRecord with(State next, List<String> tries) {
		return new FileRecord(this.hex, this.account, next, this.input, tries, this.purpose, this.filename, this.chunks,
				this.items, this.bytes, this.sha256, this.models, this.endpoint, this.createdMillis,
				this.expiresMillis);
	}

	/**
	 * Returns the file's name.
	 * @return the name
	 */
	public FileId id() {
		return new FileId(this.hex, FileId.Content.UPLOAD);
	}

	/**
	 * Tells whether the file may be used.
	 * @return whether all chunks are stored
	 */
	public boolean ready() {
		return this.state == State.STORED;
	}

	/**
	 * Returns the key of a chunk.
	 * @param input the common part of the chunks' names
	 * @param chunk the chunk's number
	 * @return the key
	 */
	public static ObjectKey chunkKey(String input, int chunk) {
		return ObjectKey.of(Kind.CHUNK, input + "-" + chunk);
	}

	Labels labels(int shards) {
		return Labels.of("account", Digests.name("account", this.account))
			.with("shard", Integer.toString(Digests.shard(this.hex, shards)));
	}

	/**
	 * How far an upload has come.
	 */
	public enum State {

		/** ChunkDeletion are being stored. */
		UPLOADING,

		/** All chunks are stored. */
		STORED,

		/** It is being removed. */
		DELETING

	}

}
