package org.ragworthook.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.Executor;
import java.util.function.Predicate;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.account.ShareTerms;
import org.ragworthook.gateway.peer.LoadExchange;
import org.ragworthook.gateway.peer.ReportSection;
import org.ragworthook.gateway.upstream.PrefixAffinity;
import org.ragworthook.gateway.upstream.RendezvousHash;
import org.ragworthook.wire.load.LoadReport;
import org.ragworthook.wire.load.SharedPart;
import org.ragworthook.wire.load.SlotAnswer;
import org.ragworthook.wire.load.SlotAsk;

/**
 * Carries slot queries of entries and answers of dispatchers in load reports, so that
 * each message brings the loads that it is based on. Messages to the same peer within one
 * iteration of the event loop are combined into one report. Not thread-safe: used on the
 * event loop.
 */
public final class DispatchReports implements ReportSection, DispatchClient.Transport, Dispatcher.AnswerSink {

	/**
	 * How long after its latest query to a dispatcher an entry reports each load change
	 * to it. Longer than a typical request, so that the dispatcher learns immediately of
	 * the slots that become free at the end of a burst; without queries the periodic
	 * reports suffice.
	 */
	private static final Duration REPORT_AFTER_QUERY = Duration.ofSeconds(1);

	/** The longest time in a message. */
	private static final long MAX_MILLIS = Duration.ofMinutes(10).toMillis();

	private final LoadExchange exchange;

	private final Executor loop;

	private final Ticker ticker;

	private final String self;

	private final String failureDomain;

	private final Map<String, LoadReport.Builder> outbox = new HashMap<>();

	/** The ticker's reading at the latest query to each dispatcher. */
	private final Map<String, Long> lastQueryNanos = new HashMap<>();

	private Optional<DispatchClient> client = Optional.empty();

	private Optional<Dispatcher> dispatcher = Optional.empty();

	/** The dispatcher that sent the latest grant. */
	private String lastGranter = "";

	private long lastGrantSeen;

	private DispatchReports(LoadExchange exchange, Executor loop, Ticker ticker, String self, String failureDomain) {
		this.exchange = Objects.requireNonNull(exchange, "exchange is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.self = Objects.requireNonNull(self, "self is null");
		this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain is null");
	}

	/**
	 * Adds queries and answers to the reports of a load exchange.
	 * @param exchange sends and receives the reports
	 * @param loop the event loop
	 * @param ticker the monotonic clock
	 * @param self the name of this process
	 * @param failureDomain the failure domain of this process
	 * @return the carrier of queries and answers
	 */
	public static DispatchReports attach(LoadExchange exchange, Executor loop, Ticker ticker, String self,
			String failureDomain) {
		DispatchReports reports = new DispatchReports(exchange, loop, ticker, self, failureDomain);
		exchange.add(reports);
		return reports;
	}

	/**
	 * Sets the receiver of answers.
	 * @param client requests slots on behalf of this process
	 */
	public void client(DispatchClient client) {
		this.client = Optional.of(client);
	}

	/**
	 * Sets the receiver of queries.
	 * @param dispatcher grants slots
	 */
	public void dispatcher(Dispatcher dispatcher) {
		this.dispatcher = Optional.of(dispatcher);
	}

	/**
	 * Reports the changed loads of this process to the dispatchers that it has asked
	 * recently.
	 */
	public void loadChanged() {
		long since = this.ticker.nanos() - REPORT_AFTER_QUERY.toNanos();
		this.lastQueryNanos.values().removeIf((nanos) -> nanos - since <= 0);
		this.lastQueryNanos.keySet().forEach(this::scheduleReport);
	}

	@Override
	public Optional<String> dispatcher(String service, Predicate<String> usable) {
		return RendezvousHash.owner(this.exchange.fleet()
			.liveRunners()
			.stream()
			.filter((name) -> !name.equals(this.self) && usable.test(name))
			.toList(), service.hashCode());
	}

	@Override
	public void send(String name, DispatchClient.SlotQuery query) {
		this.lastQueryNanos.put(name, this.ticker.nanos());
		SlotAsk.Builder ask = SlotAsk.newBuilder();
		query.prefixAffinity()
			.segments()
			.forEach((segment) -> ask
				.addPrompt(SharedPart.newBuilder().setHash(segment.prefixHash()).setTokens(segment.tokens())));
		query.terms().account().ifPresent(ask::setAccount);
		if (query.terms().weight() != 1) {
			ask.setWeight(query.terms().weight());
		}
		scheduleReport(name).addAsks(ask.setNumber(query.number())
			.setRequest(query.requestId())
			.setService(query.service())
			.setFailureDomain(this.failureDomain)
			.addAllExcept(query.excluded())
			.setGoalMillis((int) query.untilStartTarget().toMillis())
			.setPriority(query.terms().priority())
			.setRetryWithinMillis(Math.toIntExact(Math.min(MAX_MILLIS, query.retryWithin().toMillis()))));
	}

	@Override
	public void granted(SlotRequest request, GrantLedger.Grant grant, boolean preempts) {
		scheduleReport(request.entry()).addAnswers(SlotAnswer.newBuilder()
			.setNumber(request.number())
			.setUpstream(grant.upstream().key())
			.setYields(preempts)
			.setGrant(grant.number()));
	}

	@Override
	public void queued(SlotRequest request) {
		scheduleReport(request.entry()).addAnswers(SlotAnswer.newBuilder().setNumber(request.number()).setWaits(true));
	}

	@Override
	public void refused(SlotRequest request, Duration retryAfter) {
		scheduleReport(request.entry()).addAnswers(SlotAnswer.newBuilder()
			.setNumber(request.number())
			.setRefused(true)
			.setRetryAfterMillis(Math.toIntExact(Math.min(MAX_MILLIS, retryAfter.toMillis()))));
	}

	private LoadReport.Builder scheduleReport(String peer) {
		if (this.outbox.isEmpty()) {
			this.loop.execute(this::flush);
		}
		return this.outbox.computeIfAbsent(peer, (name) -> LoadReport.newBuilder());
	}

	private void flush() {
		Map<String, LoadReport.Builder> all = Map.copyOf(this.outbox);
		this.outbox.clear();
		all.forEach(this.exchange::sendTo);
	}

	@Override
	public void write(LoadReport.Builder report) {
		report.setDispatcher(this.lastGranter).setGrantsSeen(this.lastGrantSeen);
	}

	@Override
	public void read(LoadReport report) {
		this.dispatcher.ifPresent((dispatcher) -> handleQueries(dispatcher, report));
		this.client.ifPresent((client) -> handleAnswers(client, report));
	}

	private void handleQueries(Dispatcher dispatcher, LoadReport report) {
		if (report.getDispatcher().equals(this.self)) {
			dispatcher.grantsCounted(report.getInstance(), report.getGrantsSeen());
		}
		dispatcher.expire();
		dispatcher.loadsChanged();
		if (this.exchange.fleet().settled()) {
			queries(report).forEach(dispatcher::handle);
		}
	}

	private List<SlotRequest> queries(LoadReport report) {
		List<SlotRequest> requests = new ArrayList<>();
		long now = this.ticker.nanos();
		for (SlotAsk ask : report.getAsksList()) {
			long startTarget = now + Duration.ofMillis(ask.getGoalMillis()).toNanos();
			long latestRetry = now + Duration.ofMillis(ask.getRetryWithinMillis()).toNanos();
			requests.add(new SlotRequest(report.getInstance(), ask.getNumber(), ask.getRequest(), ask.getService(),
					ask.getFailureDomain(), new HashSet<>(ask.getExceptList()), prefixAffinity(ask), now, startTarget,
					terms(ask), latestRetry));
		}
		return requests;
	}

	private static ShareTerms terms(SlotAsk ask) {
		OptionalInt account = ask.hasAccount() ? OptionalInt.of(ask.getAccount()) : OptionalInt.empty();
		return new ShareTerms(account, Math.max(1, ask.getWeight()), Math.max(0, ask.getPriority()),
				account.isPresent() || ask.getRetryWithinMillis() > 0);
	}

	private static PrefixAffinity prefixAffinity(SlotAsk ask) {
		return new PrefixAffinity(ask.getPromptList()
			.stream()
			.map((part) -> new PrefixAffinity.Segment(part.getHash(), part.getTokens()))
			.toList());
	}

	private void handleAnswers(DispatchClient client, LoadReport report) {
		for (SlotAnswer answer : report.getAnswersList()) {
			if (answer.getWaits()) {
				client.queued(answer.getNumber());
				continue;
			}
			if (answer.getRefused()) {
				client.refused(answer.getNumber(), Duration.ofMillis(answer.getRetryAfterMillis()));
				continue;
			}
			if (!this.lastGranter.equals(report.getInstance())) {
				this.lastGranter = report.getInstance();
				this.lastGrantSeen = 0;
			}
			this.lastGrantSeen = Math.max(this.lastGrantSeen, answer.getGrant());
			scheduleReport(report.getInstance());
			client.granted(answer.getNumber(), answer.getUpstream(), answer.getYields());
		}
	}

}
