package org.ragworthook.core.quarantine;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Finds requests that crash upstreams.
 * <p>
 * A single request can crash each upstream that runs it, and its caller sends it again;
 * one notices by one upstream after another going down. All that was at a crashed
 * upstream is suspect, though at most one of them is to blame. A suspect therefore runs
 * with nothing beside it. If it is answered it is cleared; if the upstream crashes, that
 * crash is its own, and after two of its own it is refused everywhere. A crash in company
 * never counts, so that nobody is refused for having been beside such a request.
 * <p>
 * Safe for several threads; reading takes no lock.
 */
public final class Quarantine {

	private static final int CRASHES = 2;

	private final InstantSource clock;

	private final Duration suspicion;

	private final Duration length;

	private final int capacity;

	private final Map<String, CrashRecord> records = new ConcurrentHashMap<>();

	private Quarantine(InstantSource clock, Duration suspicion, Duration length, int capacity) {
		this.clock = Objects.requireNonNull(clock, "clock is null");
		this.suspicion = Objects.requireNonNull(suspicion, "suspicion is null");
		this.length = Objects.requireNonNull(length, "length is null");
		this.capacity = capacity;
	}

	/**
	 * Returns a quarantine that knows of nothing.
	 * @param clock the wall time, which entries share roughly
	 * @param suspicion how long a suspect stays one without being run
	 * @param length how long a conviction lasts
	 * @param capacity how many requests are remembered at most
	 * @return a new quarantine
	 */
	public static Quarantine of(InstantSource clock, Duration suspicion, Duration length, int capacity) {
		return new Quarantine(clock, suspicion, length, capacity);
	}

	/**
	 * Tells what may be done with a request.
	 * @param fingerprint the request's fingerprint
	 * @return its standing
	 */
	public QuarantineState state(String fingerprint) {
		CrashRecord known = this.records.get(Objects.requireNonNull(fingerprint, "fingerprint is null"));
		if (known == null || known.expiryMillis() <= this.clock.millis()) {
			return QuarantineState.CLEAR;
		}
		return (known.crashes() >= CRASHES) ? QuarantineState.QUARANTINED : QuarantineState.SUSPECT;
	}

	/**
	 * Returns how long a request stays in quarantine.
	 * @param fingerprint the request's fingerprint
	 * @return the time left, or empty if it is not convicted
	 */
	public Optional<Duration> remaining(String fingerprint) {
		if (state(fingerprint) != QuarantineState.QUARANTINED) {
			return Optional.empty();
		}
		return Optional.ofNullable(this.records.get(fingerprint))
			.map((known) -> Duration.ofMillis(Math.max(1, known.expiryMillis() - this.clock.millis())));
	}

	/**
	 * Learns that an upstream crashed with a request in flight.
	 * @param fingerprint the request's fingerprint
	 * @param inFlight how many requests were in flight at the upstream, this one included
	 * @return what the other entries are to be told, if this was the request's own crash
	 */
	public Optional<CrashRecord> recordCrash(String fingerprint, int inFlight) {
		boolean own = inFlight == 1;
		long now = this.clock.millis();
		CrashRecord after = this.records.compute(fingerprint, (key, old) -> {
			int before = (old != null && old.expiryMillis() > now) ? old.crashes() : 0;
			int crashes = before + ((own) ? 1 : 0);
			Duration lasts = (crashes >= CRASHES) ? this.length : this.suspicion;
			long until = Math.max(now + lasts.toMillis(), (before > 0) ? old.expiryMillis() : 0);
			return new CrashRecord(key, crashes, until);
		});
		bound();
		return (own) ? Optional.of(after) : Optional.empty();
	}

	/**
	 * Learns that a request was answered, which clears a suspect. A conviction stays: it
	 * may be the answer of an attempt that was older.
	 * @param fingerprint the request's fingerprint
	 */
	public void recordAnswer(String fingerprint) {
		if (this.records.containsKey(fingerprint)) {
			this.records.computeIfPresent(fingerprint, (key, old) -> (old.crashes() >= CRASHES) ? old : null);
		}
	}

	/**
	 * Takes in what another entry knows.
	 * @param conviction what it knows
	 * @return whether this was news, to be told to others
	 */
	public boolean merge(CrashRecord conviction) {
		Objects.requireNonNull(conviction, "conviction is null");
		if (conviction.expiryMillis() <= this.clock.millis()) {
			return false;
		}
		CrashRecord before = this.records.get(conviction.fingerprint());
		CrashRecord after = this.records.merge(conviction.fingerprint(), conviction, CrashRecord::merge);
		bound();
		return !after.equals(before);
	}

	/**
	 * Returns what an entry that has just come is to be told.
	 * @return every conviction that still counts
	 */
	public List<CrashRecord> quarantined() {
		long now = this.clock.millis();
		return this.records.values()
			.stream()
			.filter((known) -> known.crashes() >= CRASHES && known.expiryMillis() > now)
			.toList();
	}

	/**
	 * Returns how many requests are remembered.
	 * @return the number, never much above the capacity
	 */
	public int size() {
		return this.records.size();
	}

	// A caller that sends ever new crashing requests must not fill the memory: what has
	// lapsed goes first, then those that crashed least and lapse first.
	private void bound() {
		if (this.records.size() <= this.capacity) {
			return;
		}
		long now = this.clock.millis();
		this.records.values().removeIf((known) -> known.expiryMillis() <= now);
		int surplus = this.records.size() - this.capacity;
		if (surplus > 0) {
			this.records.values()
				.stream()
				.sorted(Comparator.comparingInt(CrashRecord::crashes).thenComparingLong(CrashRecord::expiryMillis))
				.limit(surplus + this.capacity / 10L)
				.toList()
				.forEach((known) -> this.records.remove(known.fingerprint(), known));
		}
	}

}
