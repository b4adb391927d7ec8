package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.account.AccountUse;
import org.ragworthook.gateway.account.QuotaReservation;
import org.ragworthook.gateway.account.ShareTerms;
import org.ragworthook.gateway.attempt.Attempt;
import org.ragworthook.gateway.attempt.AttemptListener;
import org.ragworthook.gateway.dispatch.DispatchClient;
import org.ragworthook.gateway.http.ResponseEnd;
import org.ragworthook.gateway.http.SendFailure;
import org.ragworthook.gateway.origin.StreamOrigin;
import org.ragworthook.gateway.suspect.PoisonPartDetector;
import org.ragworthook.gateway.suspect.PoisonRequestDetector;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.PrefixAffinity;
import org.ragworthook.gateway.upstream.PromptSegment;
import org.ragworthook.gateway.upstream.SlotSharing;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.WorkClass;

/**
 * An online request from its first placement to the end of its response. Used on the
 * event loop.
 */
final class OnlineExchange {

	private static final EventLog LOG = EventLog.of(OnlineExchange.class);

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Sent by an upstream that the request was not addressed to; does not count as an
	 * attempt.
	 */
	private static final int MISDIRECTED = 421;

	private static final int BAD_GATEWAY = 502;

	private static final int UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	private static final String STOPS = "this instance stops";

	/** Retry time for the sender of a request that crashes upstreams. */
	private static final Duration QUARANTINED_RETRY_AFTER = Duration.ofSeconds(60);

	/** Least retry time for rejected callers where no better estimate is known. */
	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(200);

	private final OnlineContext context;

	private final OnlineRequest request;

	private final ForwardedResponse response;

	private final OnlineQueues queues;

	private final QuotaReservation quota;

	private String service;

	private final RequestClock clock;

	/** Counts the request under its account while it waits and runs. */
	private final AccountUse use;

	private final long fingerprint;

	/** The parts of the prompt that other requests can have as well. */
	private final List<Long> sharedParts;

	private final TriedUpstreams tried = new TriedUpstreams();

	private final SlotRequest slotRequest = new SlotRequest();

	private int attempts;

	/** Whether an upstream may have executed the request. */
	private boolean mayHaveRun;

	private boolean ended;

	/** The attempt in progress, or {@code null} if there is none. */
	private Attempt attempt;

	/** The upstream of the last attempt, for the log. */
	private TrackedUpstream lastUpstream;

	/** Ends the request at its deadline. */
	private Timers.Timer deadlineTimer;

	/** Ends the wait for a slot. */
	private Timers.Timer waitTimer;

	/** Whether the upstream had no free slot when the request was sent. */
	private boolean queued;

	private boolean stalled;

	OnlineExchange(OnlineContext context, OnlineRequest request, CallerResponse response, OnlineQueues queues,
			QuotaReservation quota) {
		this.context = context;
		this.request = request;
		this.response = new ForwardedResponse(response, request.lastEvent().orElse(0L));
		this.queues = queues;
		this.quota = quota;
		this.service = request.route().pickService(context.random().nextDouble());
		this.clock = new RequestClock(context.ticker());
		this.use = context.accounts().use(request.terms());
		this.sharedParts = PoisonPartDetector.sharedParts(request.prompt());
		this.fingerprint = PoisonRequestDetector.fingerprint(request.route().host(), request.uri(), request.body());
	}

	/**
	 * Starts the request's timeout and places the request.
	 */
	void start() {
		Duration left = this.request.deadline().remaining().orElse(this.request.route().timeout());
		this.deadlineTimer = this.context.timers().schedule(left, this::timedOut);
		if (this.response.lastEvent() > 0) {
			resume();
		}
		else {
			place();
		}
	}

	/**
	 * Finds the software that began the stream which the caller resumes, and places the
	 * request there.
	 */
	private void resume() {
		LOG.info("resumed_by_caller", "request", this.request.id(), "last_event", this.response.lastEvent(), "began_as",
				this.request.resumes().orElse("unstated"));
		this.request.resumes()
			.ifPresentOrElse((began) -> this.context.origins().find(began, this::resumeAt),
					() -> resumeAt(Optional.empty()));
	}

	private void resumeAt(Optional<StreamOrigin> origin) {
		if (this.ended) {
			return;
		}
		if (origin.filter((known) -> this.request.route().leadsTo(known.service())).isEmpty()) {
			LOG.info("not_continued", "request", this.request.id(), "origin",
					origin.map(String::valueOf).orElse("unknown"));
			reject(DEFAULT_RETRY_AFTER, "it is not known which software version began the stream");
			return;
		}
		this.service = origin.get().service();
		this.response.resume(origin.get());
		place();
	}

	/**
	 * Ends a request whose stream no upstream can continue, since all that run the
	 * software which began it are gone or have failed.
	 * @return whether the request has ended
	 */
	private boolean endedWithoutUpstream() {
		if (this.response.origin().isEmpty()) {
			return false;
		}
		List<TrackedUpstream> candidates = candidates();
		if (!this.tried.excluded(candidates).containsAll(candidates)) {
			return false;
		}
		LOG.info("not_continued", "request", this.request.id(), "origin", this.response.origin().get(), "upstreams",
				candidates.size());
		reject(DEFAULT_RETRY_AFTER, "no upstream of the software version that began the stream is left");
		return true;
	}

	/**
	 * Returns the upstreams that may run the request.
	 * @return those of the service, or only those of the software that began the stream
	 */
	private List<TrackedUpstream> candidates() {
		List<TrackedUpstream> serving = this.context.upstreams().serving(this.service);
		return this.response.origin().isEmpty() ? serving
				: serving.stream().filter((upstream) -> this.response.continuedBy(upstream.descriptor())).toList();
	}

	private void place() {
		if (!endedBeforePlacement() && !this.queues.requestSlot(this.service, this)) {
			placeLocally();
		}
	}

	/**
	 * Ends a request that must not be sent to any upstream.
	 * @return whether the request has ended
	 */
	private boolean endedBeforePlacement() {
		return this.ended || endedByStop() || endedAsPoison() || endedWithoutUpstream();
	}

	/**
	 * Ends a request that has not run, once too little time is left to run it before the
	 * process ends. A request that may have run goes on, since its caller could not
	 * repeat it.
	 * @return whether the request has ended
	 */
	private boolean endedByStop() {
		if (mayHaveRun() || this.context.stop().places()) {
			return false;
		}
		LOG.info("refused", "request", this.request.id(), "reason", "stopping", "sends", this.attempts, "after_ms",
				this.context.stop().elapsedMillis());
		reject(Duration.ZERO, STOPS);
		return true;
	}

	/**
	 * Called when waiting requests are not placed any more since the process stops; ends
	 * this one if it waits.
	 */
	void placementEnded() {
		if (!this.ended && this.attempt == null) {
			endedByStop();
		}
	}

	/**
	 * Returns whether no response has begun, neither an upstream's nor the gateway's own.
	 * @return whether the request can still be answered by {@link #processEnds()}
	 */
	boolean unanswered() {
		return !this.ended && !this.response.started();
	}

	/**
	 * Called shortly before the process ends. Ends the request unless its response has
	 * begun, which may still be completed.
	 */
	void processEnds() {
		if (!unanswered()) {
			return;
		}
		if (this.mayHaveRun || (this.attempt != null && this.attempt.sent())) {
			fail(GATEWAY_TIMEOUT, "stopped");
		}
		else {
			reject(Duration.ZERO, STOPS);
		}
	}

	private boolean endedAsPoison() {
		boolean poisonPart = this.context.poisonParts().refused(this.sharedParts);
		if (!poisonPart && !this.context.poisonRequests().refused(this.fingerprint)) {
			return false;
		}
		LOG.info("quarantined_rejected", "request", this.request.id(), "fingerprint",
				Long.toHexString(this.fingerprint), "poison_part", poisonPart, "sends", this.attempts);
		reject(QUARANTINED_RETRY_AFTER, "requests like this one crash upstreams");
		return true;
	}

	private void placeLocally() {
		if (!tryPlace()) {
			this.queues.enqueue(this.service, this);
		}
	}

	/**
	 * Sends the request to an upstream if one has room for it.
	 * @return whether the request no longer has to wait
	 */
	boolean tryPlace() {
		if (endedBeforePlacement()) {
			return true;
		}
		Optional<TrackedUpstream> choice = choose(this.queues.onlineCapacity());
		choice.ifPresent((upstream) -> send(upstream, PlacementSource.ENTRY, !SlotSharing.hasFreeSlot(upstream),
				SlotSharing.needsPreemption(upstream)));
		return choice.isPresent();
	}

	private Optional<TrackedUpstream> choose(Placement.CapacityCheck capacity) {
		List<TrackedUpstream> candidates = candidates();
		Collection<TrackedUpstream> excluded = this.tried.excluded(candidates);
		double unreported = this.context.unreported().estimate();
		boolean firstAttempt = this.attempt == null && this.attempts == 0 && !mayHaveRun()
				&& this.response.lastEvent() == 0;
		return firstAttempt
				? this.context.placement()
					.choose(candidates, excluded, capacity, this.request.prefixAffinity(), unreported)
				: this.context.placement()
					.chooseWithoutProbe(candidates, excluded, capacity, this.request.prefixAffinity(), unreported);
	}

	/**
	 * Sends the request to an upstream.
	 * @param upstream the upstream
	 * @param source the component that chose it, for the log
	 * @param full whether the upstream has no free slot, so that the request will wait
	 * @param preempts whether a batch item has to give up its slot for the request; the
	 * peers are then notified at once
	 */
	private void send(TrackedUpstream upstream, PlacementSource source, boolean full, boolean preempts) {
		cancel(this.waitTimer);
		this.queues.remove(this.service, this);
		this.queued = full;
		this.clock.recordActivity();
		this.stalled = false;
		this.queues.stallDetector().add(this);
		LOG.info("placed",
				Placement.logFields(upstream, "request", this.request.id(), "upstream", upstream, "by", source.label(),
						"load", upstream.load(), "slots", upstream.slots(), "sends", this.attempts, "after_ms",
						this.clock.ageMillis()));
		this.lastUpstream = upstream;
		this.context.unreported().recordPlacement();
		this.quota.commit();
		this.use.running();
		this.attempt = Attempt
			.start(upstream, WorkClass.ONLINE, this.context.connections(), this.context.headers(),
					new Attempt.Outgoing(this::newMessage, this.request.id(), this.response.lastEvent(),
							this.response.headCheck(), this.context.speeds().observe(upstream)),
					new UpstreamListener());
		this.context.loadChanged().run();
		if (preempts) {
			this.context.flushLoadReport().run();
		}
	}

	private FullHttpRequest newMessage() {
		FullHttpRequest message = Attempt.newRequest(this.request.method(), this.request.uri(), this.request.headers(),
				this.request.body());
		message.headers().set(this.context.headers().deadlineMillis(), this.request.deadline().remainingMillis());
		if (this.response.lastEvent() > 0) {
			message.headers().set(this.context.headers().lastEventId(), this.response.lastEvent());
		}
		else {
			message.headers().remove(this.context.headers().lastEventId());
		}
		return message;
	}

	/**
	 * Checks whether the upstream has stalled. If it has, reports it, so that new
	 * requests avoid it, and moves this request to another upstream if the route allows
	 * that.
	 * @param nowNanos the current time, a reading of the ticker
	 */
	void checkStall(long nowNanos) {
		Duration timeout = StallTimeouts.timeout(this.response.started(), this.queued,
				this.context.speeds().times(this.service), this.request.route().timeout());
		if (this.ended || this.attempt == null || this.response.writeQueueFull()
				|| nowNanos - this.clock.lastActivityNanos() < timeout.toNanos()) {
			return;
		}
		TrackedUpstream stalledUpstream = this.attempt.upstream();
		if (!this.stalled) {
			this.stalled = true;
			this.queues.stalled(stalledUpstream, this.clock.lastActivityNanos());
			LOG.info("upstream_silent", "request", this.request.id(), "upstream", stalledUpstream, "answering",
					this.response.started(), "ms", (nowNanos - this.clock.lastActivityNanos()) / NANOS_PER_MILLI);
		}
		if (this.attempt.sent() && RetryPolicy.mayMove(this.request.route(), this.attempts, this.response.progress())) {
			move(stalledUpstream);
		}
	}

	/**
	 * Moves the request to another upstream that is not avoided and has a free slot. If
	 * there is none, the request stays: the stalled upstream may resume, and a response
	 * is not ended because of a pause.
	 * @param stalledUpstream the upstream that the request is moved from
	 */
	private void move(TrackedUpstream stalledUpstream) {
		if (this.context.poisonParts().refused(this.sharedParts)) {
			return;
		}
		long now = this.context.ticker().nanos();
		Optional<TrackedUpstream> other = choose((candidate) -> candidate != stalledUpstream
				&& SlotSharing.hasFreeSlot(candidate) && !candidate.avoided(now));
		if (other.isEmpty()) {
			return;
		}
		this.tried.stalled(stalledUpstream);
		LOG.info("moves", "request", this.request.id(), "from", stalledUpstream, "to", other.get(), "last_event",
				this.response.lastEvent());
		this.context.metrics().attemptFailed("silent");
		this.attempt.cancel();
		this.response.attemptFailed();
		this.attempts++;
		this.mayHaveRun = true;
		send(other.get(), PlacementSource.ENTRY, false, SlotSharing.needsPreemption(other.get()));
	}

	/**
	 * Returns what the request waits for.
	 * @return the cause
	 */
	WaitCause waitsFor() {
		if (this.ended) {
			return WaitCause.CALLER;
		}
		return (this.attempt != null) ? WaitCause.UPSTREAM : WaitCause.SLOT;
	}

	/**
	 * Called when the caller has closed its connection; cancels the attempt in progress.
	 */
	void callerLeft() {
		if (!this.ended) {
			finish("caller_left", 0);
		}
	}

	/**
	 * Ends a request that is not placed. Responds that it was not executed, or fails it
	 * if an earlier attempt may have executed it.
	 * @param retryAfter the time after which the caller may retry
	 */
	void reject(Duration retryAfter) {
		reject(retryAfter, "no upstream has room");
	}

	private void reject(Duration retryAfter, String reason) {
		if (this.ended) {
			return;
		}
		if (mayHaveRun()) {
			fail(BAD_GATEWAY, "no_upstream_to_go_on");
			return;
		}
		finish("refused", UNAVAILABLE);
		this.response.reject(UNAVAILABLE, "not run: " + reason, retryAfter);
	}

	/**
	 * Returns whether an upstream may have run the request, so that its caller must not
	 * be told that it has not.
	 * @return whether that is possible
	 */
	private boolean mayHaveRun() {
		return this.mayHaveRun || this.response.started();
	}

	private void timedOut() {
		if (!this.ended) {
			fail(GATEWAY_TIMEOUT, "timed_out");
		}
	}

	private void fail(int status, String outcome) {
		finish(outcome, this.response.started() ? 0 : status);
		this.response.fail(status, outcome + ": the request may have run");
	}

	private void finish(String outcome, int status) {
		this.ended = true;
		cancel(this.deadlineTimer);
		cancel(this.waitTimer);
		this.queues.stallDetector().remove(this);
		this.queues.remove(this.service, this);
		if (this.attempt != null) {
			this.attempt.cancel();
		}
		this.quota.release();
		this.use.none();
		LOG.info("request_ended", "request", this.request.id(), "route", this.request.route().name(), "config",
				this.request.configurationVersion(), "config_confirmed_ms",
				this.context.configuration().confirmedMillisAgo(), "outcome", outcome, "status", status, "upstream",
				this.lastUpstream, "sends", this.attempts, "first_ms", this.clock.firstByteMillis(), "ms",
				this.clock.ageMillis(), "last_event", this.response.lastEvent());
		this.context.metrics().requestEnded(outcome, this.clock.firstByteMillis(), this.clock.ageMillis());
		this.context.loadChanged().run();
		this.queues.capacityFreed(this.service);
	}

	private void recordActivity() {
		this.stalled = false;
		this.attempt.upstream().recordActivity(this.clock.recordActivity());
	}

	private static void cancel(Timers.Timer timer) {
		if (timer != null) {
			timer.cancel();
		}
	}

	/**
	 * Called when the request begins to wait for a slot. Sets the timer that ends the
	 * wait and cancels the one before it.
	 * @param timer the timer
	 */
	void waitTimer(Timers.Timer timer) {
		this.use.waiting();
		cancel(this.waitTimer);
		this.waitTimer = timer;
	}

	/**
	 * Returns the request to the dispatcher on behalf of this exchange.
	 * @return the slot request
	 */
	SlotRequest slotRequest() {
		return this.slotRequest;
	}

	OnlineRequest request() {
		return this.request;
	}

	/**
	 * Returns the upstreams that the request must not be sent to.
	 * @return the excluded ones of those that were tried, and those that cannot continue
	 * the stream
	 */
	Collection<TrackedUpstream> excluded() {
		List<TrackedUpstream> candidates = candidates();
		Set<TrackedUpstream> excluded = new HashSet<>(this.context.upstreams().serving(this.service));
		candidates.forEach(excluded::remove);
		excluded.addAll(this.tried.excluded(candidates));
		return excluded;
	}

	/**
	 * Returns by when the request has to be sent to a free slot to meet its latency
	 * target, or to resume a stream before it counts as stalled.
	 * @return the ticker's reading
	 */
	long sendTargetNanos() {
		if (this.response.started()) {
			return this.context.ticker().nanos()
					+ this.context.speeds().times(this.service).pause(StallTimeouts.EVENT_TIMEOUT).toNanos();
		}
		return this.clock.sendTargetNanos(this.request.route().latencyTarget());
	}

	/**
	 * Receives the dispatcher's decision.
	 */
	final class SlotRequest implements DispatchClient.SlotRequester {

		@Override
		public String requestId() {
			return OnlineExchange.this.request.id();
		}

		@Override
		public PrefixAffinity prefixAffinity() {
			return OnlineExchange.this.request.prefixAffinity();
		}

		@Override
		public void granted(int upstreamKey, boolean yields) {
			OnlineExchange exchange = OnlineExchange.this;
			if (exchange.endedBeforePlacement()) {
				return;
			}
			// Upstreams of two services can have the same key.
			Optional<TrackedUpstream> upstream = exchange.context.upstreams()
				.byKey(upstreamKey)
				.filter((known) -> exchange.candidates().contains(known) && !exchange.excluded().contains(known));
			if (upstream.isPresent()) {
				send(upstream.get(), PlacementSource.DISPATCHER, false, yields);
			}
			else {
				placeLocally();
			}
		}

		@Override
		public ShareTerms terms() {
			return OnlineExchange.this.request.terms();
		}

		@Override
		public Duration retryWithin() {
			boolean begun = mayHaveRun() || OnlineExchange.this.response.lastEvent() > 0;
			return begun ? Duration.ZERO : OnlineExchange.this.request.retryWithin();
		}

		@Override
		public void refused(Duration retryAfter) {
			OnlineExchange exchange = OnlineExchange.this;
			if (exchange.ended || exchange.attempt != null) {
				return;
			}
			if (mayHaveRun()) {
				place();
				return;
			}
			exchange.context.accounts().recordRefused(terms().tag());
			exchange.context.metrics().requestRefused("over_share");
			reject(retryAfter, "the account is above its share of the slots");
		}

		@Override
		public void dispatcherTimedOut() {
			if (!OnlineExchange.this.ended) {
				placeLocally();
			}
		}

	}

	/**
	 * Receives the upstream's response.
	 */
	private final class UpstreamListener implements AttemptListener {

		@Override
		public void head(HttpResponse head) {
			OnlineExchange exchange = OnlineExchange.this;
			exchange.recordActivity();
			exchange.response.head(head, exchange.attempt.eventStream(), exchange.attempt.upstream().descriptor());
		}

		private void beginResponse() {
			OnlineExchange exchange = OnlineExchange.this;
			if (exchange.response.started()) {
				return;
			}
			exchange.clock.firstByte();
			if (exchange.attempt.eventStream() && exchange.response.origin().isEmpty()
					&& exchange.request.route().resumable()) {
				exchange.context.origins()
					.began(exchange.request.id(), StreamOrigin.of(exchange.attempt.upstream().descriptor()));
			}
		}

		@Override
		public void data(byte[] data) {
			OnlineExchange exchange = OnlineExchange.this;
			exchange.recordActivity();
			beginResponse();
			exchange.response.data(data, exchange.attempt.lastEventId());
			if (exchange.response.writeQueueFull()) {
				Attempt current = exchange.attempt;
				current.autoRead(false);
				exchange.response.onWritable(() -> {
					exchange.clock.recordActivity();
					current.autoRead(true);
				});
			}
		}

		@Override
		public void complete(ResponseEnd end) {
			OnlineExchange exchange = OnlineExchange.this;
			beginResponse();
			exchange.attempts++;
			logAttemptEnd(end.label());
			if (exchange.attempt.status() / 100 == 2) {
				recordSuccess(end);
			}
			exchange.finish("answered", exchange.response.status());
			exchange.response.complete();
		}

		private void recordSuccess(ResponseEnd end) {
			OnlineExchange exchange = OnlineExchange.this;
			if (end == ResponseEnd.CONNECTION_CLOSED) {
				exchange.context.poisonParts()
					.recordClosedResponse(exchange.sharedParts, exchange.attempt.upstream().key());
			}
			else {
				exchange.context.poisonParts().recordSuccess(exchange.sharedParts);
			}
		}

		@Override
		public void notExecuted(int status) {
			OnlineExchange exchange = OnlineExchange.this;
			if (status != MISDIRECTED) {
				exchange.attempts++;
			}
			logAttemptEnd("not_executed");
			TrackedUpstream rejecting = attemptEnded();
			exchange.tried.failed(rejecting);
			LOG.info("not_run", "request", exchange.request.id(), "upstream", rejecting, "status", status, "sends",
					exchange.attempts);
			exchange.context.metrics().attemptFailed("not_run");
			exchange.queues.upstreamRejected(rejecting, status);
			follow(RetryPolicy.afterRejection(exchange.request.route(), exchange.attempts, exchange.mayHaveRun,
					exchange.response.progress()));
		}

		@Override
		public void failed(SendFailure failure) {
			OnlineExchange exchange = OnlineExchange.this;
			logAttemptEnd(failure.name().toLowerCase(Locale.ROOT));
			TrackedUpstream failing = attemptEnded();
			exchange.tried.failed(failing);
			if (failure != SendFailure.NOT_SENT) {
				exchange.attempts++;
				exchange.mayHaveRun = true;
			}
			if (failure == SendFailure.BROKEN || failure == SendFailure.MALFORMED) {
				exchange.context.poisonRequests().recordConnectionLoss(exchange.fingerprint);
				exchange.context.poisonParts().recordConnectionLoss(exchange.sharedParts, failing.key());
			}
			LOG.info("attempt_failed", "request", exchange.request.id(), "upstream", failing, "failure", failure,
					"sends", exchange.attempts, "last_event", exchange.response.lastEvent(), "prompt",
					String.join(",", exchange.request.prompt().stream().map(PromptSegment::id).toList()));
			exchange.context.metrics().attemptFailed(failure.name().toLowerCase(Locale.ROOT));
			if (failure.countsAgainstUpstream()) {
				exchange.queues.upstreamFailed(failing, failure);
			}
			follow(RetryPolicy.afterFailure(exchange.request.route(), exchange.attempts, exchange.response.progress(),
					failure));
		}

		/**
		 * Logs how the response of an attempt ended, so that a response of several
		 * attempts can be traced: which upstream sent which part of it, and what its end
		 * was taken from.
		 * @param end the mark of its end, or how the attempt failed
		 */
		private void logAttemptEnd(String end) {
			Attempt ended = OnlineExchange.this.attempt;
			OnlineExchange.this.context.metrics().attemptEnded(end);
			LOG.info("attempt_ended", "request", OnlineExchange.this.request.id(), "upstream", ended.upstream(),
					"version", ended.upstream().descriptor().version(), "end", end, "status", ended.status(), "stream",
					ended.eventStream(), "resumed_from", ended.resumedFrom(), "last_event", ended.lastEventId(),
					"carried_before", ended.carriedBefore(), "skipped", ended.skippedResponses());
		}

		/**
		 * Clears the attempt and stops its stall detection. A request that waits for its
		 * next attempt must not be checked for stalls, or it is sent twice: once by the
		 * stall detector and once from the queue.
		 * @return the upstream of the attempt
		 */
		private TrackedUpstream attemptEnded() {
			OnlineExchange exchange = OnlineExchange.this;
			TrackedUpstream upstream = exchange.attempt.upstream();
			exchange.attempt = null;
			exchange.response.attemptFailed();
			exchange.queues.stallDetector().remove(exchange);
			exchange.use.none();
			exchange.context.loadChanged().run();
			return upstream;
		}

		private void follow(RetryPolicy.Decision decision) {
			OnlineExchange exchange = OnlineExchange.this;
			switch (decision) {
				case RETRY -> exchange.place();
				case REJECT ->
					exchange.reject(exchange.context.speeds().times(exchange.service).pause(DEFAULT_RETRY_AFTER));
				case FAIL -> exchange.fail(BAD_GATEWAY, "upstream_failed");
				case ABORT -> exchange.fail(BAD_GATEWAY, "upstream_broke_off");
			}
		}

	}

}
