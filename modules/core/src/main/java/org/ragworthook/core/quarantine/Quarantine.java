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
 * Detects requests that crash upstreams.
 * <p>
 * A single request can crash every upstream that runs it, and its caller keeps resending
 * it, so that upstreams go down one after another. Every request in flight at a crashed
 * upstream becomes a suspect, although at most one of them is the cause. A suspect runs
 * alone: if it is answered, it is cleared; if the upstream crashes again, the crash is
 * attributed to it, and after two attributed crashes the request is refused by all
 * entries. A crash with several requests in flight is never attributed to any of them, so
 * that no harmless request is refused.
 * <p>
 * Thread-safe; reads do not lock.
 */
public final class Quarantine {

	private static final int CRASHES_TO_QUARANTINE = 2;

	private final InstantSource clock;

	private final Duration suspectDuration;

	private final Duration quarantineDuration;

	private final int capacity;

	private final Map<String, CrashRecord> records = new ConcurrentHashMap<>();

	private Quarantine(InstantSource clock, Duration suspectDuration, Duration quarantineDuration, int capacity) {
		this.clock = Objects.requireNonNull(clock, "clock is null");
		this.suspectDuration = Objects.requireNonNull(suspectDuration, "suspectDuration is null");
		this.quarantineDuration = Objects.requireNonNull(quarantineDuration, "quarantineDuration is null");
		this.capacity = capacity;
	}

	/**
	 * Returns an empty quarantine.
	 * @param clock the wall clock, roughly synchronized between entries
	 * @param suspectDuration how long a request stays a suspect without being run
	 * @param quarantineDuration how long a request stays quarantined
	 * @param capacity the maximum number of requests to remember
	 * @return a new quarantine
	 */
	public static Quarantine of(InstantSource clock, Duration suspectDuration, Duration quarantineDuration,
			int capacity) {
		return new Quarantine(clock, suspectDuration, quarantineDuration, capacity);
	}

	/**
	 * Returns how to treat a request.
	 * @param fingerprint the fingerprint of the request
	 * @return the state of the request
	 */
	public QuarantineState state(String fingerprint) {
		CrashRecord record = this.records.get(Objects.requireNonNull(fingerprint, "fingerprint is null"));
		if (record == null || record.expiryMillis() <= this.clock.millis()) {
			return QuarantineState.CLEAR;
		}
		return (record.crashes() >= CRASHES_TO_QUARANTINE) ? QuarantineState.QUARANTINED : QuarantineState.SUSPECT;
	}

	/**
	 * Returns how long a request stays quarantined.
	 * @param fingerprint the fingerprint of the request
	 * @return the remaining time, at least one millisecond, or empty if the request is
	 * not quarantined
	 */
	public Optional<Duration> remaining(String fingerprint) {
		if (state(fingerprint) != QuarantineState.QUARANTINED) {
			return Optional.empty();
		}
		return Optional.ofNullable(this.records.get(fingerprint))
			.map((record) -> Duration.ofMillis(Math.max(1, record.expiryMillis() - this.clock.millis())));
	}

	/**
	 * Called when an upstream has crashed with a request in flight.
	 * @param fingerprint the fingerprint of the request
	 * @param inFlight the number of requests in flight at the upstream, including this
	 * one
	 * @return the record to send to the other entries, if the crash is attributed to the
	 * request
	 */
	public Optional<CrashRecord> recordCrash(String fingerprint, int inFlight) {
		boolean attributed = inFlight == 1;
		long now = this.clock.millis();
		CrashRecord updated = this.records.compute(fingerprint, (key, old) -> {
			int previousCrashes = (old != null && old.expiryMillis() > now) ? old.crashes() : 0;
			int crashes = previousCrashes + ((attributed) ? 1 : 0);
			Duration duration = (crashes >= CRASHES_TO_QUARANTINE) ? this.quarantineDuration : this.suspectDuration;
			long expiryMillis = Math.max(now + duration.toMillis(), (previousCrashes > 0) ? old.expiryMillis() : 0);
			return new CrashRecord(key, crashes, expiryMillis);
		});
		evictSurplus();
		return (attributed) ? Optional.of(updated) : Optional.empty();
	}

	/**
	 * Called when a request was answered. Clears a suspect. A quarantined request stays
	 * quarantined, since the answer may belong to an earlier attempt.
	 * @param fingerprint the fingerprint of the request
	 */
	public void recordAnswer(String fingerprint) {
		if (this.records.containsKey(fingerprint)) {
			this.records.computeIfPresent(fingerprint,
					(key, old) -> (old.crashes() >= CRASHES_TO_QUARANTINE) ? old : null);
		}
	}

	/**
	 * Merges a record received from another entry.
	 * @param received the record
	 * @return whether the record changed the local state and should be forwarded to other
	 * entries
	 */
	public boolean merge(CrashRecord received) {
		Objects.requireNonNull(received, "received is null");
		if (received.expiryMillis() <= this.clock.millis()) {
			return false;
		}
		CrashRecord previous = this.records.get(received.fingerprint());
		CrashRecord updated = this.records.merge(received.fingerprint(), received, CrashRecord::merge);
		evictSurplus();
		return !updated.equals(previous);
	}

	/**
	 * Returns the quarantined requests, for example to send them to a newly connected
	 * entry.
	 * @return the records that have not expired
	 */
	public List<CrashRecord> quarantined() {
		long now = this.clock.millis();
		return this.records.values()
			.stream()
			.filter((record) -> record.crashes() >= CRASHES_TO_QUARANTINE && record.expiryMillis() > now)
			.toList();
	}

	/**
	 * Returns the number of remembered requests.
	 * @return the number, which exceeds the capacity only briefly
	 */
	public int size() {
		return this.records.size();
	}

	// Bounds memory against a caller that keeps sending new crashing requests. Evicts
	// expired records first, then those with the fewest crashes and the earliest
	// expiry.
	private void evictSurplus() {
		if (this.records.size() <= this.capacity) {
			return;
		}
		long now = this.clock.millis();
		this.records.values().removeIf((record) -> record.expiryMillis() <= now);
		int surplus = this.records.size() - this.capacity;
		if (surplus > 0) {
			this.records.values()
				.stream()
				.sorted(Comparator.comparingInt(CrashRecord::crashes).thenComparingLong(CrashRecord::expiryMillis))
				.limit(surplus + this.capacity / 10L)
				.toList()
				.forEach((record) -> this.records.remove(record.fingerprint(), record));
		}
	}

}
