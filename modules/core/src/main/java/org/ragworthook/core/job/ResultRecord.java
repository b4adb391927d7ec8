package org.ragworthook.core.job;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * How the items of one chunk came out: the only place in which a result shows. It is
 * written conditionally, by the owner of the shard alone, whose first write puts its own
 * epoch in.
 * <p>
 * The value is a line of JSON with the keys of {@link Head}, then one line for each
 * result. Results that would make it too large move to parts, objects of their own that
 * show only once the head names them.
 *
 * @param head who owns it, and what has been started
 * @param results the results in this record, in the order in which they came
 */
public record ResultRecord(Head head, List<ItemResult> results) {

	/** How large a record may grow before its results move to a part, in bytes. */
	public static final int MAX_BYTES = 850_000;

	/**
	 * Copies the results.
	 */
	public ResultRecord {
		Objects.requireNonNull(head, "head is null");
		results = List.copyOf(results);
	}

	static ResultRecord claimed(long epoch, int items) {
		return new ResultRecord(new Head(epoch, items, List.of(), List.of(), List.of(), JobCounts.NONE), List.of());
	}

	static ResultRecord parse(String text) {
		int end = text.indexOf('\n');
		Head head = JobJson.read((end < 0) ? text : text.substring(0, end), Head.class);
		return new ResultRecord(head, (end < 0) ? List.of() : parseLines(text.substring(end + 1)));
	}

	static List<ItemResult> parseLines(String text) {
		return text.lines().map(ItemResult::parse).toList();
	}

	static String lines(Collection<ItemResult> results) {
		return results.stream().map(ItemResult::text).collect(Collectors.joining("\n"));
	}

	String text() {
		String first = JobJson.write(this.head);
		return this.results.isEmpty() ? first : first + "\n" + lines(this.results);
	}

	ResultRecord with(List<ItemResult> further) {
		List<ItemResult> all = new ArrayList<>(this.results);
		all.addAll(further);
		return new ResultRecord(this.head, all);
	}

	ResultRecord with(Head other) {
		return new ResultRecord(other, this.results);
	}

	ResultRecord movedTo(String part) {
		List<String> parts = new ArrayList<>(this.head.parts());
		parts.add(part);
		JobCounts moved = inRecord().plus(this.head.moved());
		Head next = new Head(this.head.epoch(), this.head.items(), parts, this.head.started(), this.head.resumes(),
				moved);
		return new ResultRecord(next, List.of());
	}

	private JobCounts inRecord() {
		return this.results.stream().map((result) -> result.end().counts()).reduce(JobCounts.NONE, JobCounts::plus);
	}

	/**
	 * Returns how the items came out so far, those in parts included.
	 * @return the counts
	 */
	public JobCounts counts() {
		return inRecord().plus(this.head.moved());
	}

	/**
	 * Tells whether all items have ended.
	 * @return whether nothing is left to do
	 */
	public boolean complete() {
		return counts().ended() >= this.head.items();
	}

	static int bytes(String text) {
		int escaped = 0;
		for (byte unit : text.getBytes(StandardCharsets.UTF_8)) {
			escaped += escapedBytes(unit);
		}
		return escaped;
	}

	/**
	 * Returns how many bytes a byte of UTF-8 takes in a JSON text.
	 * @param unit the byte
	 * @return 1, 2 for a character that is escaped by a backslash, 6 for one by number
	 */
	static int escapedBytes(byte unit) {
		if (unit == '"' || unit == '\\' || unit == '\n' || unit == '\r' || unit == '\t') {
			return 2;
		}
		return (unit >= 0 && unit < ' ') ? 6 : 1;
	}

	/**
	 * The first line of the record.
	 *
	 * @param epoch the fencing number of the owner that wrote it
	 * @param items how many items the chunk has
	 * @param parts the names of the objects that further results were moved to
	 * @param started the items that may run only once and have been started, by number
	 * @param resumes what items had generated when they gave way
	 * @param moved how the items in the parts came out
	 */
	public record Head(long epoch, int items, List<String> parts, List<Integer> started, List<ResumePoint> resumes,
			JobCounts moved) {

		/**
		 * Copies the lists; a part that the record lacks is empty.
		 */
		public Head {
			parts = (parts != null) ? List.copyOf(parts) : List.of();
			started = (started != null) ? List.copyOf(started) : List.of();
			resumes = (resumes != null) ? List.copyOf(resumes) : List.of();
			moved = Objects.requireNonNullElse(moved, JobCounts.NONE);
		}

		Head by(long owner) {
			return new Head(owner, this.items, this.parts, this.started, this.resumes, this.moved);
		}

		Head with(List<Integer> nowStarted, List<ResumePoint> nowResumes) {
			return new Head(this.epoch, this.items, this.parts, nowStarted, nowResumes, this.moved);
		}

	}

}
