package org.ragworthook.daemon.entry;

import java.time.InstantSource;
import java.util.Random;
import java.util.UUID;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.contract.ContractWatch;
import org.ragworthook.core.contract.InForce;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.LinkException;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Timers;
import org.ragworthook.daemon.Certificates;
import org.ragworthook.daemon.DaemonProcess;
import org.ragworthook.daemon.VertxTimers;
import org.ragworthook.daemon.http.ErrorResponses;
import org.ragworthook.daemon.http.HealthRoutes;
import org.ragworthook.daemon.http.Metrics;
import org.ragworthook.daemon.settings.DaemonSettings;
import org.ragworthook.platform.EndpointSliceList;
import org.ragworthook.platform.HttpObjectStore;
import org.ragworthook.platform.PlatformSettings;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.Lane;

/**
 * The process that takes callers' requests.
 */
public final class EntryProcess implements DaemonProcess {

	private static final EventLog LOG = EventLog.of(EntryProcess.class);

	private static final int EVENT_LOOPS = 2;

	private static final int LINK_THREADS = 2;

	private final Closer closer = Closer.empty();

	private final DaemonSettings settings;

	private final String instance;

	private final InForce inForce = InForce.empty();

	private EntryProcess(DaemonSettings settings) {
		this.settings = settings;
		this.instance = settings.instance() + "-" + UUID.randomUUID().toString().substring(0, 8);
		Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS).setWorkerPoolSize(2));
		this.closer.add(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
		MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(LINK_THREADS, NioIoHandler.newFactory());
		this.closer.add(loops::shutdownGracefully);
		Metrics metrics = Metrics.of(settings);
		Timers timers = VertxTimers.of(vertx);
		HttpObjectStore store = this.closer
			.add(HttpObjectStore.of(vertx, platform(settings.platform().objects(), settings)));
		EndpointSliceList list = this.closer
			.add(EndpointSliceList.of(vertx, platform(settings.platform().instances(), settings)));
		this.closer.add(ContractWatch.start(store, this.inForce, timers, new Random(),
				(failure) -> LOG.debug("contract_unreadable", "error", failure)));
		UpstreamDirectory directory = this.closer.add(UpstreamDirectory.follow(vertx, list, loops,
				Certificates.links(vertx, settings), this::hello, new ControlLane()));
		ErrorResponses errors = ErrorResponses.of(metrics);
		OnlineRoutes online = new OnlineRoutes(RequestReader.of(this.inForce::contract, InstantSource.system()),
				new OnlinePath(directory, errors, metrics), settings.limits().requestBytes());
		serve(vertx, metrics, errors, online);
		LOG.info("entry_started", "instance", this.instance, "http", settings.http());
	}

	/**
	 * Starts an entry.
	 * @param settings its settings
	 * @return the running process
	 */
	public static EntryProcess start(DaemonSettings settings) {
		return new EntryProcess(settings);
	}

	private static PlatformSettings platform(Address address, DaemonSettings settings) {
		return PlatformSettings.of(address).inNamespace(settings.platform().namespace());
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

	private void serve(Vertx vertx, Metrics metrics, ErrorResponses errors, OnlineRoutes online) {
		try {
			vertx
				.deployVerticle(() -> new HttpVerticle(metrics, errors, online),
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

	@Override
	public void close() {
		this.closer.close();
	}

	/**
	 * Serves HTTP on one event loop.
	 */
	private final class HttpVerticle extends VerticleBase {

		private final Metrics metrics;

		private final ErrorResponses errors;

		private final OnlineRoutes online;

		private HttpVerticle(Metrics metrics, ErrorResponses errors, OnlineRoutes online) {
			this.metrics = metrics;
			this.errors = errors;
			this.online = online;
		}

		@Override
		public Future<HttpServer> start() {
			Router router = Router.router(this.vertx);
			HealthRoutes.mount(router, this.metrics, () -> EntryProcess.this.inForce.contract().isPresent());
			this.online.mount(router);
			this.errors.mount(router);
			DaemonSettings own = EntryProcess.this.settings;
			return this.vertx.createHttpServer().requestHandler(router).listen(own.http().port(), own.http().host());
		}

	}

	/**
	 * The control lane, for which nothing is sent yet.
	 */
	private static final class ControlLane implements LinkListener {

		@Override
		public void opened(Link link) {
			LOG.debug("control_opened", "remote", link.remote().instance());
		}

		@Override
		public void received(Link link, Frame frame) {
			LOG.debug("control_received", "frame", frame.getBodyCase());
		}

		@Override
		public void closed(Link link) {
			LOG.debug("control_closed", "remote", link.remote().instance());
		}

	}

}
