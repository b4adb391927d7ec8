package org.ragworthook.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Predicate;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.peer.LoadExchange;
import org.ragworthook.gateway.peer.ReportPart;
import org.ragworthook.gateway.upstream.PrefixAffinity;
import org.ragworthook.gateway.upstream.RendezvousHash;
import org.ragworthook.wire.load.LoadReport;
import org.ragworthook.wire.load.SharedPart;
import org.ragworthook.wire.load.SlotAnswer;
import org.ragworthook.wire.load.SlotAsk;

/**
 * Carries the questions of entries and the answers of dispatchers in load reports, so
 * that each brings the loads that it rests on. What is to be told to one peer within one
 * round of the event loop goes in one report. Used on the event loop.
 */
public final class DispatchReports implements ReportPart, DispatchClient.Channel, Dispatcher.Answers {

	/**
	 * How long after a question a dispatcher is told of each change. Longer than a usual
	 * run, so that it hears at once of the slots that come free at the end of a burst;
	 * while nobody asks, the reports that all get are soon enough.
	 */
	private static final Duration TOLD_AFTER_ASKING = Duration.ofSeconds(1);

	private final LoadExchange exchange;

	private final Executor loop;

	private final Ticker ticker;

	private final String self;

	private final String failureDomain;

	private final Map<String, LoadReport.Builder> outbox = new HashMap<>();

	/** When each dispatcher was asked last, the ticker's reading. */
	private final Map<String, Long> askedNanos = new HashMap<>();

	private Optional<DispatchClient> client = Optional.empty();

	private Optional<Dispatcher> dispatcher = Optional.empty();

	/** The dispatcher whose grant came last. */
	private String granter = "";

	private long grantsSeen;

	private DispatchReports(LoadExchange exchange, Executor loop, Ticker ticker, String self, String failureDomain) {
		this.exchange = Objects.requireNonNull(exchange, "exchange is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.self = Objects.requireNonNull(self, "self is null");
		this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain is null");
	}

	/**
	 * Begins to carry questions and answers.
	 * @param exchange sends and takes reports
	 * @param loop the event loop
	 * @param ticker the time
	 * @param self the name of this process
	 * @param failureDomain its failure domain
	 * @return what carries them
	 */
	public static DispatchReports attach(LoadExchange exchange, Executor loop, Ticker ticker, String self,
			String failureDomain) {
		DispatchReports reports = new DispatchReports(exchange, loop, ticker, self, failureDomain);
		exchange.add(reports);
		return reports;
	}

	/**
	 * Sets who is told of answers.
	 * @param asking asks on behalf of this process
	 */
	public void client(DispatchClient asking) {
		this.client = Optional.of(asking);
	}

	/**
	 * Sets who is told of questions.
	 * @param answering gives out slots
	 */
	public void dispatcher(Dispatcher answering) {
		this.dispatcher = Optional.of(answering);
	}

	/**
	 * Tells the dispatchers that were asked a moment ago that loads of this process have
	 * changed.
	 */
	public void loadChanged() {
		long since = this.ticker.nanos() - TOLD_AFTER_ASKING.toNanos();
		this.askedNanos.values().removeIf((nanos) -> nanos - since <= 0);
		this.askedNanos.keySet().forEach(this::report);
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
	public void ask(String name, DispatchClient.SlotQuery question) {
		this.askedNanos.put(name, this.ticker.nanos());
		SlotAsk.Builder ask = SlotAsk.newBuilder();
		question.prompt()
			.parts()
			.forEach((part) -> ask
				.addPrompt(SharedPart.newBuilder().setHash(part.prefixHash()).setTokens(part.tokens())));
		report(name).addAsks(ask.setNumber(question.number())
			.setRequest(question.requestId())
			.setService(question.service())
			.setFailureDomain(this.failureDomain)
			.addAllExcept(question.except())
			.setGoalMillis((int) question.toGoal().toMillis()));
	}

	@Override
	public void granted(SlotRequest request, GrantLedger.Grant grant, boolean yields) {
		report(request.entry()).addAnswers(SlotAnswer.newBuilder()
			.setNumber(request.number())
			.setUpstream(grant.upstream().key())
			.setYields(yields)
			.setGrant(grant.number()));
	}

	@Override
	public void waits(SlotRequest request) {
		report(request.entry()).addAnswers(SlotAnswer.newBuilder().setNumber(request.number()).setWaits(true));
	}

	private LoadReport.Builder report(String peer) {
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
		report.setDispatcher(this.granter).setGrantsSeen(this.grantsSeen);
	}

	@Override
	public void read(LoadReport report) {
		this.dispatcher.ifPresent((answering) -> answer(answering, report));
		this.client.ifPresent((asking) -> answered(asking, report));
	}

	private void answer(Dispatcher answering, LoadReport report) {
		if (report.getDispatcher().equals(this.self)) {
			answering.seen(report.getInstance(), report.getGrantsSeen());
		}
		answering.expire();
		answering.changed();
		if (this.exchange.fleet().settled()) {
			requests(report).forEach(answering::ask);
		}
	}

	private List<SlotRequest> requests(LoadReport report) {
		List<SlotRequest> requests = new ArrayList<>();
		long now = this.ticker.nanos();
		for (SlotAsk ask : report.getAsksList()) {
			long goal = now + Duration.ofMillis(ask.getGoalMillis()).toNanos();
			requests.add(new SlotRequest(report.getInstance(), ask.getNumber(), ask.getRequest(), ask.getService(),
					ask.getFailureDomain(), new HashSet<>(ask.getExceptList()), prompt(ask), now, goal));
		}
		return requests;
	}

	private static PrefixAffinity prompt(SlotAsk ask) {
		return new PrefixAffinity(ask.getPromptList()
			.stream()
			.map((part) -> new PrefixAffinity.Segment(part.getHash(), part.getTokens()))
			.toList());
	}

	private void answered(DispatchClient asking, LoadReport report) {
		for (SlotAnswer answer : report.getAnswersList()) {
			if (answer.getWaits()) {
				asking.waits(answer.getNumber());
				continue;
			}
			if (!this.granter.equals(report.getInstance())) {
				this.granter = report.getInstance();
				this.grantsSeen = 0;
			}
			this.grantsSeen = Math.max(this.grantsSeen, answer.getGrant());
			report(report.getInstance());
			asking.granted(answer.getNumber(), answer.getUpstream(), answer.getYields());
		}
	}

}
