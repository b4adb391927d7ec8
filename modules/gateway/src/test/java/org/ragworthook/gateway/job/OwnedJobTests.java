package org.ragworthook.gateway.job;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * The items of a job as its owner knows them.
 */
class OwnedJobTests {

	private static final long MAX_BYTES = 1_000_000;

	private static final JobItem FIRST = new JobItem("first", "/p", Map.of(), "", 1);

	private static final JobItem SECOND = new JobItem("second", "/p", Map.of(), "", 1);

	private final OwnedJob job = new OwnedJob(
			new Job("job", Optional.empty(), "h", "/p", 0, 1, 2, 0, 2, false, List.of(FIRST, SECOND)), true);

	@BeforeEach
	void openItems() {
		this.job.openItems();
	}

	private List<String> openItemIds(OwnedJob owned) {
		return owned.runs().stream().map((run) -> run.item().id()).toList();
	}

	/**
	 * An item has finished but the store refuses its result, so the owner loads the job
	 * anew. The item is then neither published nor open. If it were run again it would
	 * resume from its saved progress and end before the first result is published, and a
	 * caller would read the item at two positions.
	 */
	@Test
	void shouldNotRestartAFinishedItem() {
		this.job.finish(new ItemOutcome("first", true, "text"), 1);
		this.job.openItems();
		assertThat(openItemIds(this.job)).containsExactly("second");
	}

	/**
	 * Two runs of the same item end; only the first outcome counts.
	 */
	@Test
	void shouldKeepOneOutcomePerItem() {
		ItemOutcome outcome = new ItemOutcome("first", true, "text");
		this.job.finish(outcome, 1);
		this.job.finish(outcome, 2);
		assertThat(this.job.nextSegment(MAX_BYTES)).containsExactly(outcome);
		this.job.addSegment(0, List.of(outcome));
		this.job.finish(outcome, 3);
		assertThat(this.job.hasUnpublished()).isFalse();
	}

	/**
	 * The answer to a segment's write arrives after the segment was read from the store.
	 * If it counted twice, the next segment would be written past a gap, at which callers
	 * would wait for ever.
	 */
	@Test
	void shouldAddASegmentOnce() {
		List<ItemOutcome> outcomes = List.of(new ItemOutcome("first", true, "text"));
		this.job.addSegment(0, outcomes);
		this.job.addSegment(0, outcomes);
		assertThat(this.job.segments()).isEqualTo(1);
		assertThat(openItemIds(this.job)).containsExactly("second");
	}

}
