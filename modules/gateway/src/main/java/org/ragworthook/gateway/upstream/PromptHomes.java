package org.ragworthook.gateway.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

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
 */
public final class PromptHomes {

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

	private static final PromptHomes NONE = new PromptHomes(List.of());

	private final List<Part> parts;

	private PromptHomes(List<Part> parts) {
		this.parts = List.copyOf(parts);
	}

	/**
	 * Returns the homes of a prompt of which nothing is known.
	 * @return homes that weigh nothing
	 */
	public static PromptHomes none() {
		return NONE;
	}

	/**
	 * Returns the homes of a prompt.
	 * @param prompt its parts in order; a part is kept along with all before it
	 * @return the homes
	 */
	public static PromptHomes of(List<PromptPart> prompt) {
		List<Part> parts = new ArrayList<>();
		int hash = 0;
		for (PromptPart part : prompt) {
			hash = 31 * hash + part.id().hashCode();
			if (part.tokens() >= LEAST_TOKENS) {
				parts.add(new Part(hash, part.tokens()));
			}
		}
		return parts.isEmpty() ? NONE : new PromptHomes(parts);
	}

	/**
	 * Returns the homes that another process has found.
	 * @param parts the long parts
	 * @return the homes
	 */
	public static PromptHomes ofParts(List<Part> parts) {
		return parts.isEmpty() ? NONE : new PromptHomes(parts);
	}

	/**
	 * Returns the parts that are long enough to decide.
	 * @return the parts
	 */
	public List<Part> parts() {
		return this.parts;
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
		for (Part part : this.parts) {
			List<TrackedUpstream> homes = homes(part, serving);
			for (int rank = 0; rank < homes.size(); rank++) {
				int weight = part.tokens() / TOKENS_PER_COST * (HOMES - rank) / HOMES;
				weights.merge(homes.get(rank), weight, (one, other) -> Math.min(MOST, one + other));
			}
		}
		weights.replaceAll((upstream, weight) -> Math.min(MOST, weight));
		return weights;
	}

	private static List<TrackedUpstream> homes(Part part, Collection<TrackedUpstream> serving) {
		List<TrackedUpstream> homes = new ArrayList<>(HOMES + 1);
		List<Long> scores = new ArrayList<>(HOMES + 1);
		for (TrackedUpstream upstream : serving) {
			long score = RendezvousScore.of(upstream.entry().id(), part.hash());
			int at = scores.size();
			while (at > 0 && scores.get(at - 1) < score) {
				at--;
			}
			if (at < HOMES) {
				homes.add(at, upstream);
				scores.add(at, score);
				if (homes.size() > HOMES) {
					homes.remove(HOMES);
					scores.remove(HOMES);
				}
			}
		}
		return homes;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof PromptHomes that && this.parts.equals(that.parts);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.parts);
	}

	/**
	 * A long part of a prompt.
	 *
	 * @param hash of it and of all parts before it
	 * @param tokens its length
	 */
	public record Part(int hash, int tokens) {
	}

}
