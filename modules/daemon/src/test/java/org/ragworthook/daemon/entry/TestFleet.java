package org.ragworthook.daemon.entry;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.KeyHash;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.routing.Upstream;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.daemon.EventLoops;
import org.ragworthook.daemon.TestPorts;
import org.ragworthook.daemon.VertxTimers;
import org.ragworthook.daemon.fake.Caller;
import org.ragworthook.daemon.fake.FakeUpstream;
import org.ragworthook.daemon.http.ErrorResponses;
import org.ragworthook.daemon.http.Metrics;
import org.ragworthook.daemon.peer.PeerLinks;
import org.ragworthook.daemon.settings.DaemonSettings;
import org.ragworthook.daemon.settings.SettingsReader;
import org.ragworthook.daemon.sidecar.SidecarProcess;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.link.LinkOptions;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.Lane;

/**
 * Any number of entries, reduced to their online part, and of sidecars in one process.
 * The links are real; the upstreams are fakes.
 */
final class TestFleet implements AutoCloseable {

	private static final FailureDomain DOMAIN = FailureDomain.of("region", "domain");

	private static final Contract CONTRACT = Contract.parse(1, """
			{"name": "test",
			 "regions": [{"name": "region", "failureDomains": ["domain"]}],
			 "services": [
			  {"name": "desk", "type": "model", "failureDomains": ["domain"], "upstreams": 2,
			   "models": [{"name": "m", "version": "v1",
			               "replicas": {"min": 1, "max": 2, "failureDomains": 1}}]},
			  {"name": "bookings", "type": "plain", "failureDomains": ["domain"], "upstreams": 1,
			   "nonIdempotentCalls": [{"method": "POST", "path": "/book"}]},
			  {"name": "letters", "type": "plain", "failureDomains": ["domain"], "upstreams": 1,
			   "dependsOn": ["bookings"]}],
			 "accounts": [{"name": "tests", "keys": ["%s"]}]}
			""".formatted(KeyHash.of(Caller.KEY).text()));

	private static final int SHARDS = 4;

	private static final Address ANY = new Address("127.0.0.1", 0);

	private final Closer closer = Closer.empty();

	private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2).setWorkerPoolSize(1));

	private final List<Instance> listed = new CopyOnWriteArrayList<>();

	private final MemoryObjectStore store = MemoryObjectStore.empty();

	private final List<Instance> entries = new CopyOnWriteArrayList<>();

	private final AtomicInteger listReads = new AtomicInteger();

	private final List<UpstreamDirectory> directories = new ArrayList<>();

	private final LinkOptions links;

	TestFleet() {
		this(LinkOptions.of().heartbeat(Duration.ofMillis(200), Duration.ofMillis(800)));
	}

	TestFleet(LinkOptions links) {
		this.links = links;
		this.closer.add(() -> this.vertx.close().toCompletionStage().toCompletableFuture().join());
	}

	Vertx vertx() {
		return this.vertx;
	}

	// -- upstreams and sidecars

	FakeUpstream upstream() {
		return this.closer.add(FakeUpstream.start(this.vertx));
	}

	SidecarProcess sidecar(String service, FakeUpstream upstream, int limit) {
		return sidecar(service, upstream, limit, Duration.ofMillis(1));
	}

	SidecarProcess sidecar(String service, FakeUpstream upstream, int limit, Duration drain) {
		return this.closer.add(SidecarProcess.start(settings(service, upstream, limit, drain)));
	}

	private static DaemonSettings settings(String service, FakeUpstream upstream, int limit, Duration drain) {
		return SettingsReader.parse("test", """
				{"role": "sidecar", "instance": "sidecar", "region": "region", "failureDomain": "domain",
				 "http": "127.0.0.1:0", "link": "127.0.0.1:0",
				 "platform": {"objects": "127.0.0.1:1", "instances": "127.0.0.1:1"},
				 "upstream": {"url": "%s", "service": "%s", "initialLimit": %d, "maxLimit": %d},
				 "limits": {"drainMillis": %d}}
				""".formatted(upstream.url(), service, limit, limit, drain.toMillis()));
	}

	/**
	 * Adds a sidecar to the platform's list and waits until every entry routes requests
	 * to it.
	 */
	void list(String service, Address address) {
		this.listed.add(instance(service, address));
		this.directories.forEach((directory) -> await(() -> directory.router(service)
			.table()
			.upstreams()
			.stream()
			.anyMatch((upstream) -> upstream.instance().link().equals(address))));
	}

	/**
	 * Returns the sum of the concurrency limits of a service's upstreams, as known to the
	 * first entry.
	 */
	int limit(String service) {
		return this.directories.get(0).router(service).table().upstreams().stream().mapToInt(Upstream::limit).sum();
	}

	void unlist(Address address) {
		this.listed.removeIf((instance) -> instance.link().equals(address));
	}

	/**
	 * Waits until the list in its current state has been read.
	 */
	void awaitListRead() {
		int previousReads = this.listReads.get();
		await(() -> this.listReads.get() > previousReads + 1);
	}

	private List<Instance> readList() {
		this.listReads.incrementAndGet();
		return List.copyOf(this.listed);
	}

	private static Instance instance(String service, Address address) {
		return new Instance(address.toString(), Role.SIDECAR, service, DOMAIN, address, false);
	}

	/**
	 * Starts a sidecar with a new upstream and adds the sidecar to the platform's list.
	 */
	FakeUpstream listedUpstream(String service, int limit) {
		FakeUpstream upstream = upstream();
		list(service, sidecar(service, upstream, limit).linkAddress());
		return upstream;
	}

	// -- entries

	TestEntry entry() {
		return this.closer.add(new TestEntry());
	}

	static void await(BooleanSupplier condition) {
		long deadlineNanos = System.nanoTime() + Duration.ofSeconds(20).toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - deadlineNanos > 0) {
				throw new AssertionError("condition not met within 20 s");
			}
			Thread.onSpinWait();
			try {
				TimeUnit.MILLISECONDS.sleep(1);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	@Override
	public void close() {
		this.closer.close();
	}

	/**
	 * The online part of an entry, with its own HTTP server.
	 */
	final class TestEntry implements AutoCloseable {

		private final Closer entryCloser = Closer.empty();

		private final UpstreamDirectory directory;

		private final OnlinePart online;

		private final PeerLinks peers;

		private final HttpServer server;

		private TestEntry() {
			Address address = new Address("127.0.0.1", TestPorts.next());
			Instance self = new Instance("entry-" + address, Role.ENTRY, "", DOMAIN, address, false);
			TestFleet.this.entries.add(self);
			LinkOptions options = TestFleet.this.links;
			this.directory = this.entryCloser.add(UpstreamDirectory.follow(TestFleet.this.vertx, self,
					() -> CompletableFuture.completedFuture(readList()), Duration.ofMillis(20),
					EventLoops.of(TestFleet.this.vertx), options,
					(lane) -> Hello.newBuilder().setLane(lane).setInstance("entry-" + hashCode()).build(),
					new NoOpListener()));
			TestFleet.this.directories.add(this.directory);
			Metrics metrics = Metrics.of(settings("none", TestFleet.this.upstream(), 1, Duration.ZERO));
			ErrorResponses errors = ErrorResponses.of(metrics);
			PeerLinks peers = this.entryCloser.add(PeerLinks.of(EventLoops.of(TestFleet.this.vertx),
					() -> CompletableFuture.completedFuture(List.copyOf(TestFleet.this.entries)),
					VertxTimers.of(TestFleet.this.vertx), address, options,
					() -> Hello.newBuilder().setLane(Lane.LANE_PEER).setInstance("entry-" + hashCode()).build()));
			this.online = this.entryCloser.add(OnlinePart.start(TestFleet.this.vertx, this.directory,
					RequestReader.of(() -> Optional.of(CONTRACT), InstantSource.system()), errors, metrics, 1 << 20));
			CrashRecordSharing.start(this.online, peers);
			this.online.claims(ShardedRequestClaims.start(TestFleet.this.store, peers, id(), SHARDS));
			this.peers = peers;
			peers.start();
			Router router = Router.router(TestFleet.this.vertx);
			this.online.mount(router);
			errors.mount(router);
			this.server = TestFleet.this.vertx.createHttpServer().requestHandler(router);
			this.server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
		}

		String id() {
			return "entry-" + hashCode();
		}

		/**
		 * Makes this entry the owner of every shard.
		 */
		void ownAllShards() {
			for (int shard = 0; shard < SHARDS; shard++) {
				Lease lease = new Lease("batch-" + shard, 1, id(), Duration.ofMinutes(1));
				TestFleet.this.store.create(Lease.key(lease.name()), Draft.of(lease.text(), "lease-" + shard)).join();
			}
		}

		Set<String> peers() {
			return this.peers.peers();
		}

		Caller caller() {
			return new Caller("http://127.0.0.1:" + this.server.actualPort());
		}

		int port() {
			return this.server.actualPort();
		}

		/**
		 * Closes the HTTP server with all its connections.
		 */
		void stopServer() {
			this.server.close().toCompletionStage().toCompletableFuture().join();
		}

		OnlinePart online() {
			return this.online;
		}

		UpstreamDirectory directory() {
			return this.directory;
		}

		@Override
		public void close() {
			this.entryCloser.close();
		}

	}

	/**
	 * A control lane listener that ignores all frames.
	 */
	private static final class NoOpListener implements LinkListener {

		@Override
		public void opened(Link link) {
			// Tests of online requests send no control frames.
		}

		@Override
		public void received(Link link, Frame frame) {
			// Tests of online requests send no control frames.
		}

		@Override
		public void closed(Link link) {
			// Tests of online requests send no control frames.
		}

	}

}
