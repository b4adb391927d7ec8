package org.ragworthook.gateway.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import org.ragworthook.core.admission.ShedRequest;
import org.ragworthook.core.admission.SlotForecast;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.account.AccountLoads;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.SlotSharing;
import org.ragworthook.gateway.upstream.SpeedProfiles;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

/**
 * Assigns the slots of upstreams to the online requests of all entries. The loads are
 * taken from the reports that the entries send at each change. Not thread-safe: used on
 * the event loop.
 * <p>
 * Serves bursts that need nearly all slots. In a simulation of 28 entries and 42
 * upstreams of 7 slots, with bursts of 2.4 s at 90 % of the capacity and more, 78 of
 * 1,000 requests started later than 0.3 s when each entry chose upstreams itself, and 1
 * with a dispatcher ({@code DispatchSimulationTests}).
 * <p>
 * While the configuration has client accounts, slots are shared among them, and requests
 * that cannot start on time are refused if their account is above its share and their
 * caller can still retry.
 */
public final class Dispatcher {

	private static final EventLog LOG = EventLog.of(Dispatcher.class);

	/**
	 * How long a request stays queued after its entry last sent it. Entries resend
	 * several times within that time; one that is gone or has chosen an upstream itself
	 * does not.
	 */
	private static final Duration REQUEST_EXPIRY = Duration.ofMillis(400);

	private final UpstreamRegistry upstreams;

	private final Function<String, Placement> newPlacement;

	private final Ticker ticker;

	private final AnswerSink answers;

	private final AccountLoads loads;

	private final GrantLedger ledger;

	private final Refusals refusals;

	private final Map<String, ServiceQueue> queues = new HashMap<>();

	private final Map<String, Placement> placements = new HashMap<>();

	private Dispatcher(UpstreamRegistry upstreams, AccountLoads loads, Function<String, Placement> newPlacement,
			Ticker ticker, long firstGrant, AnswerSink answers) {
		this.upstreams = Objects.requireNonNull(upstreams, "upstreams is null");
		this.newPlacement = newPlacement;
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.answers = Objects.requireNonNull(answers, "answers is null");
		this.loads = Objects.requireNonNull(loads, "loads is null");
		this.ledger = new GrantLedger(ticker, loads, firstGrant);
		this.refusals = new Refusals(ticker);
	}

	/**
	 * Returns a dispatcher without queued requests that places them by count.
	 * @param upstreams the upstreams and their loads
	 * @param loads the requests of client accounts over all processes
	 * @param ticker the monotonic clock
	 * @param random breaks ties
	 * @param firstGrant a number greater than that of any grant of an earlier run
	 * @param answers receives the answers
	 * @return a new dispatcher
	 */
	public static Dispatcher of(UpstreamRegistry upstreams, AccountLoads loads, Ticker ticker, RandomGenerator random,
			long firstGrant, AnswerSink answers) {
		return new Dispatcher(upstreams, loads, (domain) -> Placement.of(domain, ticker, random), ticker, firstGrant,
				answers);
	}

	/**
	 * Returns a dispatcher without queued requests that places them by expected time
	 * where upstreams differ in speed.
	 * @param upstreams the upstreams and their loads
	 * @param loads the requests of client accounts over all processes
	 * @param speedProfiles the speeds of upstreams
	 * @param ticker the monotonic clock
	 * @param random breaks ties
	 * @param firstGrant a number greater than that of any grant of an earlier run
	 * @param answers receives the answers
	 * @return a new dispatcher
	 */
	public static Dispatcher of(UpstreamRegistry upstreams, AccountLoads loads, SpeedProfiles speedProfiles,
			Ticker ticker, RandomGenerator random, long firstGrant, AnswerSink answers) {
		Objects.requireNonNull(speedProfiles, "speedProfiles is null");
		return new Dispatcher(upstreams, loads, (domain) -> Placement.of(domain, speedProfiles, ticker, random), ticker,
				firstGrant, answers);
	}

	/**
	 * Grants a slot to a request, refuses or queues it. A request that was sent again is
	 * answered with its earlier grant or refusal, if any.
	 * @param request the request
	 */
	void handle(SlotRequest request) {
		Optional<GrantLedger.Grant> previousGrant = this.ledger.find(request);
		if (previousGrant.isPresent()) {
			this.answers.granted(request, previousGrant.get(),
					SlotSharing.needsPreemption(previousGrant.get().upstream()));
			return;
		}
		Optional<Duration> previousRefusal = this.refusals.find(request);
		if (previousRefusal.isPresent()) {
			this.answers.refused(request, previousRefusal.get());
			return;
		}
		ServiceQueue queue = this.queues.computeIfAbsent(request.service(), (name) -> new ServiceQueue(this.loads));
		queue.add(request);
		drain(request.service(), queue);
		if (queue.contains(request)) {
			this.answers.queued(request);
		}
	}

	/**
	 * Called when the reported loads of an entry include its grants.
	 * @param entry the name of the entry
	 * @param lastGrant the number of the last grant that they include
	 */
	void grantsCounted(String entry, long lastGrant) {
		this.ledger.counted(entry, lastGrant);
	}

	/** Called when loads have changed, so that slots may be free. */
	void loadsChanged() {
		this.queues.forEach(this::drain);
	}

	/**
	 * Removes grants that no report confirmed in time, and queued requests that were not
	 * sent again in time.
	 */
	void expire() {
		this.ledger.expire();
		this.refusals.expire();
		long expiredNanos = this.ticker.nanos() - REQUEST_EXPIRY.toNanos();
		this.queues.values()
			.forEach((queue) -> queue.removeIf((request) -> request.receivedNanos() - expiredNanos <= 0));
	}

	/**
	 * Returns the number of queued requests.
	 * @return the number over all services
	 */
	int queuedRequests() {
		return this.queues.values().stream().mapToInt(ServiceQueue::size).sum();
	}

	private void drain(String service, ServiceQueue queue) {
		long now = this.ticker.nanos();
		queue.observe(now, this.upstreams.serving(service));
		queue.drain(now, (request) -> place(request, queue));
		int waiting = queue.size();
		queue.shed(now).forEach((shed) -> refuse(shed, waiting, queue.forecast()));
	}

	private void refuse(ShedRequest<SlotRequest> shed, int waiting, SlotForecast forecast) {
		SlotRequest request = shed.item();
		LOG.info("request_shed", "request", request.requestId(), "entry", request.entry(), "service", request.service(),
				"account", this.loads.name(request.terms().tag()), "share", rounded(shed.share()), "used",
				rounded(shed.used()), "waiting", waiting, "freed_per_s", rounded(forecast.slotsFreedPerSecond()),
				"start_in_ms", shed.expectedWait().toMillis(), "goal_in_ms",
				(request.startTargetNanos() - this.ticker.nanos()) / 1_000_000, "retry_after_ms",
				shed.retryAfter().toMillis(), "oldest_report_ms", this.loads.oldestReportAge().toMillis());
		this.refusals.add(request, shed.retryAfter());
		this.answers.refused(request, shed.retryAfter());
	}

	private static String rounded(double value) {
		return String.format(Locale.ROOT, "%.1f", value);
	}

	private boolean place(SlotRequest request, ServiceQueue queue) {
		List<TrackedUpstream> serving = this.upstreams.serving(request.service());
		Set<TrackedUpstream> excluded = new HashSet<>();
		request.excluded().forEach((key) -> this.upstreams.byKey(key).ifPresent(excluded::add));
		Optional<TrackedUpstream> choice = placement(request.failureDomain()).choose(serving, excluded,
				SlotSharing::hasFreeOnlineSlot, request.prefixAffinity(), 0);
		choice.ifPresent((upstream) -> {
			grant(request, upstream);
			queue.recordGrant(upstream);
		});
		return choice.isPresent();
	}

	private void grant(SlotRequest request, TrackedUpstream upstream) {
		boolean preempts = SlotSharing.needsPreemption(upstream);
		long untilTargetMillis = (request.startTargetNanos() - this.ticker.nanos()) / 1_000_000;
		LOG.info("slot_granted",
				Placement.logFields(upstream, "request", request.requestId(), "entry", request.entry(), "upstream",
						upstream, "online", upstream.onlineLoad() + 1, "batch", upstream.batchLoad(), "goal_in_ms",
						untilTargetMillis, "waiting", queuedRequests()));
		GrantLedger.Grant grant = this.ledger.add(request, upstream);
		this.answers.granted(request, grant, preempts);
	}

	private Placement placement(String failureDomain) {
		return this.placements.computeIfAbsent(failureDomain, this.newPlacement);
	}

	/** Receives the answers of a dispatcher. */
	public interface AnswerSink {

		/**
		 * Called when a request was granted a slot.
		 * @param request the request
		 * @param grant the granted slot
		 * @param preempts whether a batch item has to be preempted for the slot
		 */
		void granted(SlotRequest request, GrantLedger.Grant grant, boolean preempts);

		/**
		 * Called when no slot is free and the request was queued.
		 * @param request the request
		 */
		void queued(SlotRequest request);

		/**
		 * Called when a request is not queued, since it could not start on time and its
		 * account is above its share.
		 * @param request the request
		 * @param retryAfter the time after which its caller may retry
		 */
		void refused(SlotRequest request, Duration retryAfter);

	}

}
