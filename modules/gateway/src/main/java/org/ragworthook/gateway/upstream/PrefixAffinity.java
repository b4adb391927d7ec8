package org.ragworthook.gateway.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Where prompts that share long parts are sent, so that an engine which has read a part
 * keeps it and need not read it again.
 * <p>
 * Each part has homes among the upstreams, by rendezvous hashing: all entries name the
 * same ones without a word, and when an upstream comes or goes only its own parts move.
 * The first home is to take the prompts that begin with the part, the next ones what it
 * has no slot for. Spread over all engines instead, parts push each other out of their
 * memories: played with 75 parts of 13,300 tokens before 20 engines that have memory for
 * 8, half of their slots taken, 88 of 100 shared parts were read again, and 3 with this
 * ({@code PromptHomesPlayTests}).
 *
 * @param parts the parts of a prompt that are long enough to decide
 */
public record PrefixAffinity(List<Segment> parts) {

	/**
	 * The shortest part that decides where a prompt goes. An engine reads it in about the
	 * time in which it lets its callers wait for an event, so it weighs as much as one
	 * more running request there.
	 */
	static final int LEAST_TOKENS = 1_600;

	/** Tokens that weigh as much as a quarter of a running request. */
	private static final int TOKENS_PER_COST = LEAST_TOKENS / 4;

	/** What all parts of a prompt may weigh: more than an engine full of requests. */
	static final int MOST = 60;

	/** How many homes a part has, the later ones for when the earlier ones are full. */
	private static final int HOMES = 4;

	private static final PrefixAffinity NONE = new PrefixAffinity(List.of());

	/**
	 * Keeps the parts.
	 */
	public PrefixAffinity {
		parts = List.copyOf(parts);
	}

	/**
	 * Returns the homes of a prompt of which nothing is known.
	 * @return homes that weigh nothing
	 */
	public static PrefixAffinity none() {
		return NONE;
	}

	/**
	 * Returns the homes of a prompt.
	 * @param prompt its parts in order; a part is kept along with all before it
	 * @return the homes
	 */
	public static PrefixAffinity of(List<PromptSegment> prompt) {
		List<Segment> parts = new ArrayList<>();
		int hash = 0;
		for (PromptSegment part : prompt) {
			hash = 31 * hash + part.id().hashCode();
			if (part.tokens() >= LEAST_TOKENS) {
				parts.add(new Segment(hash, part.tokens()));
			}
		}
		return parts.isEmpty() ? NONE : new PrefixAffinity(parts);
	}

	/**
	 * Returns what speaks for upstreams because they keep parts of the prompt.
	 * @param serving all upstreams of the service, with or without room, so that the
	 * homes stay the same while some are full
	 * @return the weight of those that are homes
	 */
	Map<TrackedUpstream, Integer> weights(Collection<TrackedUpstream> serving) {
		if (this.parts.isEmpty()) {
			return Map.of();
		}
		Map<TrackedUpstream, Integer> weights = new HashMap<>();
		for (Segment part : this.parts) {
			List<TrackedUpstream> homes = homes(part, serving);
			for (int rank = 0; rank < homes.size(); rank++) {
				int weight = Math.min(MOST, part.tokens() / TOKENS_PER_COST * (HOMES - rank) / HOMES);
				weights.merge(homes.get(rank), weight, (one, other) -> Math.min(MOST, one + other));
			}
		}
		return weights;
	}

	private static List<TrackedUpstream> homes(Segment part, Collection<TrackedUpstream> serving) {
		Comparator<TrackedUpstream> byScore = Comparator
			.comparingLong((upstream) -> RendezvousHash.score(upstream.descriptor().id(), part.prefixHash()));
		return serving.stream().sorted(byScore.reversed()).limit(HOMES).toList();
	}

	/**
	 * A long part of a prompt.
	 *
	 * @param prefixHash of it and of all parts before it
	 * @param tokens its length
	 */
	public record Segment(int prefixHash, int tokens) {
	}

}
