package org.ragworthook.core.job;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.ObjectKey;

/**
 * The identifier of a file: an uploaded file, or the output or error file of a job. The
 * latter are not stored as files but read from the job's result records.
 *
 * @param hex 32 hexadecimal digits: of the upload itself, or of the job
 * @param content the kind of file
 */
public record FileId(String hex, Content content) {

	private static final Pattern ID = Pattern.compile("file-([0-9a-f]{32})(-output|-error)?");

	/**
	 * Checks that no component is null.
	 */
	public FileId {
		Objects.requireNonNull(hex, "hex is null");
		Objects.requireNonNull(content, "content is null");
	}

	/**
	 * Returns the identifier of an uploaded file.
	 * @param account the account that uploads the file
	 * @param key the account's idempotency key, or a random text if it sent none
	 * @return the identifier
	 */
	public static FileId of(String account, String key) {
		return new FileId(Digests.name("file", account, key), Content.UPLOAD);
	}

	/**
	 * Returns the identifier of a job's output file.
	 * @param job the job
	 * @return the identifier
	 */
	public static FileId outputOf(JobId job) {
		return new FileId(job.hex(), Content.OUTPUT);
	}

	/**
	 * Returns the identifier of a job's error file.
	 * @param job the job
	 * @return the identifier
	 */
	public static FileId errorsOf(JobId job) {
		return new FileId(job.hex(), Content.ERRORS);
	}

	/**
	 * Parses an identifier from its external form.
	 * @param id the external form, such as {@code file-0123...}
	 * @return the identifier, or empty if the text is not a valid one
	 */
	public static Optional<FileId> parse(String id) {
		Matcher matcher = ID.matcher(id);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		return Optional.of(new FileId(matcher.group(1), Content.of(matcher.group(2))));
	}

	/**
	 * Returns the external form of this identifier.
	 * @return the external form, such as {@code file-0123...}
	 */
	public String id() {
		return "file-" + this.hex + this.content.suffix;
	}

	/**
	 * Returns the job whose results the file contains.
	 * @return the job, or empty for an uploaded file
	 */
	public Optional<JobId> job() {
		return (this.content != Content.UPLOAD) ? Optional.of(new JobId(this.hex)) : Optional.empty();
	}

	/**
	 * Returns the key of the record of an uploaded file.
	 * @return the key in the object store
	 */
	public ObjectKey key() {
		return ObjectKey.of(Kind.FILE, this.hex);
	}

	@Override
	public String toString() {
		return id();
	}

	/**
	 * The kinds of file.
	 */
	public enum Content {

		/** Lines that an account has uploaded. */
		UPLOAD(""),

		/** The results of a job's items that completed. */
		OUTPUT("-output"),

		/** The results of a job's items that ended in any other way. */
		ERRORS("-error");

		private final String suffix;

		Content(String suffix) {
			this.suffix = suffix;
		}

		private static Content of(String suffix) {
			for (Content content : values()) {
				if (content.suffix.equals(suffix)) {
					return content;
				}
			}
			return UPLOAD;
		}

	}

}
