package org.ragworthook.core.job;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * The stored results of one chunk, the only place from which results are read. It is
 * written conditionally and only by the owner of the shard, whose first write sets its
 * epoch.
 * <p>
 * The stored text is a line of JSON with the keys of {@link Head}, followed by one line
 * for each result. Results that would make the record too large are moved to part
 * objects, which are read only if the head names them.
 *
 * @param head the owner's epoch and the state of the items
 * @param results the results in this record, in the order in which the items ended
 */
public record ResultRecord(Head head, List<ItemResult> results) {

	/**
	 * The largest size of a record, in bytes with JSON escapes; larger ones have their
	 * results moved to a part.
	 */
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
		JobCounts moved = inlineCounts().plus(this.head.moved());
		Head next = new Head(this.head.epoch(), this.head.items(), parts, this.head.started(), this.head.resumes(),
				moved);
		return new ResultRecord(next, List.of());
	}

	private JobCounts inlineCounts() {
		return this.results.stream().map((result) -> result.end().counts()).reduce(JobCounts.NONE, JobCounts::plus);
	}

	/**
	 * Returns the counts of all ended items, including those whose results are in parts.
	 * @return the counts
	 */
	public JobCounts counts() {
		return inlineCounts().plus(this.head.moved());
	}

	/**
	 * Returns whether all items of the chunk have ended.
	 * @return whether each item has a result
	 */
	public boolean complete() {
		return counts().ended() >= this.head.items();
	}

	static int escapedLength(String text) {
		int escaped = 0;
		for (byte unit : text.getBytes(StandardCharsets.UTF_8)) {
			escaped += escapedBytes(unit);
		}
		return escaped;
	}

	/**
	 * Returns the length of a UTF-8 byte in a JSON string.
	 * @param unit the byte
	 * @return 1; 2 for a character with a short escape such as {@code \n}; 6 for another
	 * control character
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
	 * @param epoch the epoch of the owner that wrote the record
	 * @param items the number of items of the chunk
	 * @param parts the names of the part objects with moved results, in order
	 * @param started the indexes of the non-idempotent items that were started and have
	 * not ended
	 * @param resumes the resume points of preempted items
	 * @param moved the counts of the items whose results are in parts
	 */
	public record Head(long epoch, int items, List<String> parts, List<Integer> started, List<ResumePoint> resumes,
			JobCounts moved) {

		/**
		 * Copies the lists and replaces components that are missing in the stored record
		 * by empty ones.
		 */
		public Head {
			parts = (parts != null) ? List.copyOf(parts) : List.of();
			started = (started != null) ? List.copyOf(started) : List.of();
			resumes = (resumes != null) ? List.copyOf(resumes) : List.of();
			moved = Objects.requireNonNullElse(moved, JobCounts.NONE);
		}

		Head withEpoch(long newEpoch) {
			return new Head(newEpoch, this.items, this.parts, this.started, this.resumes, this.moved);
		}

		Head withItems(List<Integer> newStarted, List<ResumePoint> newResumes) {
			return new Head(this.epoch, this.items, this.parts, newStarted, newResumes, this.moved);
		}

	}

}
