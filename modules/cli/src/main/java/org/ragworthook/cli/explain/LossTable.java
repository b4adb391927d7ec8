package org.ragworthook.cli.explain;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the requests that were not answered in time, by cause and by second.
 */
final class LossTable {

	private static final long MILLIS_PER_SECOND = 1_000;

	private final Map<Cause, Counts> byCause = new EnumMap<>(Cause.class);

	private final Map<Long, Map<Cause, Integer>> bySecond = new TreeMap<>();

	private int ended;

	private LossTable() {
	}

	/**
	 * Counts.
	 * @param stories the requests; those without an end in the log are left out
	 * @param goalMillis how soon an answer has to begin
	 * @return the table
	 */
	static LossTable of(Collection<RequestStory> stories, long goalMillis) {
		LossTable table = new LossTable();
		stories.stream().filter((story) -> story.end().isPresent()).forEach((story) -> table.add(story, goalMillis));
		return table;
	}

	private void add(RequestStory story, long goalMillis) {
		this.ended++;
		if (story.inTime(goalMillis)) {
			return;
		}
		Cause cause = story.cause(goalMillis);
		LogLine end = story.end().orElseThrow();
		this.byCause.merge(cause, Counts.of(end.value("outcome")), Counts::plus);
		this.bySecond.computeIfAbsent(end.atMillis() / MILLIS_PER_SECOND, (second) -> new EnumMap<>(Cause.class))
			.merge(cause, 1, Integer::sum);
	}

	/**
	 * Returns how many requests ended.
	 * @return the count, those in time included
	 */
	int ended() {
		return this.ended;
	}

	/**
	 * Returns the losses by cause.
	 * @return only causes that occurred
	 */
	Map<Cause, Counts> byCause() {
		return this.byCause;
	}

	/**
	 * Returns the losses by second.
	 * @return by Unix second, only seconds with losses
	 */
	Map<Long, Map<Cause, Integer>> bySecond() {
		return this.bySecond;
	}

	/**
	 * How requests ended that were not answered in time.
	 *
	 * @param late answered late
	 * @param refused refused as not run
	 * @param failed failed or broken off
	 * @param left given up by their callers
	 */
	record Counts(int late, int refused, int failed, int left) {

		static Counts of(String outcome) {
			return switch (outcome) {
				case "answered" -> new Counts(1, 0, 0, 0);
				case "refused" -> new Counts(0, 1, 0, 0);
				case "caller_left" -> new Counts(0, 0, 0, 1);
				default -> new Counts(0, 0, 1, 0);
			};
		}

		Counts plus(Counts other) {
			return new Counts(this.late + other.late, this.refused + other.refused, this.failed + other.failed,
					this.left + other.left);
		}

	}

}
