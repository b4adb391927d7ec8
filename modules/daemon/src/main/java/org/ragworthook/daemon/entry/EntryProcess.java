package org.ragworthook.daemon.entry;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.channel.EventLoopGroup;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.contract.ActiveContract;
import org.ragworthook.core.contract.ContractWatch;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.LinkException;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Timers;
import org.ragworthook.daemon.Certificates;
import org.ragworthook.daemon.DaemonProcess;
import org.ragworthook.daemon.EventLoops;
import org.ragworthook.daemon.VertxTimers;
import org.ragworthook.daemon.batch.BatchPart;
import org.ragworthook.daemon.control.ControlPart;
import org.ragworthook.daemon.http.ErrorResponses;
import org.ragworthook.daemon.http.HealthRoutes;
import org.ragworthook.daemon.http.Metrics;
import org.ragworthook.daemon.peer.PeerLinks;
import org.ragworthook.daemon.settings.DaemonSettings;
import org.ragworthook.objectapi.EndpointSliceList;
import org.ragworthook.objectapi.HttpObjectStore;
import org.ragworthook.objectapi.PlatformSettings;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.Lane;

/**
 * The entry process: accepts the requests of callers and forwards them to sidecars.
 */
public final class EntryProcess implements DaemonProcess {

	private static final EventLog LOG = EventLog.of(EntryProcess.class);

	private static final int EVENT_LOOPS = 2;

	private static final Duration LIST_REFRESH_INTERVAL = Duration.ofSeconds(1);

	/** Time within which a load balancer notices that an entry is no longer ready. */
	private static final long READINESS_PROPAGATION_MILLIS = 1_000;

	/** Time within which answers to the last requests are written. */
	private static final long ANSWER_MILLIS = 300;

	private final Closer closer = Closer.empty();

	private final DaemonSettings settings;

	private final String instance;

	private final ActiveContract inForce = ActiveContract.empty();

	private final ControlPart control;

	private final OnlinePart online;

	private final BatchPart batch;

	private final List<HttpServer> servers = new CopyOnWriteArrayList<>();

	private volatile boolean draining;

	private EntryProcess(DaemonSettings settings) {
		this.settings = settings;
		this.instance = settings.instance() + "-" + UUID.randomUUID().toString().substring(0, 8);
		Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS).setWorkerPoolSize(2));
		this.closer.add(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
		EventLoopGroup loops = EventLoops.of(vertx);
		Metrics metrics = Metrics.of(settings);
		Timers timers = VertxTimers.of(vertx);
		HttpObjectStore store = this.closer
			.add(HttpObjectStore.of(vertx, platform(settings.platform().objects(), settings)));
		EndpointSliceList instances = this.closer
			.add(EndpointSliceList.of(vertx, platform(settings.platform().instances(), settings)));
		Executor worker = worker(vertx);
		this.closer.add(ContractWatch.start(store, this.inForce, timers, new Random(), worker,
				(failure) -> LOG.debug("contract_unreadable", "error", failure)));
		ErrorResponses errors = ErrorResponses.of(metrics);
		PeerLinks peers = this.closer.add(PeerLinks.of(loops, instances, timers, settings.link(),
				Certificates.links(vertx, settings), () -> hello(Lane.LANE_PEER)));
		this.control = this.closer.add(ControlPart.builder(settings, this.instance, this.inForce)
			.store(store)
			.peers(peers)
			.time(timers, worker)
			.errors(errors)
			.drain(() -> this.draining = true)
			.build());
		UpstreamDirectory directory = this.closer.add(UpstreamDirectory.follow(vertx, self(), instances,
				LIST_REFRESH_INTERVAL, loops, Certificates.links(vertx, settings), this::hello, this.control.lane()));
		RequestReader reader = RequestReader.of(this.inForce::contract, InstantSource.system());
		this.online = this.closer
			.add(OnlinePart.start(vertx, directory, reader, errors, metrics, settings.limits().requestBytes()));
		this.batch = this.closer.add(BatchPart.start(vertx, settings, this.instance, store, directory, reader,
				this.inForce::contract, errors));
		CrashRecordSharing.start(this.online, peers);
		this.online.claims(ShardedRequestClaims.start(store, peers, this.instance, settings.limits().shards()));
		peers.start();
		this.control.start(directory::usage);
		serve(vertx, metrics, errors);
		LOG.info("entry_started", "instance", this.instance, "http", settings.http());
	}

	/**
	 * Starts an entry process.
	 * @param settings the settings of the entry
	 * @return the running process
	 */
	public static EntryProcess start(DaemonSettings settings) {
		return new EntryProcess(settings);
	}

	private static PlatformSettings platform(Address address, DaemonSettings settings) {
		return PlatformSettings.of(address).inNamespace(settings.platform().namespace());
	}

	private Instance self() {
		return new Instance(this.instance, Role.ENTRY, "", this.settings.failureDomain(), this.settings.link(), false);
	}

	private static Executor worker(Vertx vertx) {
		return (task) -> vertx.executeBlocking(() -> {
			task.run();
			return null;
		}, false);
	}

	private Hello hello(Lane lane) {
		return Hello.newBuilder()
			.setLane(lane)
			.setInstance(this.instance)
			.setRegion(this.settings.failureDomain().region())
			.setFailureDomain(this.settings.failureDomain().name())
			.setContractVersion(this.inForce.version())
			.build();
	}

	private void serve(Vertx vertx, Metrics metrics, ErrorResponses errors) {
		try {
			vertx
				.deployVerticle(() -> new HttpVerticle(metrics, errors),
						new DeploymentOptions().setInstances(EVENT_LOOPS))
				.toCompletionStage()
				.toCompletableFuture()
				.join();
		}
		catch (RuntimeException ex) {
			this.closer.close();
			throw new LinkException(ErrorCode.SETTINGS_ADDRESS_IN_USE, "cannot listen on " + this.settings.http(), ex);
		}
	}

	private boolean ready() {
		return !this.draining && this.inForce.contract().isPresent();
	}

	/**
	 * Shuts down gracefully: reports that the entry is not ready, keeps serving until the
	 * load balancer has noticed, refuses further requests, and stops when the requests in
	 * progress have ended. Those that have not when the drain time has nearly passed are
	 * answered; a connection that is just closed would not tell its caller whether the
	 * request may have run.
	 */
	@Override
	public void close() {
		this.draining = true;
		LOG.info("entry_draining", "requests", this.online.inProgress());
		int drainMillis = this.settings.limits().drainMillis();
		try {
			CompletableFuture<Void> handedOver = this.batch.leave();
			Thread.sleep(Math.min(READINESS_PROPAGATION_MILLIS, drainMillis));
			long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(drainMillis);
			this.online.refuseRequests();
			List<Future<Void>> shutdowns = this.servers.stream()
				.map((server) -> server.shutdown(drainMillis, TimeUnit.MILLISECONDS))
				.toList();
			endRequests(drainMillis - Math.min(ANSWER_MILLIS, drainMillis / 2));
			Future.join(shutdowns)
				.toCompletionStage()
				.toCompletableFuture()
				.get(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
			handedOver.get(drainMillis, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			LOG.warning("drain_cut_short", "requests", this.online.inProgress());
		}
		catch (ExecutionException ex) {
			LOG.warning("drain_failed", "error", ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.closer.close();
		LOG.info("entry_stopped", "instance", this.instance);
	}

	private void endRequests(long patienceMillis) throws ExecutionException, InterruptedException {
		try {
			this.online.drain().get(patienceMillis, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			LOG.warning("drain_ends_requests", "requests", this.online.inProgress());
			this.online.endRequests();
		}
	}

	/**
	 * An HTTP server on one event loop.
	 */
	private final class HttpVerticle extends VerticleBase {

		private final Metrics metrics;

		private final ErrorResponses errors;

		private HttpVerticle(Metrics metrics, ErrorResponses errors) {
			this.metrics = metrics;
			this.errors = errors;
		}

		@Override
		public Future<HttpServer> start() {
			Router router = Router.router(this.vertx);
			HealthRoutes.mount(router, this.metrics, EntryProcess.this::ready);
			EntryProcess.this.control.mount(router);
			EntryProcess.this.online.mount(router);
			EntryProcess.this.batch.mount(router);
			this.errors.mount(router);
			DaemonSettings daemonSettings = EntryProcess.this.settings;
			HttpServer server = this.vertx.createHttpServer(Certificates.http(daemonSettings)).requestHandler(router);
			EntryProcess.this.servers.add(server);
			return server.listen(daemonSettings.http().port(), daemonSettings.http().host())
				.onSuccess((listening) -> Certificates.refresh(this.vertx, daemonSettings, listening));
		}

	}

}
