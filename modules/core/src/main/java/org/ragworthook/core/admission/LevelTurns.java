package org.ragworthook.core.admission;

import java.util.List;
import java.util.Optional;

/**
 * Which priority level the next slot goes to: the highest one, unless a lower one was
 * bypassed too often. Counts the consecutive slots that bypassed a level.
 */
final class LevelTurns {

	/** Consecutive slots for higher levels, while this level has waiting requests. */
	private static final int MAX_BYPASSED = 7;

	/**
	 * Requests of one level that may fail to be placed one after another before a pass
	 * ends. They are of two accounts at least, since one account is offered slots for 4
	 * such requests.
	 */
	private static final int MAX_SKIPPED_IN_A_ROW = 8;

	private int bypassed;

	private boolean skippedInPass;

	private int skippedInARow;

	LevelTurns copy() {
		LevelTurns copy = new LevelTurns();
		copy.bypassed = this.bypassed;
		return copy;
	}

	/**
	 * Returns the level that the next slot is for. If several have been bypassed as often
	 * as allowed, the lowest goes first: serving it does not bypass the others. A request
	 * that cannot be placed ends this preference for the rest of the pass. Otherwise such
	 * requests of a lower level could end every pass before a higher level is offered a
	 * slot.
	 * @param levels the levels, the highest first
	 * @param <L> the type of a level
	 * @return the level, or empty if no level has a request to serve
	 */
	static <L extends Level> Optional<L> choose(List<L> levels) {
		for (int i = levels.size() - 1; i > 0; i--) {
			L level = levels.get(i);
			if (level.turns().mayGoFirst() && level.canServe()) {
				return Optional.of(level);
			}
		}
		for (L level : levels) {
			if (level.canServe()) {
				return Optional.of(level);
			}
		}
		return Optional.empty();
	}

	/**
	 * Counts a slot that a level was given.
	 * @param levels the levels, the highest first
	 * @param served the level
	 * @param <L> the type of a level
	 */
	static <L extends Level> void count(List<L> levels, L served) {
		boolean lower = false;
		for (L level : levels) {
			LevelTurns turns = level.turns();
			if (level == served) {
				turns.bypassed = 0;
				lower = true;
			}
			else if (!level.hasWaiting()) {
				turns.bypassed = 0;
			}
			else if (lower) {
				turns.bypassed++;
			}
		}
	}

	private boolean mayGoFirst() {
		return this.bypassed >= MAX_BYPASSED && !this.skippedInPass;
	}

	/** Counts a request of the level that could not be placed. */
	void skipped() {
		this.skippedInPass = true;
		this.skippedInARow++;
	}

	/** Called when a request of any level was placed, so that slots may be free. */
	void placed() {
		this.skippedInARow = 0;
	}

	/**
	 * Returns whether so many requests of the level could not be placed that no slot is
	 * assumed to be free.
	 * @return whether the pass ends
	 */
	boolean passEnded() {
		return this.skippedInARow >= MAX_SKIPPED_IN_A_ROW;
	}

	void endPass() {
		this.skippedInPass = false;
		this.skippedInARow = 0;
	}

	/** A priority level. */
	interface Level {

		/**
		 * Returns the counts of the level.
		 * @return the counts
		 */
		LevelTurns turns();

		/**
		 * Returns whether the level has requests, also such that were skipped.
		 * @return whether requests wait
		 */
		boolean hasWaiting();

		/**
		 * Returns whether the level has a request that a slot may be offered to.
		 * @return whether it can take a slot
		 */
		boolean canServe();

	}

}
