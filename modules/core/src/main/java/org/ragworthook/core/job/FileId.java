package org.ragworthook.core.job;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.ObjectKey;

/**
 * Names a file: one that was uploaded, or the output or the errors of a job, which are
 * read from the job's result records.
 *
 * @param hex 32 hexadecimal digits, of an upload its own, else those of the job
 * @param content what is in the file
 */
public record FileId(String hex, Content content) {

	private static final Pattern ID = Pattern.compile("file-([0-9a-f]{32})(-output|-error)?");

	/**
	 * Checks that all parts are there.
	 */
	public FileId {
		Objects.requireNonNull(hex, "hex is null");
		Objects.requireNonNull(content, "content is null");
	}

	/**
	 * Returns the name of an upload.
	 * @param account the account that sends it
	 * @param key the account's idempotency key, or a random text if it gave none
	 * @return the name
	 */
	public static FileId of(String account, String key) {
		return new FileId(Digests.name("file", account, key), Content.UPLOAD);
	}

	/**
	 * Returns the name of a job's output.
	 * @param job the job
	 * @return the name
	 */
	public static FileId outputOf(JobId job) {
		return new FileId(job.hex(), Content.OUTPUT);
	}

	/**
	 * Returns the name of a job's errors.
	 * @param job the job
	 * @return the name
	 */
	public static FileId errorsOf(JobId job) {
		return new FileId(job.hex(), Content.ERRORS);
	}

	/**
	 * Reads a name as callers see it.
	 * @param id such as {@code file-0123...}
	 * @return the name, or empty if it cannot be one
	 */
	public static Optional<FileId> parse(String id) {
		Matcher matcher = ID.matcher(id);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		return Optional.of(new FileId(matcher.group(1), Content.of(matcher.group(2))));
	}

	/**
	 * Returns the name as callers see it.
	 * @return such as {@code file-0123...}
	 */
	public String id() {
		return "file-" + this.hex + this.content.suffix;
	}

	/**
	 * Returns the job whose results are in the file.
	 * @return the job, or empty for an upload
	 */
	public Optional<JobId> job() {
		return (this.content != Content.UPLOAD) ? Optional.of(new JobId(this.hex)) : Optional.empty();
	}

	/**
	 * Returns the key of an upload's record.
	 * @return the key
	 */
	public ObjectKey key() {
		return ObjectKey.of(Kind.FILE, this.hex);
	}

	@Override
	public String toString() {
		return id();
	}

	/**
	 * What is in a file.
	 */
	public enum Content {

		/** Lines that an account has sent. */
		UPLOAD(""),

		/** The items of a job that were answered. */
		OUTPUT("-output"),

		/** The items of a job that ended otherwise. */
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
