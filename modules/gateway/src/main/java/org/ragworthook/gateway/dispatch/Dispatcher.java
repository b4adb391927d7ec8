package org.ragworthook.gateway.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.SlotSharing;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

/**
 * Gives the slots of upstreams to the online requests of all entries. Used on the event
 * loop; what it knows of loads comes from the reports of the entries, which it is sent at
 * each change.
 * <p>
 * Answers the load of bursts that take nearly all slots. Played with 28 entries before 42
 * engines of 7 slots, and bursts of 2.4 s at nine tenths of what these can do and more,
 * 78 of 1,000 requests began later than 0.3 s when each entry chose for itself, and 1
 * with this ({@code DispatchPlayTests}).
 */
public final class Dispatcher {

	private static final EventLog LOG = EventLog.of(Dispatcher.class);

	/**
	 * How long a request waits here after its entry last asked for it. Entries ask again
	 * several times in that time; one that is gone, or has chosen for itself, does not.
	 */
	private static final Duration FORGOTTEN = Duration.ofMillis(400);

	private final UpstreamRegistry upstreams;

	private final Ticker ticker;

	private final RandomGenerator random;

	private final Answers answers;

	private final GrantLedger ledger;

	private final Map<String, SlotQueue> lines = new HashMap<>();

	private final Map<String, Placement> placements = new HashMap<>();

	private Dispatcher(UpstreamRegistry upstreams, Ticker ticker, RandomGenerator random, long firstGrant,
			Answers answers) {
		this.upstreams = Objects.requireNonNull(upstreams, "upstreams is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.random = Objects.requireNonNull(random, "random is null");
		this.answers = Objects.requireNonNull(answers, "answers is null");
		this.ledger = new GrantLedger(ticker, firstGrant);
	}

	/**
	 * Returns a dispatcher that nobody has asked.
	 * @param upstreams the upstreams and their loads
	 * @param ticker the time
	 * @param random breaks ties
	 * @param firstGrant a number above that of any grant of an earlier run
	 * @param answers takes the answers
	 * @return the dispatcher
	 */
	public static Dispatcher of(UpstreamRegistry upstreams, Ticker ticker, RandomGenerator random, long firstGrant,
			Answers answers) {
		return new Dispatcher(upstreams, ticker, random, firstGrant, answers);
	}

	/**
	 * Takes a request for a slot, or takes it once more, and answers it.
	 * @param request the request
	 */
	void ask(SlotRequest request) {
		Optional<GrantLedger.Grant> before = this.ledger.find(request);
		if (before.isPresent()) {
			this.answers.granted(request, before.get(), SlotSharing.needsPreemption(before.get().upstream()));
			return;
		}
		SlotQueue line = this.lines.computeIfAbsent(request.service(), (name) -> new SlotQueue());
		line.add(request);
		drain(line);
		if (line.contains(request)) {
			this.answers.waits(request);
		}
	}

	/**
	 * Learns that an entry's loads count its grants.
	 * @param entry the entry
	 * @param through the last grant that they count
	 */
	void seen(String entry, long through) {
		this.ledger.seen(entry, through);
	}

	/**
	 * Learns that loads have changed, so that slots may be free.
	 */
	void changed() {
		this.lines.values().forEach(this::drain);
	}

	/**
	 * Forgets what was not heard of for too long.
	 */
	void expire() {
		this.ledger.expire();
		long before = this.ticker.nanos() - FORGOTTEN.toNanos();
		this.lines.values().forEach((line) -> line.removeIf((request) -> request.askedNanos() - before <= 0));
	}

	/**
	 * Returns how many requests wait.
	 * @return over all services
	 */
	int waiting() {
		return this.lines.values().stream().mapToInt(SlotQueue::size).sum();
	}

	private void drain(SlotQueue line) {
		line.drain(this.ticker.nanos(), this::place);
	}

	private boolean place(SlotRequest request) {
		List<TrackedUpstream> serving = this.upstreams.serving(request.service());
		Set<TrackedUpstream> except = new HashSet<>();
		request.except().forEach((key) -> this.upstreams.byKey(key).ifPresent(except::add));
		Optional<TrackedUpstream> choice = placement(request.failureDomain()).choose(serving, except,
				SlotSharing::hasFreeOnlineSlot, request.prompt(), 0);
		choice.ifPresent((upstream) -> grant(request, upstream));
		return choice.isPresent();
	}

	private void grant(SlotRequest request, TrackedUpstream upstream) {
		boolean yields = SlotSharing.needsPreemption(upstream);
		GrantLedger.Grant grant = this.ledger.add(request, upstream);
		long spare = (request.goalNanos() - this.ticker.nanos()) / 1_000_000;
		LOG.info("slot_granted", "request", request.id(), "entry", request.entry(), "upstream", upstream, "online",
				upstream.onlineLoad(), "batch", upstream.batchLoad(), "goal_in_ms", spare, "waiting", waiting());
		this.answers.granted(request, grant, yields);
	}

	private Placement placement(String failureDomain) {
		return this.placements.computeIfAbsent(failureDomain,
				(domain) -> Placement.of(domain, this.ticker, this.random));
	}

	/**
	 * Takes the answers of a dispatcher.
	 */
	public interface Answers {

		/**
		 * A request was given a slot.
		 * @param request the request
		 * @param grant the slot
		 * @param yields whether a batch item is to leave it
		 */
		void granted(SlotRequest request, GrantLedger.Grant grant, boolean yields);

		/**
		 * A request waits for a slot.
		 * @param request the request
		 */
		void waits(SlotRequest request);

	}

}
