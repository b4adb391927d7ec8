package org.ragworthook.core.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * The transitions of {@code shard.als} as an observer of the store and the sidecars sees
 * them, under the same names: {@code take}, {@code arrive} (with the {@code content} of a
 * write) and {@code dispatch}. The internal state of owners cannot be observed, so a
 * guard on it becomes a condition on the versions that the record has had.
 * <p>
 * It differs from the specification in one point: there an item stays in the set of
 * started items for ever, here it may leave the set after it has ended.
 */
final class ShardSpecification {

	private final Set<Integer> nonIdempotent;

	private final Set<Integer> dispatchedOnce = new HashSet<>();

	private final Map<Integer, Set<Long>> startedBy = new HashMap<>();

	private final Map<Long, Set<Integer>> endedAtClaim = new HashMap<>();

	private final Map<Integer, Set<Long>> dispatchedBy = new HashMap<>();

	private final Map<Integer, String> ended = new HashMap<>();

	private Set<Integer> started = Set.of();

	private long recordEpoch;

	private long leaseEpoch;

	private int arrivals;

	/**
	 * Starts from the initial state, in which nothing is written.
	 * @param nonIdempotent the indexes of the non-idempotent items
	 */
	ShardSpecification(Set<Integer> nonIdempotent) {
		this.nonIdempotent = Set.copyOf(nonIdempotent);
	}

	/**
	 * Called when the lease of the shard was written.
	 * @param epoch the epoch in the lease
	 */
	void take(long epoch) {
		assertWithMessage("epoch of the lease").that(epoch).isAnyOf(this.leaseEpoch, this.leaseEpoch + 1);
		this.leaseEpoch = epoch;
	}

	/**
	 * Called when a write of the result record took effect.
	 * @param record the new content of the record
	 */
	void arrive(ResultRecord record) {
		this.arrivals++;
		long epoch = record.head().epoch();
		assertWithMessage("epoch of the record").that(epoch).isAtLeast(this.recordEpoch);
		assertWithMessage("epoch of the record").that(epoch).isAtMost(this.leaseEpoch);
		Map<Integer, String> now = record.results()
			.stream()
			.collect(Collectors.toMap(ItemResult::index, ItemResult::line));
		assertWithMessage("results that could be read").that(now).containsAtLeastEntriesIn(this.ended);
		if (epoch > this.recordEpoch) {
			claim(epoch, record, now);
		}
		else {
			content(epoch, record, now);
		}
		this.recordEpoch = epoch;
		this.started = Set.copyOf(record.head().started());
		this.ended.putAll(now);
	}

	// An owner's first write ends the items that earlier owners had started, and no
	// other item.
	private void claim(long epoch, ResultRecord record, Map<Integer, String> now) {
		Set<Integer> left = minus(this.started, this.ended.keySet());
		assertWithMessage("items ended by a claim").that(minus(now.keySet(), this.ended.keySet())).isEqualTo(left);
		assertWithMessage("items started by a claim").that(record.head().started()).isEmpty();
		this.endedAtClaim.put(epoch, Set.copyOf(now.keySet()));
	}

	private void content(long epoch, ResultRecord record, Map<Integer, String> now) {
		Set<Integer> fresh = minus(Set.copyOf(record.head().started()), this.started);
		assertWithMessage("started items").that(this.nonIdempotent).containsAtLeastElementsIn(fresh);
		assertWithMessage("started items that had ended").that(minus(fresh, minus(fresh, this.ended.keySet())))
			.isEmpty();
		Set<Integer> open = minus(this.started, now.keySet());
		assertWithMessage("started items").that(record.head().started()).containsAtLeastElementsIn(open);
		fresh.forEach((item) -> this.startedBy.computeIfAbsent(item, (key) -> new HashSet<>()).add(epoch));
		for (int item : minus(now.keySet(), this.ended.keySet())) {
			assertWithMessage("owners that ran item %s", item).that(this.dispatchedBy.getOrDefault(item, Set.of()))
				.contains(epoch);
		}
	}

	/**
	 * Called when an item was passed on to an upstream.
	 * @param item the index of the item
	 * @param epoch the epoch of the owner that sent it
	 */
	void dispatch(int item, long epoch) {
		assertWithMessage("owners that claimed the chunk").that(this.endedAtClaim.keySet()).contains(epoch);
		assertWithMessage("items ended when epoch %s claimed", epoch).that(this.endedAtClaim.get(epoch))
			.doesNotContain(item);
		if (this.nonIdempotent.contains(item)) {
			assertWithMessage("owners that recorded the start of item %s", item)
				.that(this.startedBy.getOrDefault(item, Set.of()))
				.contains(epoch);
			assertWithMessage("first run of item %s", item).that(this.dispatchedOnce.add(item)).isTrue();
		}
		this.dispatchedBy.computeIfAbsent(item, (key) -> new HashSet<>()).add(epoch);
	}

	/**
	 * Returns how many writes of the result record took effect.
	 * @return the number of writes
	 */
	int arrivals() {
		return this.arrivals;
	}

	private static Set<Integer> minus(Set<Integer> from, Set<Integer> taken) {
		return from.stream().filter((item) -> !taken.contains(item)).collect(Collectors.toUnmodifiableSet());
	}

}
