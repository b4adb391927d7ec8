package org.ragworthook.daemon.sidecar;

import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.EventLoopGroup;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.ragworthook.core.admission.ConcurrencyLimit;
import org.ragworthook.core.admission.EngineGate;
import org.ragworthook.core.admission.GatePolicy;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.order.OrderFence;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.daemon.Certificates;
import org.ragworthook.daemon.DaemonProcess;
import org.ragworthook.daemon.EventLoops;
import org.ragworthook.daemon.VertxTimers;
import org.ragworthook.daemon.control.SidecarControl;
import org.ragworthook.daemon.control.SidecarOrders;
import org.ragworthook.daemon.engine.UpstreamClient;
import org.ragworthook.daemon.http.HealthServer;
import org.ragworthook.daemon.http.Metrics;
import org.ragworthook.daemon.settings.DaemonSettings;
import org.ragworthook.daemon.settings.DaemonSettings.UpstreamSettings;
import org.ragworthook.objectapi.HttpObjectStore;
import org.ragworthook.objectapi.PlatformSettings;
import org.ragworthook.wire.link.LinkServer;
import org.ragworthook.wire.message.Welcome;

/**
 * The process beside one upstream.
 */
public final class SidecarProcess implements DaemonProcess {

	private static final EventLog LOG = EventLog.of(SidecarProcess.class);

	private static final int HEADROOM = 1;

	private static final int BATCH_ROOM = 64;

	private final Closer closer = Closer.empty();

	private final LinkServer links;

	private final SidecarRuns runs;

	private final SidecarControl control;

	private final Duration drainTime;

	private final AtomicBoolean closing = new AtomicBoolean();

	private final String instance;

	private SidecarProcess(DaemonSettings settings) {
		this.instance = settings.instance() + "-" + UUID.randomUUID().toString().substring(0, 8);
		this.drainTime = Duration.ofMillis(settings.limits().drainMillis());
		UpstreamSettings upstreamSettings = settings.upstream().orElseThrow();
		Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
		this.closer.add(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
		Context context = vertx.getOrCreateContext();
		UpstreamClient upstream = this.closer
			.add(UpstreamClient.of(vertx, upstreamSettings.url(), upstreamSettings.maxLimit()));
		Metrics metrics = Metrics.of(settings);
		this.runs = new SidecarRuns(context, upstream, Ticker.system(), gate(upstreamSettings), metrics);
		metrics.gauge("ragworthook.upstream.limit", () -> this.runs.load().getLimit());
		metrics.gauge("ragworthook.upstream.online", () -> this.runs.load().getOnlineRunning());
		metrics.gauge("ragworthook.upstream.batch", () -> this.runs.load().getBatchRunning());
		metrics.gauge("ragworthook.upstream.crashes", () -> this.runs.load().getCrashes());
		HttpObjectStore store = this.closer.add(HttpObjectStore.of(vertx, platform(settings)));
		this.control = SidecarControl.of(this.runs::leave,
				new SidecarOrders(context, upstream, OrderFence.of(store, SidecarControl.RECONCILER)),
				VertxTimers.of(vertx));
		EventLoopGroup loops = EventLoops.of(vertx);
		this.links = this.closer.add(LinkServer.listen(loops, settings.link(), Certificates.links(vertx, settings),
				() -> welcome(settings, upstreamSettings), new LaneListeners(this.runs, this.control)));
		this.closer.add(HealthServer.listen(vertx, settings.http(), metrics));
		LOG.info("sidecar_started", "instance", this.instance, "service", upstreamSettings.service(), "link",
				this.links.address());
	}

	/**
	 * Starts a sidecar.
	 * @param settings its settings
	 * @return the running process
	 */
	public static SidecarProcess start(DaemonSettings settings) {
		return new SidecarProcess(settings);
	}

	private static PlatformSettings platform(DaemonSettings settings) {
		return PlatformSettings.of(settings.platform().objects()).inNamespace(settings.platform().namespace());
	}

	private Welcome welcome(DaemonSettings settings, UpstreamSettings upstream) {
		return Welcome.newBuilder()
			.setInstance(this.instance)
			.setRegion(settings.failureDomain().region())
			.setFailureDomain(settings.failureDomain().name())
			.setService(upstream.service())
			.setLoad(this.runs.load())
			.setLeaving(this.runs.leaving())
			.setContractVersion(this.control.inForce().version())
			.build();
	}

	/**
	 * Returns where the sidecar takes links.
	 * @return the address with its actual port
	 */
	public Address linkAddress() {
		return this.links.address();
	}

	private static EngineGate gate(UpstreamSettings upstream) {
		ConcurrencyLimit limit = ConcurrencyLimit.builder()
			.bounds(1, upstream.maxLimit())
			.initial(upstream.initialLimit())
			.build();
		return GatePolicy.parse(upstream.policy().name()).createGate(Ticker.system(), limit, HEADROOM, BATCH_ROOM);
	}

	/**
	 * Leaves gracefully: entries learn of it at once, online requests in progress finish,
	 * batch is handed back.
	 */
	@Override
	public void close() {
		if (!this.closing.compareAndSet(false, true)) {
			return;
		}
		try {
			this.runs.leave().get(this.drainTime.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			LOG.warning("drain_cut_short", "requests", this.runs.load().getOnlineRunning());
		}
		catch (ExecutionException ex) {
			LOG.warning("drain_failed", "error", ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.closer.close();
		LOG.info("sidecar_stopped", "instance", this.instance);
	}

}
