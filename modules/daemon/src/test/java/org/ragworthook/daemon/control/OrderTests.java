package org.ragworthook.daemon.control;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Stored;
import org.ragworthook.daemon.settings.SettingsReader;
import org.ragworthook.daemon.sidecar.SidecarProcess;
import org.ragworthook.objectapi.HttpObjectStore;
import org.ragworthook.objectapi.PlatformSettings;
import org.ragworthook.standin.engine.EngineSettings;
import org.ragworthook.standin.engine.ModelEngine;
import org.ragworthook.standin.platform.ObjectApi;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkClient;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.link.LinkOptions;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Order;
import org.ragworthook.wire.message.OrderOutcome;

import static com.google.common.truth.Truth.assertThat;

class OrderTests {

	private final Closer closer = Closer.empty();

	private final Vertx vertx = Vertx.vertx();

	private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private int engine;

	private int objects;

	private HttpObjectStore store;

	private SidecarProcess sidecar;

	@BeforeEach
	void start() {
		this.closer.add(() -> this.vertx.close().toCompletionStage().toCompletableFuture().join());
		this.closer.add(this.loops::shutdownGracefully);
		this.objects = new ObjectApi(0).deploy(this.vertx).toCompletionStage().toCompletableFuture().join();
		EngineSettings trusting = EngineSettings.builder().models(List.of("m")).slots(1).fencingChecked(false).build();
		this.engine = new ModelEngine(0, trusting).deploy(this.vertx).toCompletionStage().toCompletableFuture().join();
		this.store = this.closer
			.add(HttpObjectStore.of(this.vertx, PlatformSettings.of(new Address("127.0.0.1", this.objects))));
		startSidecar();
	}

	private void startSidecar() {
		this.sidecar = SidecarProcess.start(SettingsReader.parse("sidecar", """
				{"role": "sidecar", "instance": "s", "region": "r", "failureDomain": "d",
				 "http": "127.0.0.1:0", "link": "127.0.0.1:0",
				 "platform": {"objects": "127.0.0.1:%d", "instances": "127.0.0.1:1"},
				 "upstream": {"url": "http://127.0.0.1:%d", "service": "desk"}, "limits": {"drainMillis": 100}}
				""".formatted(this.objects, this.engine)));
	}

	@AfterEach
	void stop() {
		this.sidecar.close();
		this.closer.close();
	}

	private Stored lease(long epoch) {
		Draft draft = Draft.of(new Lease("reconciler-0", epoch, "entry", Duration.ofSeconds(6)).text(), "e" + epoch);
		return this.store.read(Lease.key("reconciler-0"))
			.thenCompose(
					(found) -> found.isPresent() ? this.store.update(found.get().key(), draft, found.get().version())
							: this.store.create(Lease.key("reconciler-0"), draft))
			.join();
	}

	private int executed() {
		return this.vertx.createHttpClient()
			.request(HttpMethod.GET, this.engine, "127.0.0.1", "/control/orders")
			.compose((request) -> request.send())
			.compose((response) -> response.body())
			.map((body) -> body.toJsonObject().getJsonArray("orders", new JsonArray()).size())
			.toCompletionStage()
			.toCompletableFuture()
			.join();
	}

	// A leader is paused while another takes over, and each believes that it leads. The
	// engine does whatever it is told, so only the sidecar stands between the old
	// leader's
	// order and a model that is unloaded under running requests.
	@Test
	void shouldKeepAnOldLeadersOrderFromAnEngineThatIgnoresTheNumber() {
		lease(1);
		Leader old = new Leader(1);
		assertThat(old.orders("2").getDone()).isTrue();
		lease(2);
		Leader fresh = new Leader(2);
		assertThat(fresh.orders("3").getModelsList()).containsExactly("m@3");
		assertThat(old.orders("2").getError()).isEqualTo(ErrorCode.ORDER_FENCED.number());
		assertThat(executed()).isEqualTo(2);
	}

	// The sidecar restarts between the two leaders' orders and has forgotten both. The
	// old
	// leader's order is the first that it gets.
	@Test
	void shouldRefuseAnOldLeaderAlsoAfterARestart() {
		lease(1);
		assertThat(new Leader(1).orders("2").getDone()).isTrue();
		lease(2);
		this.sidecar.close();
		startSidecar();
		assertThat(new Leader(1).orders("2").getError()).isEqualTo(ErrorCode.ORDER_FENCED.number());
		assertThat(new Leader(2).orders("3").getDone()).isTrue();
		assertThat(executed()).isEqualTo(2);
	}

	// Nobody knows yet who leads: there is no lease to read back. The order has to wait.
	@Test
	void shouldRefuseOrdersWhileTheLeaseIsNotKnown() {
		assertThat(new Leader(1).orders("2").getError()).isEqualTo(ErrorCode.ORDER_NO_FENCE.number());
		assertThat(executed()).isEqualTo(0);
	}

	/**
	 * An entry that believes it leads.
	 */
	private final class Leader implements LinkListener {

		private final long epoch;

		private final CompletableFuture<Link> link = new CompletableFuture<>();

		private final Map<String, CompletableFuture<OrderOutcome>> outcomes = new ConcurrentHashMap<>();

		private int count;

		private Leader(long epoch) {
			this.epoch = epoch;
			Hello hello = Hello.newBuilder()
				.setLane(Lane.LANE_CONTROL)
				.setInstance("entry-" + epoch)
				.setRegion("r")
				.setFailureDomain("d")
				.build();
			OrderTests.this.closer.add(LinkClient.connect(OrderTests.this.loops, OrderTests.this.sidecar.linkAddress(),
					LinkOptions.of(), () -> hello, this));
		}

		private OrderOutcome orders(String version) {
			String id = this.epoch + "-" + this.count++;
			CompletableFuture<OrderOutcome> outcome = new CompletableFuture<>();
			this.outcomes.put(id, outcome);
			Order.Builder order = Order.newBuilder()
				.setId(id)
				.setEpoch(this.epoch)
				.setVerb("load-model")
				.setModel("m")
				.setVersion(version);
			await(this.link).send(Frame.newBuilder().setOrder(order).build());
			return await(outcome);
		}

		private static <T> T await(CompletableFuture<T> future) {
			try {
				return future.get(30, TimeUnit.SECONDS);
			}
			catch (InterruptedException | ExecutionException | TimeoutException ex) {
				throw new AssertionError("nothing came", ex);
			}
		}

		@Override
		public void opened(Link opened) {
			this.link.complete(opened);
		}

		@Override
		public void received(Link from, Frame frame) {
			if (frame.hasOrderOutcome()) {
				this.outcomes.get(frame.getOrderOutcome().getId()).complete(frame.getOrderOutcome());
			}
		}

		@Override
		public void closed(Link lost) {
			// Only the outcomes matter.
		}

	}

}
