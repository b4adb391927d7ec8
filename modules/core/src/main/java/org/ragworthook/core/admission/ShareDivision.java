package org.ragworthook.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Divides slots among the accounts that wait, by weight and at most as many as each needs
 * (max-min fairness). What is divided are the slots that these accounts use together: an
 * account that does not wait has what it needs and keeps it.
 */
final class ShareDivision {

	/**
	 * Part of the slots that lower levels get at least if they need them, since a level
	 * bypasses a lower one 7 times in a row at most.
	 */
	private static final double LOWER_LEVELS = 1.0 / 8;

	private ShareDivision() {
	}

	/**
	 * Sets the shares of claims.
	 * @param levels the claims of each level, the highest level first
	 * @param <T> the type of the queued item
	 */
	static <T> void divide(List<List<Claim<T>>> levels) {
		double remaining = Math.max(1, levels.stream().flatMap(List::stream).mapToDouble(Claim::used).sum());
		double below = levels.stream().flatMap(List::stream).mapToDouble(Claim::demand).sum();
		for (List<Claim<T>> level : levels) {
			double demand = level.stream().mapToDouble(Claim::demand).sum();
			below -= demand;
			double slots = Math.min(demand, remaining - Math.min(below, remaining * LOWER_LEVELS));
			divide(level, slots);
			remaining -= slots;
		}
	}

	private static <T> void divide(List<Claim<T>> claims, double slots) {
		List<Claim<T>> smallestFirst = new ArrayList<>(claims);
		smallestFirst.sort(Comparator.comparingDouble((claim) -> claim.demand() / claim.lane().account().weight()));
		double remaining = slots;
		double weights = claims.stream().mapToDouble((claim) -> claim.lane().account().weight()).sum();
		for (Claim<T> claim : smallestFirst) {
			int weight = claim.lane().account().weight();
			claim.share(Math.min(claim.demand(), remaining * weight / weights));
			remaining -= claim.share();
			weights -= weight;
		}
	}

}
