package org.ragworthook.daemon.sidecar;

import java.util.UUID;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.daemon.DaemonProcess;
import org.ragworthook.daemon.engine.UpstreamClient;
import org.ragworthook.daemon.http.HealthServer;
import org.ragworthook.daemon.http.Metrics;
import org.ragworthook.daemon.settings.DaemonSettings;
import org.ragworthook.daemon.settings.DaemonSettings.UpstreamSettings;
import org.ragworthook.wire.link.LinkOptions;
import org.ragworthook.wire.link.LinkServer;
import org.ragworthook.wire.message.Welcome;

/**
 * The process beside one upstream.
 */
public final class SidecarProcess implements DaemonProcess {

	private static final EventLog LOG = EventLog.of(SidecarProcess.class);

	private static final int LINK_THREADS = 1;

	private final Closer closer = Closer.empty();

	private final LinkServer links;

	private final String instance;

	private SidecarProcess(DaemonSettings settings) {
		this.instance = settings.instance() + "-" + UUID.randomUUID().toString().substring(0, 8);
		UpstreamSettings upstreamSettings = settings.upstream().orElseThrow();
		Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
		this.closer.add(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
		Context context = vertx.getOrCreateContext();
		UpstreamClient upstream = this.closer
			.add(UpstreamClient.of(vertx, upstreamSettings.url(), upstreamSettings.maxLimit()));
		SidecarRuns runs = new SidecarRuns(context, upstream, upstreamSettings.initialLimit());
		MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(LINK_THREADS, NioIoHandler.newFactory());
		this.closer.add(loops::shutdownGracefully);
		this.links = this.closer.add(LinkServer.listen(loops, settings.link(), LinkOptions.of(),
				() -> welcome(settings, upstreamSettings, runs), runs));
		this.closer.add(HealthServer.listen(vertx, settings.http(), Metrics.of(settings)));
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

	private Welcome welcome(DaemonSettings settings, UpstreamSettings upstream, SidecarRuns runs) {
		return Welcome.newBuilder()
			.setInstance(this.instance)
			.setRegion(settings.failureDomain().region())
			.setFailureDomain(settings.failureDomain().name())
			.setService(upstream.service())
			.setLoad(runs.load())
			.build();
	}

	/**
	 * Returns where the sidecar takes links.
	 * @return the address with its actual port
	 */
	public Address linkAddress() {
		return this.links.address();
	}

	@Override
	public void close() {
		this.closer.close();
	}

}
