package org.ragworthook.gateway.job;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.account.AccountLoads;
import org.ragworthook.gateway.account.Accounts;
import org.ragworthook.gateway.dialect.HeaderNames;
import org.ragworthook.gateway.feed.Feed;
import org.ragworthook.gateway.http.ConnectionPool;
import org.ragworthook.gateway.metrics.GatewayMetrics;
import org.ragworthook.gateway.observe.ObservedSpeeds;
import org.ragworthook.gateway.peer.Loopback;
import org.ragworthook.gateway.route.ActiveConfiguration;
import org.ragworthook.gateway.route.CallerLimits;
import org.ragworthook.gateway.route.Configuration;
import org.ragworthook.gateway.route.Route;
import org.ragworthook.gateway.route.RouteKind;
import org.ragworthook.gateway.route.WeightedService;
import org.ragworthook.gateway.suspect.PoisonPartDetector;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.SlotClaimOrder;
import org.ragworthook.gateway.upstream.SoftwareVersion;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;
import org.ragworthook.gateway.upstream.WorkClass;

/**
 * A process that runs jobs at upstreams on the loopback interface. Its clock moves only
 * by {@link #advance}, and no further before the upstreams and the process have seen what
 * the last step caused, so that a result does not depend on the speed of the machine.
 */
final class BatchSimulation implements AutoCloseable {

	static final Duration STEP = Duration.ofMillis(50);

	private static final String SERVICE = "svc";

	private static final int SLOTS = 8;

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final HeaderNames NAMES = new HeaderNames("X-Request-Id", "X-Deadline-Ms", "X-Prompt-Prefix",
			"Last-Event-Id", "Resumes", "X-Response-Signature", "X-Expect-Instance", "X-Not-Executed", "X-Wait-Ms",
			"X-Api-Key", "X-Tenant");

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final ManualTime time = ManualTime.of();

	private final UpstreamRegistry registry = UpstreamRegistry.empty();

	private final PoisonPartDetector poisonParts = PoisonPartDetector.empty(this.time, this.registry::activeAfter);

	private final JobStore store;

	private final JobRunner runner;

	private final Map<String, HoldingUpstream> upstreams = new TreeMap<>();

	private final List<HoldingUpstream> all = new ArrayList<>();

	private final Map<String, TrackedUpstream> tracked = new HashMap<>();

	private int starts;

	/**
	 * Creates a process without jobs and upstreams.
	 * @param seed determines the choices among upstreams
	 */
	BatchSimulation(long seed) {
		MemoryObjectStore objects = MemoryObjectStore.empty();
		ConditionalWriter writer = ConditionalWriter.of(objects, Stamps.of("t"));
		this.store = JobStore.of(objects, writer);
		GatewayMetrics metrics = GatewayMetrics.empty();
		ActiveConfiguration configuration = ActiveConfiguration.empty();
		configuration.offer(Configuration.of(1, List.of(route()), Map.of(), CallerLimits.DEFAULT, Accounts.none()));
		Random random = new Random(seed);
		this.runner = JobRunner
			.of(new JobRunner.Dependencies(this.store, ProgressStore.of(objects, writer, progressFeed(), "t"),
					new SingleOwner(), () -> true, () -> SlotClaimOrder.of("t", List.of("t")), configuration,
					this.registry, Placement.of("a", this.time, random),
					ConnectionPool.of(this.loop, Ticker.system(), TIMEOUT, NAMES.requestId()), NAMES, this.time,
					() -> this.time.nanos() / 1_000_000, this.time, random::nextDouble, this.loop, metrics, TIMEOUT,
					() -> 0, Set::of, () -> {
					}, this.poisonParts, BatchSimulation::parts,
					ObservedSpeeds.empty(this.registry, this.time, metrics),
					AccountLoads.of(this.time, Accounts::none, "t"), () -> false, (service) -> 0));
		onLoop(this.runner::start);
	}

	private static Route route() {
		return new Route("r", "h", "/p/", RouteKind.BATCH, TIMEOUT, TIMEOUT, List.of(new WeightedService(SERVICE, 1)),
				3, false, Duration.ofSeconds(18), TIMEOUT, 0, true, 0);
	}

	@SuppressWarnings("unchecked")
	private static Feed<List<ItemProgress>> progressFeed() {
		return (Feed<List<ItemProgress>>) Proxy.newProxyInstance(Feed.class.getClassLoader(),
				new Class<?>[] { Feed.class }, (proxy, method, arguments) -> {
					throw new AssertionError("the saved progress of a new job is not read");
				});
	}

	private static List<Long> parts(JobItem item) {
		return item.header(NAMES.promptParts())
			.stream()
			.flatMap((parts) -> Stream.of(parts.split(",")))
			.filter((part) -> !part.isEmpty())
			.map(BatchSimulation::part)
			.toList();
	}

	/**
	 * Returns the key of a part of a prompt.
	 * @param name the part's name
	 * @return the key
	 */
	static long part(String name) {
		return name.hashCode();
	}

	private void onLoop(Runnable task) {
		this.loop.submit(task).syncUninterruptibly();
	}

	/**
	 * Starts an upstream, or one that has crashed before.
	 * @param id the upstream's id
	 * @param domain its failure domain
	 * @param start what it sends of a response at once
	 */
	void startUpstream(String id, String domain, HoldingUpstream.Start start) {
		HoldingUpstream upstream = HoldingUpstream.start(this.time, start);
		this.upstreams.put(id, upstream);
		this.all.add(upstream);
		this.starts++;
		onLoop(() -> this.registry.put(new UpstreamDescriptor(id, SERVICE, upstream.address(), domain, SLOTS, false,
				SoftwareVersion.of("v1"), OptionalLong.of(this.starts))));
		this.registry.serving(SERVICE)
			.stream()
			.filter((listed) -> listed.descriptor().id().equals(id))
			.forEach((listed) -> this.tracked.put(id, listed));
	}

	/**
	 * Crashes an upstream, which stays listed.
	 * @param id its id
	 */
	void crash(String id) {
		this.upstreams.remove(id).crash();
		settle();
	}

	/**
	 * Removes an upstream from the list.
	 * @param id its id
	 */
	void unlist(String id) {
		onLoop(() -> this.registry.remove(id, "test"));
	}

	/**
	 * Returns the upstreams that have not crashed.
	 * @return their ids, in order
	 */
	List<String> live() {
		return List.copyOf(this.upstreams.keySet());
	}

	/**
	 * Adds a job.
	 * @param id its id
	 * @param parts the parts of the prompts of its items
	 * @param count the number of its items, which are named after the job
	 */
	void submit(String id, String parts, int count) {
		String body = Base64.getEncoder().encodeToString("body".getBytes());
		List<JobItem> items = IntStream.range(0, count)
			.mapToObj((n) -> new JobItem(id + "-" + n, "/p/", Map.of(NAMES.promptParts(), parts), body,
					HoldingUpstream.EVENTS))
			.toList();
		onLoop(() -> this.runner.put(new Job(id, Optional.empty(), "h", "/p/", this.time.nanos() / 1_000_000, 1, count,
				0, count, false, items), true));
		settle();
	}

	/**
	 * Returns the items that upstreams run.
	 * @return the id of the upstream of each item
	 */
	Map<String, String> running() {
		Map<String, String> running = new TreeMap<>();
		this.upstreams.forEach((id, upstream) -> upstream.items().keySet().forEach((item) -> running.put(item, id)));
		return running;
	}

	/**
	 * Returns since when an item runs.
	 * @param item the item's id, which runs
	 * @return a reading of the clock
	 */
	long receivedNanos(String item) {
		return this.upstreams.get(running().get(item)).items().get(item);
	}

	/**
	 * Sends the rest of an item's response.
	 * @param item the item's id, which runs
	 */
	void finish(String item) {
		this.upstreams.get(running().get(item)).finish(item);
		settle();
	}

	/**
	 * Advances the clock by one step.
	 */
	void advance() {
		onLoop(() -> this.time.advance(STEP));
		settle();
	}

	long nanos() {
		return this.time.nanos();
	}

	/**
	 * Returns the items of a job that are listed.
	 * @param job the job's id
	 * @return whether each of them is listed as completed, by the item's id
	 */
	Map<String, Boolean> listed(String job) {
		Map<String, Boolean> listed = new TreeMap<>();
		for (int number = 0; this.store.segment(job, number).join().isPresent(); number++) {
			this.store.segment(job, number)
				.join()
				.orElseThrow()
				.forEach((outcome) -> listed.put(outcome.itemId(), outcome.completed()));
		}
		return listed;
	}

	/**
	 * Returns whether an online request with a part is refused.
	 * @param part the part's name
	 * @return whether the part is blamed for crashes
	 */
	boolean refused(String part) {
		return this.loop.submit(() -> this.poisonParts.refused(List.of(part(part)))).syncUninterruptibly().getNow();
	}

	/**
	 * Reports the loss of an online request.
	 * @param part the part of its prompt
	 * @param upstream the id of the upstream that it ran at
	 */
	void loseOnlineRequest(String part, String upstream) {
		onLoop(() -> this.poisonParts.recordConnectionLoss(List.of(part(part)), this.tracked.get(upstream).key()));
	}

	private void settle() {
		try {
			Loopback.await(this::settled);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new AssertionError(ex);
		}
		onLoop(() -> {
		});
	}

	private boolean settled() {
		return this.tracked.entrySet().stream().allMatch((entry) -> {
			Optional<HoldingUpstream> upstream = Optional.ofNullable(this.upstreams.get(entry.getKey()));
			TrackedUpstream counted = entry.getValue();
			Map<String, Long> items = upstream.map(HoldingUpstream::items).orElse(Map.of());
			boolean eventsRead = upstream.isEmpty() || !upstream.get().sendsEvents()
					|| items.values().stream().noneMatch((nanos) -> counted.silentSince(nanos - 1));
			return counted.ownLoad(WorkClass.BATCH) == items.size() && eventsRead;
		});
	}

	@Override
	public void close() {
		this.all.forEach(HoldingUpstream::close);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private static final class SingleOwner implements JobOwners {

		@Override
		public boolean ownedHere(String jobId) {
			return true;
		}

		@Override
		public int runnerCount() {
			return 1;
		}

	}

}
