package org.ragworthook.gateway.suspect;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.upstream.PromptSegment;

/**
 * Detects parts of prompts that crash every upstream which runs a request with them,
 * whatever else the request contains.
 * <p>
 * An upstream that crashes breaks off all its requests, so the parts of sound requests
 * are lost with it as well. They are told apart by what a poison part never has: a
 * complete response. The crashes of a part count from its last complete response on, and
 * a crash that a poison part explains counts for no other part. Of two parts with the
 * same crashes the one that stands behind the other is blamed, since fewer requests share
 * it, and parts that occurred in the same requests only are refused only together. An
 * upstream that sends something after its connections were lost has not crashed. Each
 * start of an upstream has another key, so each crash of one counts once.
 * <p>
 * Items of batch jobs never crash upstreams. Their complete responses count, their losses
 * do not, and they are not refused.
 * <p>
 * Processes exchange what they have observed with its age, so each knows the crashes that
 * any of them has seen, also those before its own start. Not thread-safe: used on the
 * event loop.
 */
public final class PoisonPartDetector {

	private static final EventLog LOG = EventLog.of(PoisonPartDetector.class);

	/** How long crashes and complete responses count. */
	static final Duration RETENTION = Duration.ofSeconds(120);

	/**
	 * Time after the loss of a connection from which on bytes of the upstream show that
	 * it has not crashed; earlier ones may have been sent before.
	 */
	static final Duration SETTLE_TIME = Duration.ofMillis(300);

	/**
	 * How long a complete response that contradicts crashes is reported: in several
	 * reports, since single ones may be lost, also if the parts take turns.
	 */
	private static final Duration REPORT_PERIOD = Duration.ofSeconds(3);

	/**
	 * Time within which an upstream has to send something after it has ended a response
	 * by closing its connection, to show that it has not crashed: shorter than a start.
	 */
	static final Duration MAX_PROOF_TIME = Duration.ofMillis(1_500);

	/** Limits the memory; the oldest responses are forgotten first. */
	private static final int MAX_UNPROVEN_RESPONSES = 512;

	/** How often changes by the passage of time are looked for. */
	private static final Duration REFRESH_INTERVAL = Duration.ofMillis(100);

	/**
	 * Limits the memory. Parts that had a complete response are evicted first, then those
	 * with the fewest crashes, of these the parts of the longest prompts.
	 */
	private static final int MAX_PARTS = 8_000;

	/** Parts that an eviction leaves, so that not each loss causes one. */
	private static final int PARTS_AFTER_EVICTION = MAX_PARTS / 8 * 7;

	/** Limits the parts that one lost request adds, so that it cannot evict others. */
	private static final int MAX_NEW_PARTS = MAX_PARTS / 4;

	private final Ticker ticker;

	private final UpstreamActivity activity;

	/** The parts with crashes, oldest first. */
	private final Map<Long, SuspectedPart> suspects = new LinkedHashMap<>();

	private final SuccessTimes successes = new SuccessTimes();

	/** The responses that a close has ended and a crash may have, oldest first. */
	private final Deque<ClosedResponse> closedResponses = new ArrayDeque<>();

	/** When a complete response has contradicted the crashes of a part. */
	private final Map<Long, Long> contradicted = new HashMap<>();

	/** The parts that are refused where they occur together; mostly a single one. */
	private Set<Set<Long>> poison = Set.of();

	private long refreshedNanos;

	/** Where the next new parts of a request with too many of them are taken from. */
	private int newPartsOffset;

	/** Whether there are observations that the last refresh did not include. */
	private boolean changed;

	private Runnable listener = () -> {
	};

	private PoisonPartDetector(Ticker ticker, UpstreamActivity activity) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.activity = Objects.requireNonNull(activity, "activity is null");
	}

	/**
	 * Returns a detector without observations.
	 * @param ticker the monotonic clock
	 * @param activity knows when upstreams have sent something
	 * @return a new detector
	 */
	public static PoisonPartDetector empty(Ticker ticker, UpstreamActivity activity) {
		return new PoisonPartDetector(ticker, activity);
	}

	/**
	 * Returns the keys of the parts that requests can have in common.
	 * @param prompt the parts of a prompt in order; the last one belongs to the request
	 * itself or to its session
	 * @return a hash of each other part in order, the same in every process
	 */
	public static List<Long> sharedParts(List<PromptSegment> prompt) {
		return prompt.stream().limit(Math.max(0, prompt.size() - 1)).map((part) -> Fnv.hash(part.id())).toList();
	}

	/**
	 * Sets the listener for observations that the peers should receive soon.
	 * @param onObservation called on the event loop
	 */
	public void onObservation(Runnable onObservation) {
		this.listener = Objects.requireNonNull(onObservation, "onObservation is null");
	}

	/**
	 * Called when the connection to an upstream was lost while it ran an online request.
	 * @param parts the request's shared parts in order
	 * @param upstreamKey the key of the upstream
	 */
	public void recordConnectionLoss(List<Long> parts, int upstreamKey) {
		if (parts.isEmpty()) {
			return;
		}
		long now = this.ticker.nanos();
		settleClosedResponses(now);
		Set<Long> unproven = parts.stream()
			.filter((part) -> successNanos(part, now).isEmpty())
			.collect(Collectors.toUnmodifiableSet());
		Set<Long> added = newParts(parts, unproven);
		Map<Set<Long>, Set<Long>> narrowed = new IdentityHashMap<>();
		for (int position = 0; position < parts.size(); position++) {
			long part = parts.get(position);
			SuspectedPart suspect = this.suspects.get(part);
			if (suspect != null) {
				suspect.companions(narrowed.computeIfAbsent(suspect.companions(), (all) -> common(all, unproven)));
				suspect.addCrash(upstreamKey, now, position);
			}
			else if (added.contains(part)) {
				addSuspect(part, unproven, false).addCrash(upstreamKey, now, position);
			}
		}
		evict(now);
		this.changed = true;
		this.listener.run();
	}

	/**
	 * Returns the parts of a lost request that become suspects: those without a complete
	 * response first. If there are too many of them, each loss takes the next ones in
	 * turn, so that a part which all such requests share is taken sooner or later,
	 * wherever it stands.
	 * @param parts the request's shared parts
	 * @param unproven those that had no complete response
	 * @return parts that are no suspects yet
	 */
	private Set<Long> newParts(List<Long> parts, Set<Long> unproven) {
		List<Long> unknown = parts.stream().filter((part) -> !this.suspects.containsKey(part)).distinct().toList();
		if (unknown.size() <= MAX_NEW_PARTS) {
			return Set.copyOf(unknown);
		}
		List<Long> ranked = new ArrayList<>(unknown.stream().filter(unproven::contains).toList());
		if (ranked.size() > MAX_NEW_PARTS) {
			Collections.rotate(ranked, -this.newPartsOffset);
			this.newPartsOffset += MAX_NEW_PARTS;
		}
		unknown.stream().filter((part) -> !unproven.contains(part)).forEach(ranked::add);
		return Set.copyOf(ranked.subList(0, MAX_NEW_PARTS));
	}

	private SuspectedPart addSuspect(long part, Set<Long> companions, boolean companionsOmitted) {
		SuspectedPart suspect = new SuspectedPart(companions, companionsOmitted);
		this.suspects.put(part, suspect);
		return suspect;
	}

	/**
	 * Returns the elements that two sets have in common.
	 * @param all a set that must not change
	 * @param others the other set
	 * @return the first set itself if the other one contains all of it
	 */
	private static Set<Long> common(Set<Long> all, Set<Long> others) {
		return others.containsAll(all) ? all
				: all.stream().filter(others::contains).collect(Collectors.toUnmodifiableSet());
	}

	private void evict(long now) {
		if (this.suspects.size() <= MAX_PARTS) {
			return;
		}
		List<Long> evicted = this.suspects.keySet()
			.stream()
			.sorted(Comparator.comparing((Long part) -> successNanos(part, now).isEmpty())
				.thenComparingInt(this::crashCount)
				.thenComparing((part) -> -Integer.highestOneBit(this.suspects.get(part).companions().size())))
			.limit(this.suspects.size() - PARTS_AFTER_EVICTION)
			.toList();
		evicted.forEach(this.suspects::remove);
	}

	/**
	 * Called when a response has ended that its upstream had marked as complete.
	 * @param parts the request's shared parts
	 */
	public void recordSuccess(Collection<Long> parts) {
		recordSuccess(parts, this.ticker.nanos());
	}

	/**
	 * Called when the end of a connection has ended a response. A crash closes its
	 * connections as well, so the response counts as complete once its upstream has sent
	 * something afterwards.
	 * @param parts the request's shared parts
	 * @param upstreamKey the key of the upstream
	 */
	public void recordClosedResponse(Collection<Long> parts, int upstreamKey) {
		long now = this.ticker.nanos();
		settleClosedResponses(now);
		this.closedResponses.add(new ClosedResponse(parts, upstreamKey, now));
		if (this.closedResponses.size() > MAX_UNPROVEN_RESPONSES) {
			this.closedResponses.remove();
		}
	}

	/**
	 * Looks for proofs of the responses that a close has ended. What an upstream has sent
	 * later than the time for a proof may come from a new start, so a response that was
	 * not looked at within that time is forgotten.
	 * @param now the current time, a reading of the ticker
	 */
	private void settleClosedResponses(long now) {
		this.closedResponses.removeIf((closed) -> {
			boolean over = now - closed.nanos() >= MAX_PROOF_TIME.toNanos();
			boolean complete = !over && alive(closed.upstreamKey(), closed.nanos());
			if (complete) {
				recordSuccess(closed.parts(), closed.nanos());
			}
			return complete || over;
		});
	}

	private void recordSuccess(Collection<Long> parts, long now) {
		boolean suspected = false;
		for (long part : parts) {
			this.successes.add(part, now);
			if (this.suspects.containsKey(part)) {
				this.contradicted.put(part, now);
				suspected = true;
			}
		}
		if (suspected) {
			this.changed = true;
			this.listener.run();
		}
	}

	/**
	 * Returns whether there is any part that a request may be refused for.
	 * @return false while no crash counts
	 */
	public boolean hasSuspects() {
		return !this.suspects.isEmpty();
	}

	/**
	 * Returns whether a request must not be run.
	 * @param parts the request's shared parts
	 * @return whether one of them is known to crash upstreams
	 */
	public boolean refused(Collection<Long> parts) {
		if (!hasSuspects()) {
			return false;
		}
		long now = this.ticker.nanos();
		if (this.changed || now - this.refreshedNanos >= REFRESH_INTERVAL.toNanos()) {
			refresh(now);
		}
		if (this.poison.isEmpty()) {
			return false;
		}
		Set<Long> present = new HashSet<>(parts);
		return this.poison.stream().anyMatch(present::containsAll);
	}

	/**
	 * Returns what is to be reported to the peers: the parts with crashes, the most
	 * crashes first, of these the ones that would be blamed first, and those whose
	 * crashes were contradicted a moment ago.
	 * @return the observations of this process and those that it has received
	 */
	public List<PartObservation> observations() {
		long now = this.ticker.nanos();
		settleClosedResponses(now);
		if (this.suspects.isEmpty() && this.contradicted.isEmpty()) {
			return List.of();
		}
		refresh(now);
		Set<Long> parts = new HashSet<>(this.suspects.keySet());
		parts.addAll(this.contradicted.keySet());
		return parts.stream()
			.sorted(Comparator.comparingInt((Long part) -> -crashCount(part))
				.thenComparing((part) -> successNanos(part, now).isPresent())
				.thenComparing((part) -> -position(part)))
			.map((part) -> observation(part, now))
			.toList();
	}

	private PartObservation observation(long part, long now) {
		SuspectedPart suspect = this.suspects.getOrDefault(part, new SuspectedPart(Set.of(), false));
		Map<Integer, Duration> ages = new HashMap<>();
		suspect.crashNanos().forEach((upstream, nanos) -> ages.put(upstream, Duration.ofNanos(now - nanos)));
		return new PartObservation(part, suspect.position(), suspect.companions(), suspect.companionsOmitted(), ages,
				successNanos(part, now).map((nanos) -> Duration.ofNanos(now - nanos)));
	}

	private Optional<Long> successNanos(long part, long now) {
		return this.successes.last(part).filter((nanos) -> now - nanos < RETENTION.toNanos());
	}

	/**
	 * Adds what a peer has reported. If this process knows of a later complete response
	 * of a part, the peers receive that.
	 * @param observations the peer's observations
	 */
	public void add(List<PartObservation> observations) {
		if (observations.isEmpty()) {
			return;
		}
		long now = this.ticker.nanos();
		boolean contradicts = false;
		for (PartObservation observation : observations) {
			contradicts |= contradicts(observation, now);
			observation.successAge().ifPresent((age) -> this.successes.add(observation.part(), now - age.toNanos()));
			if (!observation.crashAges().isEmpty()) {
				SuspectedPart suspect = suspect(observation);
				observation.crashAges()
					.forEach(
							(upstream, age) -> suspect.addCrash(upstream, now - age.toNanos(), observation.position()));
			}
		}
		evict(now);
		this.changed = true;
		if (contradicts) {
			this.listener.run();
		}
	}

	private boolean contradicts(PartObservation observation, long now) {
		Optional<Long> own = successNanos(observation.part(), now);
		boolean later = own.isPresent() && !observation.crashAges().isEmpty()
				&& observation.successAge()
					.map((age) -> now - age.toNanos() + SETTLE_TIME.toNanos() < own.get())
					.orElse(true);
		if (later) {
			this.contradicted.put(observation.part(), now);
		}
		return later;
	}

	private SuspectedPart suspect(PartObservation observation) {
		SuspectedPart known = this.suspects.get(observation.part());
		if (known == null) {
			return addSuspect(observation.part(), observation.companions(), observation.companionsOmitted());
		}
		if (!observation.companionsOmitted()) {
			known.companions(common(known.companions(), observation.companions()));
		}
		return known;
	}

	private int crashCount(long part) {
		return this.suspects.containsKey(part) ? this.suspects.get(part).crashCount() : 0;
	}

	private int position(long part) {
		return this.suspects.containsKey(part) ? this.suspects.get(part).position() : 0;
	}

	private void refresh(long now) {
		settleClosedResponses(now);
		this.refreshedNanos = now;
		this.changed = false;
		this.contradicted.values().removeIf((nanos) -> now - nanos >= REPORT_PERIOD.toNanos());
		this.suspects.forEach((part, suspect) -> {
			long since = successNanos(part, now).orElse(now - RETENTION.toNanos());
			suspect.removeCrashesIf((upstream, nanos) -> nanos - since <= 0 || alive(upstream, nanos));
		});
		this.suspects.values().removeIf((suspect) -> suspect.crashCount() == 0);
		Set<Set<Long>> found = CrashAttribution.poisonParts(this.suspects,
				(part) -> successNanos(part, now).isPresent(), now);
		found.stream()
			.filter((parts) -> !this.poison.contains(parts))
			.forEach((parts) -> LOG.warning("poison_part_detected", "parts", hex(parts), "crashes",
					crashCount(parts.iterator().next())));
		this.poison.stream()
			.filter((parts) -> !found.contains(parts))
			.forEach((parts) -> LOG.info("poison_part_cleared", "parts", hex(parts)));
		this.poison = found;
	}

	private static String hex(Set<Long> parts) {
		return String.join(",", parts.stream().map(Long::toHexString).sorted().toList());
	}

	private boolean alive(int upstreamKey, long lossNanos) {
		return this.activity.activeAfter(upstreamKey, lossNanos + SETTLE_TIME.toNanos());
	}

	/**
	 * A response that the end of its connection has ended.
	 *
	 * @param parts the request's shared parts
	 * @param upstreamKey the key of the upstream
	 * @param nanos when it ended, as a reading of the ticker
	 */
	private record ClosedResponse(Collection<Long> parts, int upstreamKey, long nanos) {
	}

	/**
	 * Knows when upstreams have sent something.
	 */
	@FunctionalInterface
	public interface UpstreamActivity {

		/**
		 * Returns whether an upstream has sent anything after a given time.
		 * @param upstreamKey the key of the upstream
		 * @param nanos the given time, as a reading of the ticker in nanoseconds
		 * @return false also if the upstream is not known
		 */
		boolean activeAfter(int upstreamKey, long nanos);

	}

}
