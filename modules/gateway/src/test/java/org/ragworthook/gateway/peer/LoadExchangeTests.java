package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.suspect.PoisonRequestDetector;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;
import org.ragworthook.gateway.upstream.WorkClass;

import static com.google.common.truth.Truth.assertThat;

/**
 * What processes tell each other of the load of upstreams and of themselves.
 */
class LoadExchangeTests {

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final Closer closer = Closer.empty();

	@AfterEach
	void stop() {
		this.closer.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private static UpstreamRegistry registry() {
		UpstreamRegistry registry = UpstreamRegistry.empty();
		registry.put(new UpstreamDescriptor("u-1", "svc", new Address("10.0.0.1", 80), "a", 8, false));
		return registry;
	}

	private LoadExchange exchange(String name, Address address, UpstreamRegistry registry, boolean runsJobs) {
		return this.closer.add(LoadExchange.start(this.loop, Ticker.system(), registry,
				PoisonRequestDetector.empty(Ticker.system()), new PeerIdentity(name, 1, address, runsJobs)));
	}

	@Test
	void shouldCountWhatPeersHaveAtUpstreams() throws InterruptedException {
		Address first = Loopback.unusedAddress();
		Address second = Loopback.unusedAddress();
		UpstreamRegistry mine = registry();
		UpstreamRegistry other = registry();
		exchange("a", first, mine, false);
		exchange("b", second, other, false).introduce(first);
		TrackedUpstream theirs = other.serving("svc").get(0);
		theirs.begin(WorkClass.ONLINE);
		theirs.begin(WorkClass.BATCH);
		Loopback.await(() -> mine.serving("svc").get(0).load() == 2);
		assertThat(mine.serving("svc").get(0).batchLoad()).isEqualTo(1);
		theirs.end(WorkClass.ONLINE);
		theirs.end(WorkClass.BATCH);
		Loopback.await(() -> mine.serving("svc").get(0).load() == 0);
	}

	/**
	 * Every entry takes jobs, and all of them keep one limit. An entry learns of a job
	 * from the one that accepted it until its owner counts it, and knows that it does not
	 * know all as long as an owner has not read which jobs there are.
	 */
	@Test
	void shouldTellWhichItemsWait() throws InterruptedException {
		Address first = Loopback.unusedAddress();
		AtomicReference<Optional<Map<Integer, Long>>> owned = new AtomicReference<>(Optional.empty());
		LoadExchange entry = exchange("entry", first, registry(), false);
		LoadExchange otherEntry = exchange("other", Loopback.unusedAddress(), registry(), false);
		LoadExchange owner = exchange("owner", Loopback.unusedAddress(), registry(), true);
		owner.backlog(owned::get);
		otherEntry.accepted(() -> Map.of(7, 40L));
		assertThat(entry.waiting(7)).isEqualTo(new WaitingTokens(false, 0));
		otherEntry.introduce(first);
		owner.introduce(first);
		Loopback.await(() -> entry.waiting(7).equals(new WaitingTokens(false, 40)));
		owned.set(Optional.of(Map.of(7, 60L, 8, 1L)));
		Loopback.await(() -> entry.waiting(7).equals(new WaitingTokens(true, 100)));
		assertThat(entry.waiting(8).tokens()).isEqualTo(1);
		assertThat(owner.waiting(8)).isEqualTo(new WaitingTokens(true, 1));
	}

	/**
	 * A process that runs jobs is cut off from the store alone. Its peers hear it, and
	 * were it to keep its jobs, nobody would list their results. Others take them, unless
	 * the store is lost to all.
	 */
	@Test
	void shouldLeaveOutWhoLostTheStoreUnlessAllHave() throws InterruptedException {
		Address first = Loopback.unusedAddress();
		Address second = Loopback.unusedAddress();
		AtomicBoolean firstLost = new AtomicBoolean();
		AtomicBoolean secondLost = new AtomicBoolean();
		LoadExchange a = exchange("a", first, registry(), true);
		LoadExchange b = exchange("b", second, registry(), true);
		a.fleet().storeLost(firstLost::get);
		b.fleet().storeLost(secondLost::get);
		b.introduce(first);
		Loopback.await(() -> a.fleet().jobRunners().size() == 2);
		secondLost.set(true);
		Loopback.await(() -> a.fleet().jobRunners().equals(List.of("a")));
		firstLost.set(true);
		Loopback.await(() -> a.fleet().jobRunners().size() == 2);
	}

	/**
	 * A process says that it leaves, and later falls silent. Its jobs are taken at once,
	 * not only after the silence.
	 */
	@Test
	void shouldLeaveOutWhoLeaves() throws InterruptedException {
		Address first = Loopback.unusedAddress();
		LoadExchange a = exchange("a", first, registry(), true);
		LoadExchange b = exchange("b", Loopback.unusedAddress(), registry(), true);
		b.introduce(first);
		Loopback.await(() -> a.fleet().jobRunners().size() == 2);
		b.leave();
		Loopback.await(() -> a.fleet().jobRunners().equals(List.of("a")));
	}

	/**
	 * A process has just started and hears nobody yet. It must not take all jobs for its
	 * own before its peers have had the time to show themselves.
	 */
	@Test
	void shouldNotBeSettledBeforeItsPeersAreHeard() throws InterruptedException {
		ManualTime time = ManualTime.of();
		Address first = Loopback.unusedAddress();
		Address second = Loopback.unusedAddress();
		LoadExchange late = this.closer.add(LoadExchange.start(this.loop, time, registry(),
				PoisonRequestDetector.empty(time), new PeerIdentity("a", 1, first, true)));
		assertThat(late.fleet().settled()).isFalse();
		late.introduce(second);
		late.introduced();
		exchange("b", second, registry(), true).introduce(first);
		Loopback.await(late.fleet()::settled);
		assertThat(late.fleet().jobRunners()).containsExactly("a", "b");
	}

	/**
	 * A peer that the platform still lists is gone for good, and will never be heard.
	 */
	@Test
	void shouldBeSettledAfterAWhileThoughAPeerIsSilent() {
		ManualTime time = ManualTime.of();
		LoadExchange late = this.closer.add(LoadExchange.start(this.loop, time, registry(),
				PoisonRequestDetector.empty(time), new PeerIdentity("a", 1, Loopback.unusedAddress(), true)));
		late.introduce(Loopback.unusedAddress());
		late.introduced();
		time.advance(Duration.ofMillis(1_400));
		assertThat(late.fleet().settled()).isFalse();
		time.advance(Duration.ofMillis(200));
		assertThat(late.fleet().settled()).isTrue();
	}

}
