package org.ragworthook.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Forecast of when the waiting requests start, if slots become free at a constant rate
 * and nothing else arrives: serves copies of the queue's levels by the rules of the
 * queue.
 *
 * @param <T> the type of the queued item
 */
final class StartForecast<T> {

	static final double NANOS_PER_SECOND = 1e9;

	/** Bounds the exponent of {@link #slotValue()}, so that loads stay finite. */
	private static final double MAX_EXPONENT = 100;

	private final long nowNanos;

	private final double nanosPerSlot;

	private final double totalSlots;

	private final List<Claim<T>> claims = new ArrayList<>();

	private final List<Level<T>> levels = new ArrayList<>();

	private int slotsGiven;

	/**
	 * Creates a forecast.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @param forecast how soon slots become free
	 * @param claims the claims of each level, the highest level first
	 * @param totalSlots the slots that all accounts use
	 */
	StartForecast(long nowNanos, SlotForecast forecast, List<List<Claim<T>>> claims, double totalSlots) {
		this.nowNanos = nowNanos;
		this.nanosPerSlot = NANOS_PER_SECOND / forecast.slotsFreedPerSecond();
		this.totalSlots = totalSlots;
		for (List<Claim<T>> ofLevel : claims) {
			if (!ofLevel.isEmpty()) {
				this.claims.addAll(ofLevel);
				this.levels.add(new Level<>(ofLevel));
			}
		}
	}

	List<Claim<T>> claims() {
		return this.claims;
	}

	double nanosPerSlot() {
		return this.nanosPerSlot;
	}

	/**
	 * Serves the requests until none is left that can start on time.
	 */
	void run() {
		while (canServeOnTime()) {
			Level<T> level = LevelTurns.choose(this.levels).orElseThrow();
			if (level.onTime.isEmpty()) {
				level.late--;
				given(level);
			}
			else {
				serve(level);
			}
		}
	}

	private boolean canServeOnTime() {
		for (Level<T> level : this.levels) {
			if (!level.onTime.isEmpty()) {
				return true;
			}
		}
		return false;
	}

	private void serve(Level<T> level) {
		Claim<T> claim = level.onTime.poll();
		long start = this.nowNanos + (long) ((this.slotsGiven + 1) * this.nanosPerSlot);
		if (claim.takeLate()) {
			claim.served(true, slotValue());
			given(level);
		}
		else if (claim.takeReturn(start)) {
			claim.served(false, slotValue());
			given(level);
		}
		else if (claim.next().request().startTargetNanos() - start >= 0) {
			claim.start(start);
			claim.served(false, slotValue());
			given(level);
		}
		else if (claim.aboveShare()) {
			claim.miss(start);
		}
		else {
			claim.becomeLate();
		}
		if (claim.next() != null) {
			level.onTime.add(claim);
		}
	}

	private void given(Level<T> level) {
		this.slotsGiven++;
		LevelTurns.count(this.levels, level);
	}

	// Slots become free at all accounts in proportion to what they use, so that the slots
	// in use now decline exponentially. Only the ratio of loads matters: slots given
	// later
	// count more instead.
	private double slotValue() {
		return Math.exp(Math.min(this.slotsGiven / this.totalSlots, MAX_EXPONENT));
	}

	private static final class Level<T> implements LevelTurns.Level {

		private final LevelTurns turns;

		private final PriorityQueue<Claim<T>> onTime;

		private int late;

		private Level(List<Claim<T>> claims) {
			PriorityLevel<T> level = claims.get(0).lane().level();
			this.turns = level.turns().copy();
			Comparator<Claim<T>> byLoad = Comparator.comparingDouble(Claim::load);
			this.onTime = new PriorityQueue<>(byLoad.thenComparing(Claim::next, level.order()));
			for (Claim<T> claim : claims) {
				if (claim.next() != null) {
					this.onTime.add(claim);
				}
				else {
					this.late += claim.lane().entries(true).size();
				}
			}
		}

		@Override
		public LevelTurns turns() {
			return this.turns;
		}

		@Override
		public boolean hasWaiting() {
			return this.late > 0 || !this.onTime.isEmpty();
		}

		@Override
		public boolean canServe() {
			return hasWaiting();
		}

	}

}
