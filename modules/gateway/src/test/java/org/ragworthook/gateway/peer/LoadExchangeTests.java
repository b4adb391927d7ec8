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
import org.ragworthook.gateway.upstream.SoftwareVersion;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;
import org.ragworthook.gateway.upstream.WorkClass;

import static com.google.common.truth.Truth.assertThat;

/**
 * The exchange of load reports between processes, over sockets of the loopback interface.
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
		registry.put(new UpstreamDescriptor("u-1", "svc", new Address("10.0.0.1", 80), "a", 8, false,
				SoftwareVersion.of("v1")));
		return registry;
	}

	private LoadExchange exchange(String name, Address address, UpstreamRegistry registry, boolean runsJobs) {
		return this.closer.add(LoadExchange.start(this.loop, Ticker.system(), registry,
				PoisonRequestDetector.empty(Ticker.system()), new PeerIdentity(name, 1, address, runsJobs)));
	}

	@Test
	void shouldCountTheLoadsOfPeers() throws InterruptedException {
		Address first = Loopback.unusedAddress();
		Address second = Loopback.unusedAddress();
		UpstreamRegistry mine = registry();
		UpstreamRegistry other = registry();
		exchange("a", first, mine, false);
		exchange("b", second, other, false).addPeer(first);
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
	 * All entries accept jobs under one common limit. A job is counted by the report of
	 * the entry that accepted it until its owner counts it. The total is incomplete as
	 * long as one owner has not read the list of jobs.
	 */
	@Test
	void shouldSumTheBacklogOfAllProcesses() throws InterruptedException {
		Address first = Loopback.unusedAddress();
		AtomicReference<Optional<Map<Integer, Long>>> owned = new AtomicReference<>(Optional.empty());
		LoadExchange entry = exchange("entry", first, registry(), false);
		LoadExchange otherEntry = exchange("other", Loopback.unusedAddress(), registry(), false);
		LoadExchange owner = exchange("owner", Loopback.unusedAddress(), registry(), true);
		owner.ownedBacklog(owned::get);
		otherEntry.acceptedBacklog(() -> Map.of(7, 40L));
		assertThat(entry.waitingTokens(7)).isEqualTo(new WaitingTokens(false, 0));
		otherEntry.addPeer(first);
		owner.addPeer(first);
		Loopback.await(() -> entry.waitingTokens(7).equals(new WaitingTokens(false, 40)));
		owned.set(Optional.of(Map.of(7, 60L, 8, 1L)));
		Loopback.await(() -> entry.waitingTokens(7).equals(new WaitingTokens(true, 100)));
		assertThat(entry.waitingTokens(8).tokens()).isEqualTo(1);
		assertThat(owner.waitingTokens(8)).isEqualTo(new WaitingTokens(true, 1));
	}

	/**
	 * Guards against jobs whose results nobody publishes: a process that runs jobs is cut
	 * off from the store alone, and still live to its peers. Other processes take over
	 * its jobs, unless all of them have lost the store.
	 */
	@Test
	void shouldLeaveOutRunnersThatLostTheStoreUnlessAllHave() throws InterruptedException {
		Address first = Loopback.unusedAddress();
		Address second = Loopback.unusedAddress();
		AtomicBoolean firstLost = new AtomicBoolean();
		AtomicBoolean secondLost = new AtomicBoolean();
		LoadExchange a = exchange("a", first, registry(), true);
		LoadExchange b = exchange("b", second, registry(), true);
		a.fleet().storeLost(firstLost::get);
		b.fleet().storeLost(secondLost::get);
		b.addPeer(first);
		Loopback.await(() -> a.fleet().ownerCandidates().size() == 2);
		secondLost.set(true);
		Loopback.await(() -> a.fleet().ownerCandidates().equals(List.of("a")));
		firstLost.set(true);
		Loopback.await(() -> a.fleet().ownerCandidates().size() == 2);
	}

	/**
	 * Guards against jobs of a stopping process that are taken over only when its reports
	 * cease, not when it announces that it leaves.
	 */
	@Test
	void shouldLeaveOutARunnerThatLeaves() throws InterruptedException {
		Address first = Loopback.unusedAddress();
		LoadExchange a = exchange("a", first, registry(), true);
		LoadExchange b = exchange("b", Loopback.unusedAddress(), registry(), true);
		b.addPeer(first);
		Loopback.await(() -> a.fleet().ownerCandidates().size() == 2);
		b.leave();
		Loopback.await(() -> a.fleet().ownerCandidates().equals(List.of("a")));
	}

	/**
	 * Guards against a process that takes all jobs when it has just started, because it
	 * has not received the reports of its peers yet.
	 */
	@Test
	void shouldNotBeSettledBeforeItsPeersHaveReported() throws InterruptedException {
		ManualTime time = ManualTime.of();
		Address first = Loopback.unusedAddress();
		Address second = Loopback.unusedAddress();
		LoadExchange starting = this.closer.add(LoadExchange.start(this.loop, time, registry(),
				PoisonRequestDetector.empty(time), new PeerIdentity("a", 1, first, true)));
		assertThat(starting.fleet().settled()).isFalse();
		starting.addPeer(second);
		starting.allPeersAdded();
		exchange("b", second, registry(), true).addPeer(first);
		Loopback.await(starting.fleet()::settled);
		assertThat(starting.fleet().ownerCandidates()).containsExactly("a", "b");
	}

	/**
	 * Guards against a process that never takes jobs because the platform still lists a
	 * peer that is gone for good.
	 */
	@Test
	void shouldBeSettledAfterTheTimeoutIfAPeerNeverReports() {
		ManualTime time = ManualTime.of();
		LoadExchange starting = this.closer.add(LoadExchange.start(this.loop, time, registry(),
				PoisonRequestDetector.empty(time), new PeerIdentity("a", 1, Loopback.unusedAddress(), true)));
		starting.addPeer(Loopback.unusedAddress());
		starting.allPeersAdded();
		time.advance(Duration.ofMillis(1_400));
		assertThat(starting.fleet().settled()).isFalse();
		time.advance(Duration.ofMillis(200));
		assertThat(starting.fleet().settled()).isTrue();
	}

}
