package org.ragworthook.gateway.suspect;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;

/**
 * Attributes crashes of upstreams to parts of prompts. A crash that one part explains
 * counts for no part of lower rank: parts that never had a complete response come first,
 * of these the parts with more crashes, then those that stand behind others, since fewer
 * requests share them.
 */
final class CrashAttribution {

	/** Crashes after which requests with a part are refused. */
	static final int THRESHOLD = 3;

	/** The same for a part that has had a complete response before. */
	static final int THRESHOLD_AFTER_SUCCESS = 6;

	/**
	 * Age from which a crash counts for such a part. When all connections are reset at
	 * once, the next complete response comes before.
	 */
	static final Duration CONFIRMATION_TIME = Duration.ofSeconds(1);

	private final Map<Long, SuspectedPart> suspects;

	private final LongPredicate hadSuccess;

	private final long nowNanos;

	private CrashAttribution(Map<Long, SuspectedPart> suspects, LongPredicate hadSuccess, long nowNanos) {
		this.suspects = suspects;
		this.hadSuccess = hadSuccess;
		this.nowNanos = nowNanos;
	}

	/**
	 * Finds the parts that explain the crashes.
	 * @param suspects the parts with crashes, by their key
	 * @param hadSuccess returns whether a request with a part had a complete response
	 * @param nowNanos the ticker's reading
	 * @return sets of keys; the parts of a set occurred in the same requests only, so
	 * only together they are known to crash upstreams
	 */
	static Set<Set<Long>> poisonParts(Map<Long, SuspectedPart> suspects, LongPredicate hadSuccess, long nowNanos) {
		return new CrashAttribution(suspects, hadSuccess, nowNanos).find();
	}

	private Set<Set<Long>> find() {
		Comparator<Long> rank = Comparator.comparing(this.hadSuccess::test)
			.thenComparing((part) -> -this.suspects.get(part).crashCount())
			.thenComparing((part) -> -this.suspects.get(part).position());
		List<Long> candidates = new ArrayList<>(this.suspects.keySet());
		candidates.removeIf((part) -> this.suspects.get(part).crashCount() < THRESHOLD);
		candidates.sort(rank);
		Set<Integer> explained = new HashSet<>();
		Set<Integer> explainedByRank = new HashSet<>();
		Set<Set<Long>> found = new HashSet<>();
		for (int i = 0; i < candidates.size(); i++) {
			long part = candidates.get(i);
			if (i > 0 && rank.compare(candidates.get(i - 1), part) != 0) {
				explained.addAll(explainedByRank);
			}
			Set<Integer> crashes = countedCrashes(part);
			long unexplained = crashes.stream().filter((upstream) -> !explained.contains(upstream)).count();
			if (unexplained >= (this.hadSuccess.test(part) ? THRESHOLD_AFTER_SUCCESS : THRESHOLD)) {
				found.add(inseparable(part));
				explainedByRank.addAll(crashes);
			}
		}
		return found;
	}

	private Set<Integer> countedCrashes(long part) {
		long until = this.hadSuccess.test(part) ? this.nowNanos - CONFIRMATION_TIME.toNanos() : this.nowNanos;
		return this.suspects.get(part).crashesUntil(until);
	}

	/**
	 * Returns a part with those that cannot be told from it: they occurred in the same
	 * requests only and had no complete response either.
	 * @param part the key of the part
	 * @return the keys of the parts
	 */
	private Set<Long> inseparable(long part) {
		if (this.hadSuccess.test(part)) {
			return Set.of(part);
		}
		Set<Long> parts = this.suspects.get(part)
			.companions()
			.stream()
			.filter((other) -> !this.hadSuccess.test(other))
			.filter((other) -> this.suspects.containsKey(other) && this.suspects.get(other).companions().contains(part))
			.collect(Collectors.toCollection(HashSet::new));
		parts.add(part);
		return parts;
	}

}
